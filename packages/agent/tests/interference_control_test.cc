#include "agent/interference_control.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>

using namespace zinniacart;

namespace {

const TaskId kQuiet("team:quiet:0");
const TaskId kNoisy("team:noisy:0");

}  // namespace

/// One host where only one of two tasks slows the service.
TEST_GROUP(InterferenceControl) {
  InterferenceControl control;
  Instant now{0};
  std::map<TaskId, int> percent{{kQuiet, 100}, {kNoisy, 100}};
  int evictions = 0;

  double Pressure() const {
    return 0.5 + 1.5 * percent.at(kNoisy) / 100.0;
  }

  void Step(double pressure) {
    now = now + InterferenceControl::kInterval;
    const auto actions =
        control.Observe({pressure, true, {kQuiet, kNoisy}}, now);
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

TEST(InterferenceControl, FindsTheCauseAndGivesTheOtherItsSpeedBack) {
  for (int step = 0; step < 60; ++step) {
    Step(Pressure());
  }
  CHECK_EQUAL(100, percent[kQuiet]);
  CHECK(percent[kNoisy] < 50);
  CHECK_EQUAL(0, evictions);
}

TEST(InterferenceControl, LeavesBatchAloneWhileServicesAreFast) {
  for (int step = 0; step < 60; ++step) {
    Step(0.5);
  }
  CHECK_EQUAL(100, percent[kQuiet]);
  CHECK_EQUAL(100, percent[kNoisy]);
}

TEST(InterferenceControl, EvictsNothingThatThrottlingDoesNotHelp) {
  // The slowness has another cause: no task is to blame.
  for (int step = 0; step < 200; ++step) {
    Step(2.0);
  }
  CHECK_EQUAL(0, evictions);
  CHECK_EQUAL(100, percent[kQuiet]);
  CHECK_EQUAL(100, percent[kNoisy]);
}

TEST(InterferenceControl, EvictsAtMostOncePerMinute) {
  // Throttling helps a little and never enough.
  double pressure = 20.0;
  for (int step = 0; step < 240; ++step) {
    const int before = percent[kNoisy];
    Step(pressure);
    pressure = percent[kNoisy] < before ? pressure * 0.8 : pressure;
    pressure = std::max(pressure, 1.5);
  }
  CHECK(evictions <= 2);
}
