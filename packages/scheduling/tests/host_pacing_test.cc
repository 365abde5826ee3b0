#include "scheduling/host_pacing.h"

#include <CppUTest/TestHarness.h>

using namespace zinniacart;

namespace {

TaskRun MakeRun(const std::string& job) {
  return TaskRun{TaskKey{JobId(job), 0, 0, 0}, RunNumber(1)};
}

/// @returns a task of one core that works at full speed.
BestEffortPace MakePace(const std::string& job,
                        std::vector<double> harm,
                        int percent = 100) {
  return BestEffortPace{MakeRun(job), percent, 1.0, false, std::move(harm)};
}

/// One host on which two best-effort tasks disturb one serving task: its margin
/// falls with the sum of their disturbances, as of their paces.
struct DisturbedHost {
  double quiet = 2.5;
  double gentle = 0.2;
  double harmful = 2.2;
  int gentle_percent = 100;
  int harmful_percent = 100;

  double Margin() const {
    return quiet - gentle * gentle_percent / 100 -
           harmful * harmful_percent / 100;
  }
};

}  // namespace

TEST_GROUP(HostPacing) {
  HostPacing pacing;
  ManualClock clock;
  const double planned = PacingSettings().planned_margin;

  std::vector<BestEffortPace> Decide(double margin, double undisturbed,
                                     std::vector<BestEffortPace> paced) {
    return pacing.Decide({ServingMeasure{margin, undisturbed, undisturbed}},
                         paced, clock.Now());
  }
};

TEST(HostPacing, AHostWithoutServingTasksRunsAtFullSpeed) {
  CHECK(pacing.Decide({}, {MakePace("x", {})}, clock.Now()).empty());
  CHECK_FALSE(pacing.min_margin().has_value());
}

TEST(HostPacing, PacesFollowWhatIsBelievedOfEachTask) {
  // Room for a margin of 0.4: the gentle one goes on, the harmful one gets
  // what is left.
  const double margin = planned + 0.4;
  const auto changes = Decide(
      margin, margin, {MakePace("harmful", {0.6}), MakePace("gentle", {0.1})});
  LONGS_EQUAL(1, changes.size());
  CHECK(changes[0].id == MakeRun("harmful"));
  LONGS_EQUAL(50, changes[0].percent);
}

TEST(HostPacing, EachServingTasksRoomCounts) {
  const auto changes = pacing.Decide(
      {ServingMeasure{3.0, 3.0, 3.0}, ServingMeasure{2.0, 2.0, planned + 0.1}},
      {MakePace("x", {0.1, 0.5})}, clock.Now());
  LONGS_EQUAL(20, changes.at(0).percent);
}

TEST(HostPacing, WorkSlowsDownBeforeTheLoadThatIsComing) {
  const auto changes = pacing.Decide({ServingMeasure{2.0, 2.5, planned + 0.25}},
                                     {MakePace("x", {0.5})}, clock.Now());
  LONGS_EQUAL(50, changes.at(0).percent);
}

TEST(HostPacing, ATailThatStaysOverItsTargetHaltsTheSuspects) {
  const std::vector<BestEffortPace> paced{MakePace("suspect", {0.4}),
                                          MakePace("harmless", {0.0})};
  // The measures may still show what was slowed meanwhile.
  CHECK(Decide(0.7, 3.0, paced).empty());
  clock.Advance(PacingSettings().halt_after);
  const auto changes = Decide(0.7, 3.0, paced);
  LONGS_EQUAL(1, changes.size());
  CHECK(changes[0].id == MakeRun("suspect"));
  LONGS_EQUAL(0, changes[0].percent);
}

TEST(HostPacing, ATailThatIsOverItsTargetByItselfHaltsNobody) {
  const std::vector<BestEffortPace> paced{MakePace("x", {0.04})};
  CHECK(Decide(0.7, 0.7, paced).empty());
  clock.Advance(PacingSettings().halt_after);
  CHECK(Decide(0.7, 0.7, paced).empty());
}

TEST(HostPacing, AHaltedTaskComesBackInSteps) {
  Decide(0.7, 3.0, {MakePace("x", {0.4})});
  clock.Advance(PacingSettings().halt_after);
  Decide(0.7, 3.0, {MakePace("x", {0.4})});
  CHECK(Decide(3.0, 3.0, {MakePace("x", {0.4}, 0)}).empty());
  clock.Advance(PacingSettings().recover_every);
  LONGS_EQUAL(50, Decide(3.0, 3.0, {MakePace("x", {0.4}, 0)}).at(0).percent);
  clock.Advance(PacingSettings().recover_every);
  LONGS_EQUAL(100, Decide(3.0, 3.0, {MakePace("x", {0.4}, 50)}).at(0).percent);
}

TEST(HostPacing, WorkWhosePaceTheMeasuresDoNotShowIsNotSpedUp) {
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

TEST(HostPacing, ASmallChangeIsNotWorthACall) {
  const double margin = planned + 0.4;
  CHECK(Decide(margin, margin, {MakePace("x", {0.7}, 60)}).empty());
}

// Load: a wave of best-effort tasks lands beside a serving task, and what is
// believed of their harm is far too little. The tail must not stay over its
// target for the four seconds after which users are harmed.
TEST(HostPacing, UnderAWaveTheTailIsBackBelowItsTargetWithinFourSeconds) {
  DisturbedHost host;
  constexpr Duration kMeasureEvery{500};
  constexpr Duration kHarm{4000};
  constexpr double kUnknownHarm = 0.3;
  Duration over{0};
  Duration longest{0};
  for (int step = 0; step < 120; ++step) {
    over = host.Margin() < 1.0 ? over + kMeasureEvery : Duration(0);
    longest = std::max(longest, over);
    for (const auto& change :
         Decide(host.Margin(), host.quiet,
                {MakePace("gentle", {kUnknownHarm}, host.gentle_percent),
                 MakePace("harmful", {kUnknownHarm}, host.harmful_percent)})) {
      (change.id == MakeRun("gentle") ? host.gentle_percent
                                      : host.harmful_percent) = change.percent;
    }
    clock.Advance(kMeasureEvery);
  }
  CHECK(longest < kHarm);
}
