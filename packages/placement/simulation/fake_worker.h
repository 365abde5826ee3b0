#pragma once

#include <map>
#include <vector>

#include "placement/simulation/event_queue.h"
#include "placement/simulation/node_clock.h"
#include "placement/simulation/oracle.h"
#include "ports/worker.h"

namespace zinniacart::simulation {

/// A worker that runs tasks in true time and tells the oracle.
class FakeWorker final {
 public:
  FakeWorker(EventQueue& events,
             Oracle& oracle,
             const NodeClock& clock,
             HostId host,
             DomainId domain,
             Resources capacity);

  Result<void> Attach(Incarnation incarnation);
  std::vector<WorkerTaskStatus> List();
  Result<void> Start(Incarnation incarnation,
                     const WorkerTask& task,
                     Instant not_after,
                     Instant lease_until);
  Result<void> Renew(Incarnation incarnation,
                     const TaskId& task,
                     Generation generation,
                     Instant lease_until);
  Result<CheckpointId> Stop(Incarnation incarnation,
                            const TaskId& task,
                            Generation generation);
  void Forget(Incarnation incarnation,
              const TaskId& task,
              Generation generation);

  /// The whole host loses power: every task ends, the list is empty.
  void LosePower();
  /// Lets tasks finish and leases lapse from now on, agent or no agent.
  void Run();

  void set_fails_everything(bool fails) { m_fails = fails; }
  void set_ignores_leases(bool ignores) { m_ignores_leases = ignores; }
  const Resources& capacity() const { return m_capacity; }

 private:
  struct Task {
    WorkerTaskStatus status;
    Duration done{0};
    Instant progressed_at;
  };
  void Advance();
  void Advance(const TaskId& id, Task& task);
  void End(const TaskId& id, Task& task, WorkerTaskState state);
  Resources Use() const;

  EventQueue& m_events;
  Oracle& m_oracle;
  const NodeClock& m_clock;
  const HostId m_host;
  const DomainId m_domain;
  const Resources m_capacity;
  Incarnation m_incarnation;
  bool m_fails = false;
  bool m_ignores_leases = false;
  std::map<TaskId, Task> m_tasks;
};

}  // namespace zinniacart::simulation
