#include "colocation/host_pacing.h"

#include <CppUTest/TestHarness.h>

using namespace zinniacart;

namespace {

TaskRun MakeRun(const std::string& job) {
  return TaskRun{TaskKey{JobId(job), 0, 0, 0}, RunNumber(1)};
}

/// @returns a run that uses one core at full speed.
BestEffortPace MakePace(const std::string& job,
                        std::vector<double> loss_per_core,
                        int percent = 100) {
  return BestEffortPace{MakeRun(job), percent, 1.0, false,
                        std::move(loss_per_core)};
}

/// One host on which two best-effort runs interfere with one serving task. Its
/// margin falls by the sum of their interference at their present paces.
struct InterferedHost {
  double baseline = 2.5;
  double gentle = 0.2;
  double harmful = 2.2;
  int gentle_percent = 100;
  int harmful_percent = 100;

  double Margin() const {
    return baseline - gentle * gentle_percent / 100 -
           harmful * harmful_percent / 100;
  }
};

}  // namespace

TEST_GROUP(HostPacing) {
  HostPacing pacing;
  ManualClock clock;
  const double planned = PacingSettings().planned_margin;

  std::vector<BestEffortPace> Decide(double margin, double baseline,
                                     std::vector<BestEffortPace> paced) {
    return pacing.Decide({ServingMeasure{margin, baseline, baseline}}, paced,
                         clock.Now());
  }
};

TEST(HostPacing, HostWithoutServingTasksIsNotPaced) {
  CHECK(pacing.Decide({}, {MakePace("x", {})}, clock.Now()).empty());
  CHECK_FALSE(pacing.min_margin().has_value());
}

TEST(HostPacing, PacesFollowEstimatedInterference) {
  // The spare margin is 0.4: the gentle run keeps its pace, the harmful one
  // gets the rest.
  const double margin = planned + 0.4;
  const auto changes = Decide(
      margin, margin, {MakePace("harmful", {0.6}), MakePace("gentle", {0.1})});
  LONGS_EQUAL(1, changes.size());
  CHECK(changes[0].id == MakeRun("harmful"));
  LONGS_EQUAL(50, changes[0].percent);
}

TEST(HostPacing, SpareMarginOfEachServingTaskCounts) {
  const auto changes = pacing.Decide(
      {ServingMeasure{3.0, 3.0, 3.0}, ServingMeasure{2.0, 2.0, planned + 0.1}},
      {MakePace("x", {0.1, 0.5})}, clock.Now());
  LONGS_EQUAL(20, changes.at(0).percent);
}

TEST(HostPacing, SlowsDownBeforeExpectedLoad) {
  const auto changes = pacing.Decide({ServingMeasure{2.0, 2.5, planned + 0.25}},
                                     {MakePace("x", {0.5})}, clock.Now());
  LONGS_EQUAL(50, changes.at(0).percent);
}

TEST(HostPacing, TailThatStaysOverTargetHaltsInterferingRuns) {
  const std::vector<BestEffortPace> paced{MakePace("suspect", {0.4}),
                                          MakePace("harmless", {0.0})};
  // Not halted at once: the measurements may not show an earlier slowdown yet.
  CHECK(Decide(0.7, 3.0, paced).empty());
  clock.Advance(PacingSettings().halt_after);
  const auto changes = Decide(0.7, 3.0, paced);
  LONGS_EQUAL(1, changes.size());
  CHECK(changes[0].id == MakeRun("suspect"));
  LONGS_EQUAL(0, changes[0].percent);
}

TEST(HostPacing, TailOverTargetWithoutInterferenceHaltsNoRun) {
  const std::vector<BestEffortPace> paced{MakePace("x", {0.04})};
  CHECK(Decide(0.7, 0.7, paced).empty());
  clock.Advance(PacingSettings().halt_after);
  CHECK(Decide(0.7, 0.7, paced).empty());
}

// Replays the peak of a serving task's traffic beside several runs that take a
// quarter of a target each: the jobs wait for their slowest task, so none is
// slowed while the target holds.
TEST(HostPacing, SmallLossesAreToleratedWhileTheTargetHolds) {
  const std::vector<BestEffortPace> paced{MakePace("x", {0.25}),
                                          MakePace("y", {0.25})};
  for (int measure = 0; measure < 20; ++measure) {
    CHECK(Decide(1.05, planned + 0.2, paced).empty());
    clock.Advance(Duration(500));
  }
}

TEST(HostPacing, ToleratedRunsAreHaltedWhenTheTailStaysOverItsTarget) {
  const std::vector<BestEffortPace> paced{MakePace("x", {0.25}),
                                          MakePace("y", {0.25})};
  Decide(0.7, planned + 0.2, paced);
  clock.Advance(PacingSettings().halt_after);
  const auto changes = Decide(0.7, planned + 0.2, paced);
  LONGS_EQUAL(2, changes.size());
  LONGS_EQUAL(0, changes[0].percent);
  LONGS_EQUAL(0, changes[1].percent);
}

TEST(HostPacing, HaltedRunIsResumedInSteps) {
  Decide(0.7, 3.0, {MakePace("x", {0.4})});
  clock.Advance(PacingSettings().halt_after);
  Decide(0.7, 3.0, {MakePace("x", {0.4})});
  CHECK(Decide(3.0, 3.0, {MakePace("x", {0.4}, 0)}).empty());
  clock.Advance(PacingSettings().recover_every);
  LONGS_EQUAL(50, Decide(3.0, 3.0, {MakePace("x", {0.4}, 0)}).at(0).percent);
  clock.Advance(PacingSettings().recover_every);
  LONGS_EQUAL(100, Decide(3.0, 3.0, {MakePace("x", {0.4}, 50)}).at(0).percent);
}

TEST(HostPacing, UnsteadyRunIsSlowedButNotSpedUp) {
  BestEffortPace slowed = MakePace("x", {0.4}, 30);
  slowed.unsteady = true;
  CHECK(Decide(3.0, 3.0, {slowed}).empty());
  slowed.unsteady = false;
  LONGS_EQUAL(100, Decide(3.0, 3.0, {slowed}).at(0).percent);
  BestEffortPace fast = MakePace("y", {1.0});
  fast.unsteady = true;
  const double margin = planned + 0.5;
  LONGS_EQUAL(50, Decide(margin, margin, {fast}).at(0).percent);
}

TEST(HostPacing, SmallChangeIsNotSent) {
  const double margin = planned + 0.4;
  CHECK(Decide(margin, margin, {MakePace("x", {0.7}, 60)}).empty());
}

// Guards against relying on estimates that are far too low when many
// best-effort runs start at once next to a serving task. Users notice a tail
// latency that stays over its target for four seconds.
TEST(HostPacing, BurstExceedsTailTargetForLessThanFourSeconds) {
  InterferedHost host;
  constexpr Duration kMeasureInterval{500};
  constexpr Duration kMaxTimeOverTarget{4000};
  constexpr double kUnknownLossPerCore = 0.3;
  Duration over_target{0};
  Duration longest{0};
  for (int step = 0; step < 120; ++step) {
    over_target =
        host.Margin() < 1.0 ? over_target + kMeasureInterval : Duration(0);
    longest = std::max(longest, over_target);
    for (const auto& change :
         Decide(host.Margin(), host.baseline,
                {MakePace("gentle", {kUnknownLossPerCore}, host.gentle_percent),
                 MakePace("harmful", {kUnknownLossPerCore},
                          host.harmful_percent)})) {
      (change.id == MakeRun("gentle") ? host.gentle_percent
                                      : host.harmful_percent) = change.percent;
    }
    clock.Advance(kMeasureInterval);
  }
  CHECK(longest < kMaxTimeOverTarget);
}
