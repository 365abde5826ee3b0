#pragma once

#include <CppUTest/TestHarness.h>

#include "hosting/host_supervisor.h"

namespace zinniacart {

inline const WorkerIncarnation kIncarnation(1000);
inline const WorkerIncarnation kNextIncarnation(2000);
inline constexpr std::int64_t kWorkerClockMs = 500000;

inline TaskRun MakeRun(const std::string& job, std::uint64_t run) {
  return TaskRun{TaskKey{JobId(job), 0, 0, 0}, RunNumber(run)};
}

/// A supervisor whose owner and worker are scripted by the test.
struct SupervisorHarness : public Utest {
  ManualClock clock;
  // The clock does not begin at 0, as the host runs before its agent starts.
  const Instant began = [this] {
    clock.Advance(Duration(100000));
    return clock.Now();
  }();
  SupervisorSettings settings;
  HostSupervisor supervisor{Incarnation(1), SupervisorSettings(), clock};
  HostOrders orders;
  WorkerLists lists;

  void setup() override {
    orders.epoch = Epoch(3);
    orders.incarnation = kIncarnation;
    lists.incarnation = kIncarnation;
    lists.clock = WorkerInstant{kWorkerClockMs};
  }

  /// Sends `orders` with a grant of the present time.
  /// @returns whether they were accepted.
  bool SendOrders() {
    orders.granted_stamp = clock.Now();
    const bool accepted = supervisor.OnOrders(orders).has_value();
    orders.starts.clear();
    orders.stops.clear();
    orders.paces.clear();
    return accepted;
  }

  /// Sends an order to start `id`.
  void OrderStart(const TaskRun& id) {
    orders.starts.push_back(StartOrder{id, "payload", {}, {}});
    CHECK(SendOrders());
  }

  /// Answers each hold that is due with `lists`. @returns the other due calls.
  std::vector<WorkerCall> AnswerHolds() {
    std::vector<WorkerCall> others;
    for (const WorkerCall& call : supervisor.TakeCalls()) {
      if (const auto* hold = std::get_if<HoldCall>(&call)) {
        supervisor.OnHoldAnswered(*hold, lists);
      } else {
        others.push_back(call);
      }
    }
    return others;
  }

  /// Advances the clocks of the host and of the worker.
  void AdvanceClocks(Duration duration) {
    clock.Advance(duration);
    lists.clock.milliseconds += duration.count();
  }

  /// Connects the supervisor to its owner and its worker.
  void Attach() {
    CHECK(SendOrders());
    AnswerHolds();
    CHECK(supervisor.listed());
  }

  /// Answers the holds that are due. @returns the start that is due.
  StartCall TakeStart() {
    for (const WorkerCall& call : AnswerHolds()) {
      if (const auto* start = std::get_if<StartCall>(&call)) {
        return *start;
      }
    }
    FAIL("no start was due");
    return {};
  }
};

}  // namespace zinniacart
