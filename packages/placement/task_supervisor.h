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

/// The agent's half of the placement protocol: the only admission point for
/// its host. A state machine without I/O: feed it messages, worker results
/// and the time; carry out the effects it hands back.
///
/// It promises that a task generation is started at most once, only within
/// `stamp_validity` of its own stamp, only for the newest owner it has seen,
/// and only into room that the ledger holds; and that what it reported
/// absent stays absent.
class TaskSupervisor final {
 public:
  /// Send a message to an entry.
  struct Send {
    EntryId entry;
    AgentMessage message;
  };
  /// Start a task on the worker.
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
  /// Checkpoint and stop a task on the worker.
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

  /// Rebuilds the ledger from the worker's own list. Until then every offer
  /// and start is refused as not-ready.
  void Rebuild(const Resources& capacity,
               const std::vector<WorkerTaskStatus>& tasks,
               Instant now);

  /// Takes the entries to report orphaned tasks to.
  void SetEntries(std::vector<EntryId> entries);

  /// Takes the configuration's view of this host.
  void SetWorkAllowed(bool allowed, ConfigSerial serial);

  /// Takes a message of an owner.
  void Handle(const EntryId& from, const OwnerMessage& message, Instant now);

  /// Takes the worker's answer to `StartOnWorker`. A definite refusal is
  /// `kPreconditionFailed`; anything else is resolved from the next list.
  void OnWorkerStarted(const TaskId& task,
                       Generation generation,
                       const Result<void>& result,
                       Instant now);

  /// Takes the worker's answer to `StopOnWorker`.
  void OnWorkerStopped(const TaskId& task,
                       Generation generation,
                       const Result<CheckpointId>& result,
                       Instant now);

  /// Takes the worker's list, asked for at `asked_at`.
  void OnWorkerList(const std::vector<WorkerTaskStatus>& tasks,
                    Instant asked_at,
                    Instant now);

  /// Sends heartbeats, ends leases, drops expired holds. Call every
  /// `heartbeat` or more often.
  void Tick(Instant now);

  /// @returns the effects since the last call, in order.
  std::vector<Effect> TakeEffects();

  bool ready() const { return m_ready; }
  const HostLedger& ledger() const { return m_ledger; }
  /// @returns the stamp for now.
  Stamp MakeStamp(Instant now) const { return Stamp{m_incarnation, now}; }

  /// One running batch task, for the interference control.
  struct BatchTask {
    TaskId task;
    JobId job;
  };
  /// @returns the batch tasks that run now.
  std::vector<BatchTask> RunningBatchTasks() const;
  /// Checkpoints and stops a running batch task; its owner places it anew.
  void Evict(const TaskId& task, Instant now);

 private:
  enum class State { kReserved, kStarting, kRunning, kStopping, kEnded };

  struct Task {
    Generation generation;
    State state = State::kReserved;
    ShardId shard;
    EntryId owner;
    TaskClass task_class = TaskClass::kBatch;
    Resources demand;
    Instant reserved_until;
    Instant not_after;
    Instant lease_until;
    Instant stop_sent_at;
    ReportedState report = ReportedState::kRunning;
    CheckpointId checkpoint;
  };
  /// Generations up to `generation` are refused until `until`.
  struct Floor {
    Generation generation;
    Instant until;
  };
  struct Ownership {
    Epoch epoch;
    EntryId entry;
  };
  /// Room kept for an urgent task while batch tasks make way.
  struct Earmark {
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
  bool NoteEpoch(const EntryId& from, ShardId shard, Epoch epoch);
  bool IsBelowFloor(const TaskId& task, Generation generation) const;
  void RaiseFloor(const TaskId& task, Generation generation, Instant now);
  bool HasRoom(const OfferMessage& message) const;
  void MakeWay(const OfferMessage& message, Instant now);
  void RefuseOffer(const EntryId& to, const PlacementKey& key, ErrorCode code);
  void RefuseStart(const EntryId& to, const PlacementKey& key, ErrorCode code);
  void AnswerAbsent(const EntryId& to, const PlacementKey& key, Instant now);
  void BeginStop(const TaskId& id, Task& task, Instant now);
  void End(const TaskId& id,
           Task& task,
           ReportedState report,
           const CheckpointId& checkpoint,
           Instant now);
  void Drop(const TaskId& id, Instant now);
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
  std::map<TaskId, Floor> m_floors;
  std::map<TaskId, Earmark> m_earmarks;
  std::map<ShardId, Ownership> m_owners;
  Instant m_last_heartbeat;
  std::vector<Effect> m_effects;
};

}  // namespace zinniacart
