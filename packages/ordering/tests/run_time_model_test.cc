#include "ordering/run_time_model.h"

#include <CppUTest/TestHarness.h>

#include <cmath>
#include <random>

using namespace zinniacart;

TEST_GROUP(RunTimeModel) {
  RunTimeModel model;
  const QueueId queue{"queue"};
  std::mt19937 random{3};

  /// Learns runs of about two seconds.
  /// @param declared_error standard deviation of the logarithm of the declared
  /// time divided by the run time.
  /// @param spread standard deviation of the logarithm of the run time.
  void LearnRuns(int count, double declared_error, double spread) {
    std::normal_distribution<double> normal;
    for (int run = 0; run < count; ++run) {
      const double taken = 2000 * std::exp(spread * normal(random));
      const double declared = taken * std::exp(declared_error * normal(random));
      model.Learn(queue, Duration(std::llround(declared)),
                  Duration(std::llround(taken)));
    }
  }
};

TEST(RunTimeModel, UsesTheDeclaredTimeUntilEnoughRunsAreKnown) {
  LONGS_EQUAL(700, model.ExpectedRunTime(queue, Duration(700)).count());
  LearnRuns(3, 0.1, 0.1);
  LONGS_EQUAL(700, model.ExpectedRunTime(queue, Duration(700)).count());
}

TEST(RunTimeModel, QueuesAreIndependent) {
  LearnRuns(50, 0.1, 0.1);
  LONGS_EQUAL(700,
              model.ExpectedRunTime(QueueId("other"), Duration(700)).count());
}

// Callers may declare times that are off by several times.
TEST(RunTimeModel, InaccurateDeclaredTimesHaveLittleWeight) {
  LearnRuns(100, 0.9, 0.3);
  CHECK(model.ExpectedRunTime(queue, Duration(300)) > Duration(1200));
  CHECK(model.ExpectedRunTime(queue, Duration(9000)) < Duration(3500));
}

TEST(RunTimeModel, AccurateDeclaredTimesDominate) {
  LearnRuns(100, 0.1, 0.5);
  DOUBLES_EQUAL(1000, model.ExpectedRunTime(queue, Duration(1000)).count(),
                200);
  DOUBLES_EQUAL(5000, model.ExpectedRunTime(queue, Duration(5000)).count(),
                1000);
}

TEST(RunTimeModel, CorrectsDeclaredTimesThatAreAlwaysTooShort) {
  for (int run = 0; run < 100; ++run) {
    const int taken = 1000 + 30 * (run % 100);
    model.Learn(queue, Duration(taken / 2), Duration(taken));
  }
  DOUBLES_EQUAL(3000, model.ExpectedRunTime(queue, Duration(1500)).count(),
                400);
}

// Guards against one run time of almost nothing, measured from a late report
// of the start, that makes all further estimates of the queue useless.
TEST(RunTimeModel, RunTimeOfAlmostNothingIsBounded) {
  LearnRuns(100, 0.3, 0.1);
  model.Learn(queue, Duration(2000), Duration(1));
  CHECK(model.ExpectedRunTime(queue, Duration(2000)) > Duration(1500));
}
