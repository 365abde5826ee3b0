#pragma once

#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "placement/host_ledger.h"
#include "placement/messages.h"
#include "placement/placement_times.h"
#include "ports/worker.h"

namespace zinniacart {

/// The agent's side of the placement protocol, and the only admission point
/// for its host: reserves resources for offered tasks, has the host's worker
/// start, renew and stop them, and reports their state to their owners. A state
/// machine without I/O: call it with messages, worker results and the current
/// time, then carry out the effects. Every instant is on the host's monotonic
/// clock.
///
/// It guarantees that:
/// - a task generation is started at most once, only within
///   `PlacementTimes::stamp_validity` after a stamp of this agent incarnation,
///   only for the newest owner it has received a message from, and only with
///   resources reserved in the ledger;
/// - a generation that it reported absent never starts later.
class TaskSupervisor final {
 public:
  /// Send a message to an entry.
  struct Send {
    EntryId entry;
    AgentMessage message;
  };
  /// Start a task on the worker, then call `OnWorkerStarted`. The worker must
  /// not start it after `not_after`, and ends it by itself at `lease_until`.
  struct StartOnWorker {
    WorkerTask task;
    Instant not_after;
    Instant lease_until;
  };
  /// Extend a task's lease on the worker.
  struct RenewOnWorker {
    TaskId task;
    Generation generation;
    Instant lease_until;
  };
  /// Checkpoint and stop a task on the worker, then call `OnWorkerStopped`.
  struct StopOnWorker {
    TaskId task;
    Generation generation;
  };
  /// Remove an ended task from the worker's list.
  struct ForgetOnWorker {
    TaskId task;
    Generation generation;
  };
  using Effect = std::
      variant<Send, StartOnWorker, RenewOnWorker, StopOnWorker, ForgetOnWorker>;

  TaskSupervisor(DomainId domain,
                 HostId host,
                 Incarnation incarnation,
                 PlacementTimes times);

  /// Rebuilds the ledger and the tasks from the worker's list; called once.
  /// Until then offers and starts are refused with `kNotReady` and queries are
  /// ignored.
  void Rebuild(const Resources& capacity,
               const std::vector<WorkerTaskStatus>& tasks,
               Instant now);

  /// Sets the live entries, to which tasks are reported whose owner may have
  /// changed.
  void SetEntries(std::vector<EntryId> entries);

  /// Sets whether the configuration with `serial` allows work on this host.
  /// The serial must not decrease. While work is not allowed, offers and starts
  /// are refused with `kDraining`, except a start with a higher
  /// `config_serial`, whose owner has read a newer configuration.
  void SetWorkAllowed(bool allowed, ConfigSerial serial);

  /// Handles a message from an owner. One with a lower epoch than the highest
  /// received for its shard is refused with `kStaleEpoch` where it is an offer
  /// or a start and ignored where it is a stop, query or renewal. A repeated
  /// start of a running or ended generation is answered with a report instead.
  void Handle(const EntryId& from, const OwnerMessage& message, Instant now);

  /// Handles the response to `StartOnWorker`. Only `kPreconditionFailed` means
  /// that the worker refused the start for certain; after any other error the
  /// next worker list shows whether the task is running.
  void OnWorkerStarted(const TaskId& task,
                       Generation generation,
                       const Result<void>& result,
                       Instant now);

  /// Handles the response to `StopOnWorker`. An error is ignored: the stop is
  /// requested again every `PlacementTimes::resend`.
  void OnWorkerStopped(const TaskId& task,
                       Generation generation,
                       const Result<CheckpointId>& result,
                       Instant now);

  /// Handles the worker's task list, requested at `asked_at`. A task that is
  /// not in it is reported absent if the worker could no longer start it at
  /// that time.
  void OnWorkerList(const std::vector<WorkerTaskStatus>& tasks,
                    Instant asked_at,
                    Instant now);

  /// Sends heartbeats with reports of the tasks, stops tasks whose lease has
  /// expired, resends stop requests without a response, and releases expired
  /// reservations. Call every `PlacementTimes::heartbeat` or more often.
  void Tick(Instant now);

  /// @returns the effects since the last call, in order.
  std::vector<Effect> TakeEffects();

  /// @returns whether the ledger has been rebuilt.
  bool ready() const { return m_ready; }
  const HostLedger& ledger() const { return m_ledger; }
  /// @returns a stamp of this agent incarnation with the time `now`.
  Stamp MakeStamp(Instant now) const { return Stamp{m_incarnation, now}; }

  /// A running batch task, for the interference control.
  struct BatchTask {
    TaskId task;
    JobId job;
  };
  /// @returns the batch tasks that are running.
  std::vector<BatchTask> RunningBatchTasks() const;
  /// Checkpoints and stops a running task, which its owner then places again;
  /// does nothing where the task is not running.
  void Evict(const TaskId& task, Instant now);

 private:
  enum class State {
    kReserved,  ///< An offer was accepted, but no start message yet.
    kStarting,  ///< The worker was asked to start it.
    kRunning,
    kStopping,  ///< The worker was asked to stop it.
    kEnded      ///< It is reported until the owner acknowledges the end.
  };

  /// The latest known generation of a task on this host.
  struct Task {
    Generation generation;
    State state = State::kReserved;
    ShardId shard;
    /// The entry that sent the latest offer, start, stop or query for it; empty
    /// after a rebuild.
    EntryId owner;
    TaskClass task_class = TaskClass::kBatch;
    Resources demand;
    Instant reserved_until;
    /// The worker does not start the task after this.
    Instant not_after;
    Instant lease_until;
    Instant stop_sent_at;
    ReportedState reported_state = ReportedState::kRunning;
    CheckpointId checkpoint;
  };
  /// Offers and starts of generations up to `generation` are refused until
  /// `until`, and for longer while the task is in `m_tasks`.
  struct GenerationFence {
    Generation generation;
    Instant until;
  };
  /// The highest epoch received for a shard and the entry that sent it.
  struct Ownership {
    Epoch epoch;
    EntryId entry;
  };
  /// Resources kept free for an urgent or latency-critical task while batch
  /// tasks are preempted for it.
  struct PreemptionReservation {
    Resources demand;
    Instant until;
  };

  void HandleOffer(const EntryId& from,
                   const OfferMessage& message,
                   Instant now);
  void HandleStart(const EntryId& from,
                   const StartMessage& message,
                   Instant now);
  void HandleStop(const EntryId& from, const StopMessage& message, Instant now);
  void HandleQuery(const EntryId& from,
                   const QueryMessage& message,
                   Instant now);
  void HandleRenew(const RenewMessage& message, Instant now);
  void HandleAcknowledge(const AcknowledgeMessage& message, Instant now);

  std::optional<ErrorCode> CheckOffer(const OfferMessage& message, Instant now);
  std::optional<ErrorCode> CheckStart(const StartMessage& message, Instant now);
  /// Records the sender as the shard's owner unless the epoch is stale.
  /// @returns false where a higher epoch was received before.
  bool AcceptEpoch(const EntryId& from, ShardId shard, Epoch epoch);
  bool IsFenced(const TaskId& task, Generation generation) const;
  void RaiseFence(const TaskId& task, Generation generation, Instant now);
  /// @returns whether the offer fits into the capacity that is neither reserved
  /// in the ledger nor kept free for other tasks by a preemption.
  bool HasFreeCapacity(const OfferMessage& message) const;
  /// Stops running batch tasks and keeps their resources for the offered task,
  /// so that a repeated offer fits; does nothing where they are not enough.
  void PreemptBatchTasks(const OfferMessage& message, Instant now);
  void RefuseOffer(const EntryId& to, const PlacementKey& key, ErrorCode code);
  void RefuseStart(const EntryId& to, const PlacementKey& key, ErrorCode code);
  /// Reports the generation absent, which guarantees that it never starts.
  void ReportAbsent(const EntryId& to, const PlacementKey& key, Instant now);
  /// Requests the stop from the worker, for the first time or again.
  void RequestStop(const TaskId& id, Task& task, Instant now);
  /// Records how a task ended, releases its resources and reports it.
  void RecordEnd(const TaskId& id,
                 Task& task,
                 ReportedState reported_state,
                 const CheckpointId& checkpoint,
                 Instant now);
  /// Removes a task and releases its resources.
  void RemoveTask(const TaskId& id, Instant now);
  void SendReport(const EntryId& to, const TaskId& id, const Task& task);
  void SendHeartbeats(Instant now);

  const DomainId m_domain;
  const HostId m_host;
  const Incarnation m_incarnation;
  const PlacementTimes m_times;
  bool m_ready = false;
  bool m_work_allowed = true;
  ConfigSerial m_config_serial;
  HostLedger m_ledger;
  std::vector<EntryId> m_entries;
  std::map<TaskId, Task> m_tasks;
  std::map<TaskId, GenerationFence> m_generation_fences;
  std::map<TaskId, PreemptionReservation> m_preemption_reservations;
  std::map<ShardId, Ownership> m_owners;
  Instant m_last_heartbeat;
  std::vector<Effect> m_effects;
};

}  // namespace zinniacart
