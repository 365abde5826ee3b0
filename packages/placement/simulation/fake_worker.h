#pragma once

#include <map>
#include <vector>

#include "placement/simulation/event_queue.h"
#include "placement/simulation/host_clock.h"
#include "placement/simulation/oracle.h"
#include "ports/worker.h"

namespace zinniacart::simulation {

/// A simulated worker: runs tasks on its host's clock, ends them when their run
/// time is reached or their lease expires, and reports every start, checkpoint
/// and end to the oracle. The calls behave as those of `Worker` with the same
/// names.
class FakeWorker final {
 public:
  FakeWorker(EventQueue& events,
             Oracle& oracle,
             const HostClock& clock,
             HostId host,
             DomainId domain,
             Resources capacity);

  /// Accepts calls only from the highest incarnation of the agent so far.
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

  /// Simulates a power loss of the host: every task ends without a checkpoint
  /// and the list of tasks is lost.
  void LosePower();
  /// Updates all tasks periodically from now on, so that they finish and their
  /// leases expire even while no agent is running. Call once.
  void AdvancePeriodically();

  /// Makes every task fail immediately after its start.
  void set_fails_everything(bool fails) { m_fails_everything = fails; }
  /// Lets tasks run on after their leases expire, as a faulty worker would.
  void set_ignores_leases(bool ignores) { m_ignores_leases = ignores; }
  const Resources& capacity() const { return m_capacity; }

 private:
  struct Task {
    WorkerTaskStatus status;
    /// Completed run time, including that before the checkpoint it resumed
    /// from. A checkpoint is this number of milliseconds as text.
    Duration progress{0};
    /// The time on the host's clock up to which `progress` is counted.
    Instant progress_at;
  };
  /// Updates the progress of every running task and ends those that are due.
  void Advance();
  void Advance(const TaskId& id, Task& task);
  void EndTask(const TaskId& id, Task& task, WorkerTaskState state);
  Resources UsedResources() const;

  EventQueue& m_events;
  Oracle& m_oracle;
  const HostClock& m_clock;
  const HostId m_host;
  const DomainId m_domain;
  const Resources m_capacity;
  Incarnation m_incarnation;
  bool m_fails_everything = false;
  bool m_ignores_leases = false;
  std::map<TaskId, Task> m_tasks;
};

}  // namespace zinniacart::simulation
