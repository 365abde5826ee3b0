#include "ordering/step_run_times.h"

#include <CppUTest/TestHarness.h>

#include <cmath>
#include <random>

#include "ordering/run_time_model.h"

using namespace zinniacart;

namespace {

constexpr Duration kDeclared{1000};
constexpr Instant kNow{50000};

TaskKey Task(std::uint32_t index, std::uint32_t step = 0) {
  return TaskKey{JobId("job"), 0, step, index};
}

}  // namespace

TEST_GROUP(StepRunTimes) {
  StepRunTimes steps;
  const RunTimeEstimate prior{std::log(1000.0), 0.5};
  static constexpr double kWithin = 0.4;

  void Run(std::uint32_t index, int elapsed_ms, int percent) {
    steps.OnRunning(Task(index), {Duration(elapsed_ms), percent, true, true},
                    kDeclared, kDeclared, kNow);
  }
  double Median() {
    return static_cast<double>(
        CombineWithSiblings(prior, kWithin, steps.Find(Task(0)))
            .Median()
            .count());
  }
};

// Guards against an order of jobs by declared times alone, where a job in a
// hundred takes seven times as long: replays steps of ten tasks with the
// spread of the uneven site, of which four have ended.
TEST(StepRunTimes, EndedSiblingsReduceTheErrorOfTheEstimate) {
  std::mt19937 random(1);
  std::normal_distribution<double> normal;
  double error_of_queue = 0;
  double error_with_siblings = 0;
  RunTimeModel model;
  const QueueId queue("queue");
  for (std::uint32_t step = 0; step < 400; ++step) {
    const double common = 0.45 * normal(random) + (step % 30 == 0 ? 1.9 : 0.0);
    for (std::uint32_t index = 0; index < 10; ++index) {
      const double log_ms = std::log(1000.0) + common + 0.5 * normal(random);
      if (index < 4) {
        const Duration taken(std::llround(std::exp(log_ms)));
        const auto deviation =
            steps.OnFinished(Task(index, step), taken, kDeclared);
        model.Learn(queue, kDeclared, taken);
        if (deviation) {
          model.LearnDeviation(queue, *deviation);
        }
        continue;
      }
      const RunTimeEstimate usual = model.Estimate(queue, kDeclared);
      const RunTimeEstimate now =
          CombineWithSiblings(usual, model.VarianceWithinStep(queue, usual),
                              steps.Find(Task(0, step)));
      error_of_queue += std::pow(usual.log_ms - log_ms, 2);
      error_with_siblings += std::pow(now.log_ms - log_ms, 2);
    }
  }
  CHECK(error_with_siblings < 0.75 * error_of_queue);
}

TEST(StepRunTimes, ProgressOfRunningSiblingsCounts) {
  for (std::uint32_t index = 0; index < 8; ++index) {
    Run(index, 3500, 50);
  }
  CHECK(Median() > 3000);
  DOUBLES_EQUAL(4.0, steps.Find(Task(0))->running_done, 1e-9);
  LONGS_EQUAL(7000, steps.Find(Task(0))->longest.count());
  CHECK(steps.Find(Task(0))->last_end > kNow + Duration(2500));
}

TEST(StepRunTimes, LittleProgressAndSlowedTasksTellLittle) {
  Run(0, 100, 1);
  DOUBLES_EQUAL(1000, Median(), 250);
  steps.OnRunning(Task(1), {Duration(60000), 50, true, false}, kDeclared,
                  kDeclared, kNow);
  DOUBLES_EQUAL(1000, Median(), 250);
}

TEST(StepRunTimes, ImplausibleRunTimesAreBounded) {
  steps.OnFinished(Task(0), Duration(1), kDeclared);
  CHECK(Median() > 500);
}

// Guards against steps that are held for ever after their job has ended.
TEST(StepRunTimes, StepsAreForgottenWithTheirJob) {
  Run(0, 500, 50);
  steps.Remove(Task(0));
  LONGS_EQUAL(0, steps.Find(Task(0))->running);
  steps.Forget(JobId("job"), 1);
  LONGS_EQUAL(1, steps.size());
  steps.Forget(JobId("job"), 0);
  LONGS_EQUAL(0, steps.size());
}
