#include "agent/interference_control.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>

using namespace zinniacart;

namespace {

const TaskId kQuiet("team:quiet:0");
const TaskId kNoisy("team:noisy:0");

}  // namespace

/// A host with two batch tasks, of which only `kNoisy` slows the service down.
TEST_GROUP(InterferenceControl) {
  InterferenceControl control;
  Instant now{0};
  std::map<TaskId, int> percent{{kQuiet, 100}, {kNoisy, 100}};
  int evictions = 0;

  double LatencyRatio() const {
    return 0.5 + 1.5 * percent.at(kNoisy) / 100.0;
  }

  void Step(double latency_ratio) {
    now = now + InterferenceControl::kObservationInterval;
    const auto actions =
        control.Observe({latency_ratio, true, {kQuiet, kNoisy}}, now);
    for (const auto& action : actions) {
      if (const auto* throttle =
              std::get_if<InterferenceControl::Throttle>(&action)) {
        percent[throttle->task] = throttle->percent;
      } else {
        ++evictions;
      }
    }
  }
};

TEST(InterferenceControl, ThrottlesOnlyTheInterferingTask) {
  for (int step = 0; step < 60; ++step) {
    Step(LatencyRatio());
  }
  CHECK_EQUAL(100, percent[kQuiet]);
  CHECK(percent[kNoisy] < 50);
  CHECK_EQUAL(0, evictions);
}

TEST(InterferenceControl, DoesNotThrottleWhileServicesMeetTheirTargets) {
  for (int step = 0; step < 60; ++step) {
    Step(0.5);
  }
  CHECK_EQUAL(100, percent[kQuiet]);
  CHECK_EQUAL(100, percent[kNoisy]);
}

TEST(InterferenceControl, EvictsNothingWhenThrottlingDoesNotLowerLatency) {
  // The latency has another cause: no experiment is effective.
  for (int step = 0; step < 200; ++step) {
    Step(2.0);
  }
  CHECK_EQUAL(0, evictions);
  CHECK_EQUAL(100, percent[kQuiet]);
  CHECK_EQUAL(100, percent[kNoisy]);
}

TEST(InterferenceControl, EvictsAtMostOncePerMinute) {
  // Each throttling lowers the latency ratio, but never below the target. The
  // run takes 240 * 500 ms = 2 minutes.
  double latency_ratio = 20.0;
  for (int step = 0; step < 240; ++step) {
    const int percent_before = percent[kNoisy];
    Step(latency_ratio);
    latency_ratio =
        percent[kNoisy] < percent_before ? latency_ratio * 0.8 : latency_ratio;
    latency_ratio = std::max(latency_ratio, 1.5);
  }
  CHECK(evictions <= 2);
}
