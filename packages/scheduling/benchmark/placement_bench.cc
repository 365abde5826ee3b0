#include <algorithm>
#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

#include "scheduling/tests/scheduler_harness.h"

namespace zinniacart {
namespace {

constexpr int kHosts = 160;
constexpr int kRounds = 50;

StepSpec MakeImageStep(std::uint32_t count,
                       Resources demand,
                       const std::string& image) {
  StepSpec step = MakeStep(count, demand.millicores);
  step.demand = demand;
  step.image = image;
  return step;
}

/// Fills a site with serving tasks, short jobs, and more best-effort tasks than
/// fit.
void AddLoad(SchedulerHarness& harness) {
  for (int number = 0; number < kHosts; ++number) {
    harness.AddHost("host" + std::to_string(number), number % 3 == 2 ? 24 : 16);
  }
  for (int number = 0; number < 31; ++number) {
    StepSpec step = MakeImageStep(24, Resources{3200, 6400, 0},
                                  "serving" + std::to_string(number % 16));
    step.perpetual = true;
    step.latency_target = Duration(50);
    harness.AddJob("serving-job" + std::to_string(number), step);
  }
  harness.RunRound();
  for (int number = 0; number < 60; ++number) {
    StepSpec step = MakeImageStep(39, Resources{1800, 3200, 0},
                                  "batch" + std::to_string(number % 30));
    step.best_effort = true;
    harness.AddJob("batch-job" + std::to_string(number), step, 2);
  }
  for (int number = 0; number < 20; ++number) {
    harness.AddJob("short-job" + std::to_string(number), MakeStep(9, 900));
  }
}

/// @returns the duration of one placement round, in ms.
double TimeRound(SchedulerHarness& harness) {
  const auto began = std::chrono::steady_clock::now();
  harness.scheduler().Place();
  return std::chrono::duration<double, std::milli>(
             std::chrono::steady_clock::now() - began)
      .count();
}

/// Fills a site with late work that saves checkpoints, and adds jobs that can
/// be in time, so that each round preempts.
void AddLateLoad(SchedulerHarness& harness) {
  for (int number = 0; number < kHosts; ++number) {
    harness.AddHost("host" + std::to_string(number), number % 3 == 2 ? 24 : 16);
  }
  for (int number = 0; number < 80; ++number) {
    StepSpec step = MakeStep(40, 1000);
    step.checkpoints = true;
    harness.AddJob("late-job" + std::to_string(number), step, 2);
  }
  harness.RunRound();
  harness.clock().Advance(Duration(60000));
  for (int number = 0; number < kHosts; ++number) {
    harness.Report("host" + std::to_string(number));
  }
  for (int number = 0; number < 40; ++number) {
    harness.AddJob("timely-job" + std::to_string(number), MakeStep(10, 900));
  }
}

/// Prints the duration of a round that preempts.
void RunPreemption() {
  SchedulerHarness harness;
  AddLateLoad(harness);
  harness.scheduler().Place();
  std::vector<double> rounds;
  for (int round = 0; round < 10; ++round) {
    harness.clock().Advance(SchedulerSettings().preemption_interval);
    rounds.push_back(TimeRound(harness));
  }
  std::sort(rounds.begin(), rounds.end());
  std::printf(
      "round with preemption on %d hosts of late work: median %.2f ms, "
      "maximum %.2f ms\n",
      kHosts, rounds[rounds.size() / 2], rounds.back());
}

int Run() {
  SchedulerHarness harness;
  AddLoad(harness);
  harness.RunRound();
  std::vector<double> rounds;
  for (int round = 0; round < kRounds; ++round) {
    rounds.push_back(TimeRound(harness));
  }
  std::sort(rounds.begin(), rounds.end());
  std::printf(
      "placement round with %d hosts and a backlog: median %.2f ms, "
      "maximum %.2f ms\n",
      kHosts, rounds[kRounds / 2], rounds.back());
  RunPreemption();
  return 0;
}

}  // namespace
}  // namespace zinniacart

int main() {
  return zinniacart::Run();
}
