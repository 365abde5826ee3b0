#include "scheduling/run_time_model.h"

#include <CppUTest/TestHarness.h>

#include <cmath>
#include <random>

using namespace zinniacart;

TEST_GROUP(RunTimeModel) {
  RunTimeModel model;
  const QueueId queue{"queue"};
  std::mt19937 random{3};

  /// Runs of about two seconds whose declared times are off.
  void LearnRuns(int count, double declared_off, double spread) {
    std::normal_distribution<double> normal;
    for (int run = 0; run < count; ++run) {
      const double taken = 2000 * std::exp(spread * normal(random));
      const double declared = taken * std::exp(declared_off * normal(random));
      model.Learn(queue, Duration(std::llround(declared)),
                  Duration(std::llround(taken)));
    }
  }
};

TEST(RunTimeModel, BeforeAnythingIsKnownTheDeclaredTimeCounts) {
  LONGS_EQUAL(700, model.ExpectedRunTime(queue, Duration(700)).count());
  LearnRuns(3, 0.1, 0.1);
  LONGS_EQUAL(700, model.ExpectedRunTime(queue, Duration(700)).count());
}

TEST(RunTimeModel, OtherQueuesSayNothing) {
  LearnRuns(50, 0.1, 0.1);
  LONGS_EQUAL(700,
              model.ExpectedRunTime(QueueId("other"), Duration(700)).count());
}

// Load: callers who guess.
TEST(RunTimeModel, WildEstimatesWeighLittle) {
  LearnRuns(100, 0.9, 0.3);
  CHECK(model.ExpectedRunTime(queue, Duration(300)) > Duration(1200));
  CHECK(model.ExpectedRunTime(queue, Duration(9000)) < Duration(3500));
}

TEST(RunTimeModel, GoodEstimatesAreBelieved) {
  LearnRuns(100, 0.1, 0.5);
  DOUBLES_EQUAL(1000, model.ExpectedRunTime(queue, Duration(1000)).count(),
                200);
  DOUBLES_EQUAL(5000, model.ExpectedRunTime(queue, Duration(5000)).count(),
                1000);
}

TEST(RunTimeModel, EstimatesThatAreAlwaysTooShortAreCorrected) {
  for (int run = 0; run < 100; ++run) {
    const int taken = 1000 + 30 * (run % 100);
    model.Learn(queue, Duration(taken / 2), Duration(taken));
  }
  DOUBLES_EQUAL(3000, model.ExpectedRunTime(queue, Duration(1500)).count(),
                400);
}
