#include "colocation/serving_load.h"

#include <CppUTest/TestHarness.h>

using namespace zinniacart;

TEST_GROUP(ServingLoad) {
  ManualClock clock;
  ServingLoad load{3.0, 0.01, Instant{0}};
};

TEST(ServingLoad, FallingTrendIsExtrapolated) {
  for (int step = 0; step < 5; ++step) {
    load.Correct(3.0 - 0.2 * step, 0.01, clock.Now());
    clock.Advance(Duration(500));
  }
  DOUBLES_EQUAL(0.4, load.ExpectedFall(Duration(1000)), 0.01);
}

TEST(ServingLoad, RisingTrendIsIgnored) {
  for (int step = 0; step < 5; ++step) {
    load.Correct(2.0 + 0.2 * step, 0.01, clock.Now());
    clock.Advance(Duration(500));
  }
  DOUBLES_EQUAL(0, load.ExpectedFall(Duration(1000)), 1e-9);
}

TEST(ServingLoad, VarianceGrowsWithTime) {
  clock.Advance(Duration(2000));
  CHECK(load.Variance(clock.Now()) > load.Variance(Instant{0}));
}
