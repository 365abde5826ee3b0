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
  double quiet_tail_ms = 40;
  double gentle_ms = 10;
  double harmful_ms = 150;
  int gentle_percent = 100;
  int harmful_percent = 100;

  double Tail() const {
    return quiet_tail_ms + gentle_ms * gentle_percent / 100 +
           harmful_ms * harmful_percent / 100;
  }
};

}  // namespace

TEST_GROUP(HostPacing) {
  HostPacing pacing;
  ManualClock clock;
  const Duration target{100};

  std::vector<BestEffortPace> Decide(double tail_ms,
                                     std::vector<BestEffortPace> paced) {
    return pacing.Decide(
        {ServingMeasure{MakeRun("serving"),
                        Duration(static_cast<std::int64_t>(tail_ms)), target}},
        paced, clock.Now());
  }
};

TEST(HostPacing, AHostWithoutServingTasksRunsAtFullSpeed) {
  CHECK(pacing.Decide({}, {BestEffortPace{MakeRun("x"), 100}}, clock.Now())
            .empty());
  DOUBLES_EQUAL(0, pacing.pressure(), 0);
}

TEST(HostPacing, ATailFarOverItsTargetHaltsBestEffortWorkAtOnce) {
  const auto changes = Decide(200, {BestEffortPace{MakeRun("x"), 100}});
  LONGS_EQUAL(1, changes.size());
  LONGS_EQUAL(0, changes[0].percent);
}

TEST(HostPacing, ATailNearItsTargetSlowsBestEffortWork) {
  const auto changes = Decide(95, {BestEffortPace{MakeRun("x"), 100}});
  LONGS_EQUAL(50, changes.at(0).percent);
  // The effect does not show yet.
  CHECK(Decide(95, {BestEffortPace{MakeRun("x"), 50}}).empty());
}

TEST(HostPacing, ASlowedTaskSpeedsUpAgainInSteps) {
  Decide(200, {BestEffortPace{MakeRun("x"), 100}});
  clock.Advance(Duration(1000));
  LONGS_EQUAL(20, Decide(30, {BestEffortPace{MakeRun("x"), 0}}).at(0).percent);
  CHECK(Decide(30, {BestEffortPace{MakeRun("x"), 20}}).empty());
  clock.Advance(Duration(1000));
  LONGS_EQUAL(40, Decide(30, {BestEffortPace{MakeRun("x"), 20}}).at(0).percent);
}

// Load: a wave of best-effort tasks lands beside a serving task. It must not
// stay over its target for the four seconds after which users are harmed.
TEST(HostPacing, UnderAWaveTheTailIsBackBelowItsTargetWithinFourSeconds) {
  DisturbedHost host;
  constexpr Duration kMeasureEvery{500};
  constexpr Duration kHarm{4000};
  Duration over{0};
  Duration longest{0};
  for (int step = 0; step < 120; ++step) {
    over = host.Tail() > 100 ? over + kMeasureEvery : Duration(0);
    longest = std::max(longest, over);
    for (const auto& change :
         Decide(host.Tail(),
                {BestEffortPace{MakeRun("gentle"), host.gentle_percent},
                 BestEffortPace{MakeRun("harmful"), host.harmful_percent}})) {
      (change.id == MakeRun("gentle") ? host.gentle_percent
                                      : host.harmful_percent) = change.percent;
    }
    clock.Advance(kMeasureEvery);
  }
  CHECK(longest < kHarm);
  CHECK(host.gentle_percent > 0);
}
