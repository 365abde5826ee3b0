#include "scheduling/host_pacing.h"

#include <CppUTest/TestHarness.h>

using namespace zinniacart;

namespace {

TaskRun MakeRun(const std::string& job) {
  return TaskRun{TaskKey{JobId(job), 0, 0, 0}, RunNumber(1)};
}

/// One host on which two best-effort tasks disturb one serving task: its tail
/// grows with the sum of their disturbances, as of their paces.
struct DisturbedHost {
  double quiet = 0.4;
  double gentle = 0.1;
  double harmful = 1.5;
  int gentle_percent = 100;
  int harmful_percent = 100;

  double Pressure() const {
    return quiet + gentle * gentle_percent / 100 +
           harmful * harmful_percent / 100;
  }
};

}  // namespace

TEST_GROUP(HostPacing) {
  HostPacing pacing;
  ManualClock clock;

  std::vector<BestEffortPace> Decide(double pressure, double undisturbed,
                                     std::vector<BestEffortPace> paced) {
    return pacing.Decide({ServingMeasure{pressure, undisturbed}}, paced,
                         clock.Now());
  }
};

TEST(HostPacing, AHostWithoutServingTasksRunsAtFullSpeed) {
  CHECK(pacing.Decide({}, {BestEffortPace{MakeRun("x"), 100, {}}}, clock.Now())
            .empty());
  DOUBLES_EQUAL(0, pacing.pressure(), 0);
}

TEST(HostPacing, PacesFollowWhatIsBelievedOfEachTask) {
  // Room for 0.4 of the target: the gentle one goes on, the harmful one gets
  // what is left.
  const auto changes = Decide(0.4, 0.4,
                              {BestEffortPace{MakeRun("harmful"), 100, {0.6}},
                               BestEffortPace{MakeRun("gentle"), 100, {0.1}}});
  LONGS_EQUAL(1, changes.size());
  CHECK(changes[0].id == MakeRun("harmful"));
  LONGS_EQUAL(50, changes[0].percent);
}

TEST(HostPacing, EachServingTasksRoomCounts) {
  const auto changes = pacing.Decide(
      {ServingMeasure{0.2, 0.2}, ServingMeasure{0.7, 0.7}},
      {BestEffortPace{MakeRun("x"), 100, {0.1, 0.5}}}, clock.Now());
  LONGS_EQUAL(20, changes.at(0).percent);
}

TEST(HostPacing, ATailOverItsTargetHaltsTheSuspectsAtOnce) {
  const auto changes =
      Decide(1.5, 0.3,
             {BestEffortPace{MakeRun("suspect"), 100, {0.4}},
              BestEffortPace{MakeRun("harmless"), 100, {0.0}}});
  LONGS_EQUAL(1, changes.size());
  CHECK(changes[0].id == MakeRun("suspect"));
  LONGS_EQUAL(0, changes[0].percent);
}

TEST(HostPacing, AHaltedTaskComesBackInSteps) {
  Decide(1.5, 0.3, {BestEffortPace{MakeRun("x"), 100, {0.4}}});
  CHECK(Decide(0.3, 0.3, {BestEffortPace{MakeRun("x"), 0, {0.4}}}).empty());
  clock.Advance(Duration(1000));
  LONGS_EQUAL(
      20,
      Decide(0.3, 0.3, {BestEffortPace{MakeRun("x"), 0, {0.4}}}).at(0).percent);
  clock.Advance(Duration(1000));
  LONGS_EQUAL(40, Decide(0.3, 0.3, {BestEffortPace{MakeRun("x"), 20, {0.4}}})
                      .at(0)
                      .percent);
}

TEST(HostPacing, ASmallChangeIsNotWorthACall) {
  CHECK(Decide(0.4, 0.4, {BestEffortPace{MakeRun("x"), 60, {0.6}}}).empty());
}

// Load: a wave of best-effort tasks lands beside a serving task, and nothing
// is known of their harm yet. The tail must not stay over its target for the
// four seconds after which users are harmed.
TEST(HostPacing, UnderAWaveTheTailIsBackBelowItsTargetWithinFourSeconds) {
  DisturbedHost host;
  constexpr Duration kMeasureEvery{500};
  constexpr Duration kHarm{4000};
  constexpr double kUnknownHarm = 0.3;
  Duration over{0};
  Duration longest{0};
  for (int step = 0; step < 120; ++step) {
    over = host.Pressure() > 1.0 ? over + kMeasureEvery : Duration(0);
    longest = std::max(longest, over);
    for (const auto& change : Decide(
             host.Pressure(), host.quiet,
             {BestEffortPace{
                  MakeRun("gentle"), host.gentle_percent, {kUnknownHarm}},
              BestEffortPace{
                  MakeRun("harmful"), host.harmful_percent, {kUnknownHarm}}})) {
      (change.id == MakeRun("gentle") ? host.gentle_percent
                                      : host.harmful_percent) = change.percent;
    }
    clock.Advance(kMeasureEvery);
  }
  CHECK(longest < kHarm);
}
