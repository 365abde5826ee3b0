#pragma once

#include <CppUTest/TestHarness.h>

#include "hosting/host_supervisor.h"

namespace zinniacart {

inline const WorkerIncarnation kLife(1000);
inline const WorkerIncarnation kNextLife(2000);
inline constexpr std::int64_t kWorkerClockMs = 500000;

inline TaskRun MakeRun(const std::string& job, std::uint64_t run) {
  return TaskRun{TaskKey{JobId(job), 0, 0, 0}, RunNumber(run)};
}

/// A supervisor whose owner and worker a test plays by hand.
struct SupervisorHarness : public Utest {
  ManualClock clock;
  // The host was up for a while before its agent began.
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
    orders.incarnation = kLife;
    lists.incarnation = kLife;
    lists.clock = WorkerInstant{kWorkerClockMs};
  }

  /// Sends the orders as of now. @returns whether they were accepted.
  bool Order() {
    orders.granted_stamp = clock.Now();
    const bool accepted = supervisor.OnOrders(orders).has_value();
    orders.starts.clear();
    orders.stops.clear();
    orders.paces.clear();
    return accepted;
  }

  void Start(const TaskRun& id) {
    orders.starts.push_back(StartOrder{id, "payload", {}, {}});
    CHECK(Order());
  }

  /// Answers each hold that is due with the lists. @returns the other calls.
  std::vector<WorkerCall> Exchange() {
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

  /// Lets time pass on both clocks.
  void Pass(Duration duration) {
    clock.Advance(duration);
    lists.clock.milliseconds += duration.count();
  }

  /// Brings the supervisor to where it knows the worker and its owner.
  void Attach() {
    CHECK(Order());
    Exchange();
    CHECK(supervisor.listed());
  }

  StartCall TakeStart() {
    for (const WorkerCall& call : Exchange()) {
      if (const auto* start = std::get_if<StartCall>(&call)) {
        return *start;
      }
    }
    FAIL("no start was due");
    return {};
  }
};

}  // namespace zinniacart
