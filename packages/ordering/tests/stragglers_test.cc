#include "ordering/stragglers.h"

#include <CppUTest/TestHarness.h>

#include <cmath>

using namespace zinniacart;

TEST_GROUP(Stragglers) {
  StepObservation siblings;
  double within = 0.01;

  void setup() override {
    siblings.finished = 3;
  }
  bool Check(int elapsed_ms, int percent) const {
    return IsStraggler({Duration(elapsed_ms), percent, true, true}, siblings,
                       {std::log(1000.0), 0.1}, within, {});
  }
};

// Guards against a job that waits for one task on a host that has turned slow,
// while its siblings have long ended.
TEST(Stragglers, RunThatTakesTwiceAsLongAndIsFarFromItsEndIsOne) {
  CHECK(Check(2100, 30));
  CHECK(Check(2100, 0));
  CHECK_FALSE(Check(1900, 30));
}

TEST(Stragglers, RunThatEndsBeforeANewOneWouldIsLeftAlone) {
  CHECK_FALSE(Check(2500, 70));
}

// Guards against blaming hosts for steps whose tasks differ by several times.
TEST(Stragglers, StepsOfUnequalTasksNeedMoreEvidence) {
  within = 0.4;
  CHECK_FALSE(Check(2100, 30));
  CHECK(Check(4000, 30));
}

TEST(Stragglers, TooFewSiblingsTellNothing) {
  siblings.finished = 1;
  CHECK_FALSE(Check(9000, 1));
}
