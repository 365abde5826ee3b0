#include "placement/task_supervisor.h"

#include <algorithm>

#include "base/invariant.h"

namespace zinniacart {
namespace {

ReportedState ToReportedState(WorkerTaskState state) {
  switch (state) {
    case WorkerTaskState::kRunning:
      return ReportedState::kRunning;
    case WorkerTaskState::kFinished:
      return ReportedState::kFinished;
    case WorkerTaskState::kFailed:
      return ReportedState::kFailed;
    case WorkerTaskState::kStopped:
      return ReportedState::kStopped;
  }
  return ReportedState::kStopped;
}

}  // namespace

TaskSupervisor::TaskSupervisor(DomainId domain,
                               HostId host,
                               Incarnation incarnation,
                               PlacementTimes times)
    : m_domain(std::move(domain)),
      m_host(std::move(host)),
      m_incarnation(incarnation),
      m_times(times) {}

void TaskSupervisor::Rebuild(const Resources& capacity,
                             const std::vector<WorkerTaskStatus>& tasks,
                             Instant now) {
  CheckInvariant(!m_ready, "the ledger is rebuilt at most once");
  m_ledger = HostLedger(capacity);
  for (const WorkerTaskStatus& status : tasks) {
    Task task;
    task.generation = status.task.generation;
    task.shard = status.task.shard;
    task.demand = status.task.demand;
    task.task_class = static_cast<TaskClass>(status.task.task_class);
    task.lease_until = status.lease_until;
    task.reported_state = ToReportedState(status.state);
    task.checkpoint = status.checkpoint;
    const bool running = status.state == WorkerTaskState::kRunning;
    task.state = running ? State::kRunning : State::kEnded;
    if (running) {
      m_ledger.ReserveUnchecked(status.task.task, task.demand);
    }
    RaiseFence(status.task.task, task.generation, now);
    m_tasks[status.task.task] = task;
  }
  m_ready = true;
}

void TaskSupervisor::SetEntries(std::vector<EntryId> entries) {
  m_entries = std::move(entries);
}

void TaskSupervisor::SetWorkAllowed(bool allowed, ConfigSerial serial) {
  CheckInvariant(serial >= m_config_serial,
                 "the serial of the configuration never decreases");
  m_work_allowed = allowed;
  m_config_serial = serial;
}

void TaskSupervisor::Handle(const EntryId& from,
                            const OwnerMessage& message,
                            Instant now) {
  std::visit(
      Visitor{[&](const OfferMessage& offer) { HandleOffer(from, offer, now); },
              [&](const StartMessage& start) { HandleStart(from, start, now); },
              [&](const StopMessage& stop) { HandleStop(from, stop, now); },
              [&](const QueryMessage& query) { HandleQuery(from, query, now); },
              [&](const RenewMessage& renew) {
                if (AcceptEpoch(from, renew.shard, renew.epoch)) {
                  HandleRenew(renew, now);
                }
              },
              [&](const AcknowledgeMessage& acknowledge) {
                HandleAcknowledge(acknowledge, now);
              }},
      message);
}

void TaskSupervisor::HandleOffer(const EntryId& from,
                                 const OfferMessage& message,
                                 Instant now) {
  if (!AcceptEpoch(from, message.key.shard, message.key.epoch)) {
    RefuseOffer(from, message.key, ErrorCode::kStaleEpoch);
    return;
  }
  const TaskId& id = message.key.task;
  if (const auto refusal = CheckOffer(message, now)) {
    const auto known = m_tasks.find(id);
    if (known != m_tasks.end() && known->second.state == State::kEnded) {
      // The owner must record how the earlier generation ended before it
      // places the task again.
      SendReport(from, id, known->second);
    }
    RefuseOffer(from, message.key, *refusal);
    return;
  }
  const bool fits = m_ledger.Reserve(id, message.demand);
  CheckInvariant(fits, "an offer that passed its checks fits into the ledger");
  Task& task = m_tasks[id];
  task = Task{};
  task.generation = message.key.generation;
  task.shard = message.key.shard;
  task.owner = from;
  task.task_class = message.task_class;
  task.demand = message.demand;
  task.reserved_until = now + m_times.stamp_validity;
  m_preemption_reservations.erase(id);
  m_effects.push_back(Send{from, OfferedMessage{message.key, MakeStamp(now)}});
}

std::optional<ErrorCode> TaskSupervisor::CheckOffer(const OfferMessage& message,
                                                    Instant now) {
  if (!m_ready) {
    return ErrorCode::kNotReady;
  }
  if (!m_work_allowed) {
    return ErrorCode::kDraining;
  }
  const TaskId& id = message.key.task;
  if (IsFenced(id, message.key.generation)) {
    return ErrorCode::kPreconditionFailed;
  }
  const auto found = m_tasks.find(id);
  if (found != m_tasks.end()) {
    const Task& task = found->second;
    const bool replaceable = task.state == State::kReserved &&
                             task.generation <= message.key.generation;
    if (!replaceable) {
      return ErrorCode::kConflict;
    }
  }
  if (!HasFreeCapacity(message)) {
    if (message.task_class != TaskClass::kBatch) {
      PreemptBatchTasks(message, now);
    }
    return ErrorCode::kNoRoom;
  }
  return std::nullopt;
}

void TaskSupervisor::HandleStart(const EntryId& from,
                                 const StartMessage& message,
                                 Instant now) {
  const TaskId& id = message.key.task;
  const auto found = m_tasks.find(id);
  const bool repeated = found != m_tasks.end() &&
                        found->second.generation == message.key.generation &&
                        found->second.state != State::kReserved;
  if (repeated) {
    if (found->second.state == State::kRunning ||
        found->second.state == State::kEnded) {
      SendReport(from, id, found->second);
    }
    return;
  }
  if (!AcceptEpoch(from, message.key.shard, message.key.epoch)) {
    RefuseStart(from, message.key, ErrorCode::kStaleEpoch);
    return;
  }
  if (const auto refusal = CheckStart(message, now)) {
    const bool reserved = found != m_tasks.end() &&
                          found->second.generation == message.key.generation;
    if (reserved) {
      RemoveTask(id, now);
    }
    // The refusal guarantees that this host never starts the generation, so a
    // duplicate of the message must be refused as well.
    RaiseFence(id, message.key.generation, now);
    RefuseStart(from, message.key, *refusal);
    return;
  }
  Task& task = found->second;
  task.state = State::kStarting;
  task.owner = from;
  task.not_after = message.stamp.agent_time + m_times.stamp_validity;
  task.lease_until = message.stamp.agent_time + m_times.run_lease;
  RaiseFence(id, task.generation, now);
  const WorkerTask worker_task{id,
                               task.generation,
                               task.shard,
                               task.demand,
                               static_cast<int>(task.task_class),
                               message.run_time,
                               message.resume_from};
  m_effects.push_back(
      StartOnWorker{worker_task, task.not_after, task.lease_until});
}

std::optional<ErrorCode> TaskSupervisor::CheckStart(const StartMessage& message,
                                                    Instant now) {
  if (!m_ready) {
    return ErrorCode::kNotReady;
  }
  const bool stamp_valid =
      message.stamp.incarnation == m_incarnation &&
      now - message.stamp.agent_time <= m_times.stamp_validity;
  if (!stamp_valid) {
    return ErrorCode::kStaleStamp;
  }
  if (IsFenced(message.key.task, message.key.generation)) {
    return ErrorCode::kPreconditionFailed;
  }
  const bool own_config_is_current = m_config_serial >= message.config_serial;
  if (own_config_is_current && !m_work_allowed) {
    return ErrorCode::kDraining;
  }
  const auto found = m_tasks.find(message.key.task);
  const bool reserved = found != m_tasks.end() &&
                        found->second.state == State::kReserved &&
                        found->second.generation == message.key.generation;
  return reserved ? std::nullopt : std::optional(ErrorCode::kNoRoom);
}

void TaskSupervisor::HandleStop(const EntryId& from,
                                const StopMessage& message,
                                Instant now) {
  if (!AcceptEpoch(from, message.key.shard, message.key.epoch)) {
    return;
  }
  const auto found = m_tasks.find(message.key.task);
  const bool present = found != m_tasks.end() &&
                       found->second.generation <= message.key.generation &&
                       found->second.state != State::kReserved;
  if (!present) {
    ReportAbsent(from, message.key, now);
    return;
  }
  Task& task = found->second;
  task.owner = from;
  if (task.state == State::kEnded) {
    SendReport(from, message.key.task, task);
    return;
  }
  if (task.state == State::kRunning) {
    RequestStop(message.key.task, task, now);
  }
}

void TaskSupervisor::HandleQuery(const EntryId& from,
                                 const QueryMessage& message,
                                 Instant now) {
  if (!m_ready || !AcceptEpoch(from, message.key.shard, message.key.epoch)) {
    return;
  }
  const auto found = m_tasks.find(message.key.task);
  const bool present = found != m_tasks.end() &&
                       found->second.generation == message.key.generation &&
                       found->second.state != State::kReserved;
  if (!present) {
    ReportAbsent(from, message.key, now);
    return;
  }
  found->second.owner = from;
  const State state = found->second.state;
  if (state == State::kRunning || state == State::kEnded) {
    SendReport(from, message.key.task, found->second);
  }
}

void TaskSupervisor::HandleRenew(const RenewMessage& message, Instant now) {
  if (message.stamp.incarnation != m_incarnation) {
    return;
  }
  const Instant until = message.stamp.agent_time + m_times.run_lease;
  for (auto& [id, task] : m_tasks) {
    const bool renewable = task.shard == message.shard &&
                           task.state == State::kRunning &&
                           now < task.lease_until && until > task.lease_until;
    if (renewable) {
      task.lease_until = until;
      m_effects.push_back(RenewOnWorker{id, task.generation, until});
    }
  }
}

void TaskSupervisor::HandleAcknowledge(const AcknowledgeMessage& message,
                                       Instant now) {
  const auto found = m_tasks.find(message.key.task);
  const bool matches = found != m_tasks.end() &&
                       found->second.state == State::kEnded &&
                       found->second.generation == message.key.generation;
  if (matches) {
    m_effects.push_back(
        ForgetOnWorker{message.key.task, message.key.generation});
    RaiseFence(message.key.task, message.key.generation, now);
    m_tasks.erase(found);
  }
}

void TaskSupervisor::OnWorkerStarted(const TaskId& id,
                                     Generation generation,
                                     const Result<void>& result,
                                     Instant now) {
  const auto found = m_tasks.find(id);
  if (found == m_tasks.end() || found->second.generation != generation ||
      found->second.state != State::kStarting) {
    return;
  }
  Task& task = found->second;
  if (result) {
    task.state = State::kRunning;
    task.reported_state = ReportedState::kRunning;
    SendReport(task.owner, id, task);
    return;
  }
  if (result.error().code == ErrorCode::kPreconditionFailed) {
    const PlacementKey key{id, generation, task.shard,
                           m_owners[task.shard].epoch};
    const EntryId owner = task.owner;
    RemoveTask(id, now);
    RefuseStart(owner, key, ErrorCode::kPreconditionFailed);
  }
}

void TaskSupervisor::OnWorkerStopped(const TaskId& id,
                                     Generation generation,
                                     const Result<CheckpointId>& result,
                                     Instant now) {
  const auto found = m_tasks.find(id);
  const bool stopping = found != m_tasks.end() &&
                        found->second.generation == generation &&
                        found->second.state == State::kStopping;
  // The next worker list shows how the task ended as well; the response only
  // makes it known sooner.
  if (stopping && result) {
    RecordEnd(id, found->second, ReportedState::kStopped, *result, now);
  }
}

void TaskSupervisor::OnWorkerList(const std::vector<WorkerTaskStatus>& tasks,
                                  Instant asked_at,
                                  Instant now) {
  std::set<TaskId> listed;
  for (const WorkerTaskStatus& status : tasks) {
    const auto found = m_tasks.find(status.task.task);
    if (found == m_tasks.end() ||
        found->second.generation != status.task.generation) {
      continue;
    }
    listed.insert(status.task.task);
    Task& task = found->second;
    if (task.state == State::kEnded) {
      continue;
    }
    if (status.state != WorkerTaskState::kRunning) {
      RecordEnd(status.task.task, task, ToReportedState(status.state),
                status.checkpoint, now);
    } else if (task.state == State::kStarting) {
      OnWorkerStarted(status.task.task, task.generation, {}, now);
    }
  }
  std::vector<TaskId> missing;
  for (const auto& [id, task] : m_tasks) {
    const bool may_still_start =
        task.state == State::kReserved ||
        (task.state == State::kStarting && asked_at <= task.not_after);
    if (task.state != State::kEnded && !may_still_start &&
        listed.count(id) == 0 && asked_at > task.not_after) {
      missing.push_back(id);
    }
  }
  for (const TaskId& id : missing) {
    // The worker no longer knows the task, for example because its host
    // restarted.
    const Task task = m_tasks.at(id);
    const PlacementKey key{id, task.generation, task.shard,
                           m_owners[task.shard].epoch};
    RemoveTask(id, now);
    m_effects.push_back(
        Send{task.owner, ReportMessage{key, ReportedState::kAbsent, {}}});
  }
}

void TaskSupervisor::Tick(Instant now) {
  std::vector<TaskId> expired;
  for (auto& [id, task] : m_tasks) {
    if (task.state == State::kReserved && now > task.reserved_until) {
      expired.push_back(id);
    }
    if (task.state == State::kRunning && now >= task.lease_until) {
      RequestStop(id, task, now);
    }
    const bool stop_unanswered = task.state == State::kStopping &&
                                 now - task.stop_sent_at >= m_times.resend;
    if (stop_unanswered) {
      RequestStop(id, task, now);
    }
  }
  for (const TaskId& id : expired) {
    RemoveTask(id, now);
  }
  std::erase_if(m_generation_fences, [&](const auto& row) {
    return now > row.second.until && m_tasks.count(row.first) == 0;
  });
  std::erase_if(m_preemption_reservations,
                [&](const auto& row) { return now > row.second.until; });
  if (now - m_last_heartbeat >= m_times.heartbeat) {
    m_last_heartbeat = now;
    SendHeartbeats(now);
  }
}

std::vector<TaskSupervisor::Effect> TaskSupervisor::TakeEffects() {
  return std::exchange(m_effects, {});
}

std::vector<TaskSupervisor::BatchTask> TaskSupervisor::RunningBatchTasks()
    const {
  std::vector<BatchTask> running;
  for (const auto& [id, task] : m_tasks) {
    if (task.state == State::kRunning && task.task_class == TaskClass::kBatch) {
      running.push_back(BatchTask{id, JobOf(id)});
    }
  }
  return running;
}

void TaskSupervisor::Evict(const TaskId& id, Instant now) {
  const auto found = m_tasks.find(id);
  if (found != m_tasks.end() && found->second.state == State::kRunning) {
    RequestStop(id, found->second, now);
  }
}

bool TaskSupervisor::AcceptEpoch(const EntryId& from,
                                 ShardId shard,
                                 Epoch epoch) {
  Ownership& known = m_owners[shard];
  if (epoch < known.epoch) {
    return false;
  }
  known = Ownership{epoch, from};
  return true;
}

bool TaskSupervisor::IsFenced(const TaskId& task, Generation generation) const {
  const auto found = m_generation_fences.find(task);
  return found != m_generation_fences.end() &&
         generation <= found->second.generation;
}

void TaskSupervisor::RaiseFence(const TaskId& task,
                                Generation generation,
                                Instant now) {
  GenerationFence& fence = m_generation_fences[task];
  fence.generation = std::max(fence.generation, generation);
  // By then every stamp issued so far has expired, so that no earlier start
  // message can be accepted.
  fence.until = now + m_times.stamp_validity + m_times.drift_margin;
}

bool TaskSupervisor::HasFreeCapacity(const OfferMessage& message) const {
  Resources required = message.demand;
  for (const auto& [task, reservation] : m_preemption_reservations) {
    if (task != message.key.task) {
      required += reservation.demand;
    }
  }
  return m_ledger.HasFreeCapacity(message.key.task, required);
}

void TaskSupervisor::PreemptBatchTasks(const OfferMessage& message,
                                       Instant now) {
  Resources available = m_ledger.capacity() - m_ledger.committed();
  for (const auto& [id, task] : m_tasks) {
    if (task.state == State::kStopping) {
      available += task.demand;
    }
  }
  for (const auto& [task, reservation] : m_preemption_reservations) {
    if (task != message.key.task) {
      available -= reservation.demand;
    }
  }
  std::vector<TaskId> victims;
  for (const auto& [id, task] : m_tasks) {
    if (message.demand.FitsIn(available)) {
      break;
    }
    if (task.state == State::kRunning && task.task_class == TaskClass::kBatch) {
      victims.push_back(id);
      available += task.demand;
    }
  }
  if (!message.demand.FitsIn(available)) {
    return;
  }
  m_preemption_reservations[message.key.task] =
      PreemptionReservation{message.demand, now + m_times.stamp_validity};
  for (const TaskId& id : victims) {
    RequestStop(id, m_tasks.at(id), now);
  }
}

void TaskSupervisor::RefuseOffer(const EntryId& to,
                                 const PlacementKey& key,
                                 ErrorCode code) {
  m_effects.push_back(Send{to, OfferRefusedMessage{key, code}});
}

void TaskSupervisor::RefuseStart(const EntryId& to,
                                 const PlacementKey& key,
                                 ErrorCode code) {
  m_effects.push_back(Send{to, StartRefusedMessage{key, code}});
}

void TaskSupervisor::ReportAbsent(const EntryId& to,
                                  const PlacementKey& key,
                                  Instant now) {
  const auto found = m_tasks.find(key.task);
  const bool reserved = found != m_tasks.end() &&
                        found->second.state == State::kReserved &&
                        found->second.generation <= key.generation;
  if (reserved) {
    RemoveTask(key.task, now);
  }
  RaiseFence(key.task, key.generation, now);
  m_effects.push_back(Send{to, ReportMessage{key, ReportedState::kAbsent, {}}});
}

void TaskSupervisor::RequestStop(const TaskId& id, Task& task, Instant now) {
  task.state = State::kStopping;
  task.stop_sent_at = now;
  m_effects.push_back(StopOnWorker{id, task.generation});
}

void TaskSupervisor::RecordEnd(const TaskId& id,
                               Task& task,
                               ReportedState reported_state,
                               const CheckpointId& checkpoint,
                               Instant now) {
  task.state = State::kEnded;
  task.reported_state = reported_state;
  task.checkpoint = checkpoint;
  m_ledger.Release(id);
  RaiseFence(id, task.generation, now);
  SendReport(task.owner, id, task);
}

void TaskSupervisor::RemoveTask(const TaskId& id, Instant now) {
  const auto found = m_tasks.find(id);
  if (found == m_tasks.end()) {
    return;
  }
  m_ledger.Release(id);
  if (found->second.state != State::kReserved) {
    RaiseFence(id, found->second.generation, now);
  }
  m_tasks.erase(found);
}

void TaskSupervisor::SendReport(const EntryId& to,
                                const TaskId& id,
                                const Task& task) {
  const PlacementKey key{id, task.generation, task.shard,
                         m_owners[task.shard].epoch};
  m_effects.push_back(
      Send{to, ReportMessage{key, task.reported_state, task.checkpoint}});
}

void TaskSupervisor::SendHeartbeats(Instant now) {
  std::set<EntryId> recipients;
  for (auto& [id, task] : m_tasks) {
    if (task.state == State::kReserved || task.state == State::kStarting) {
      continue;
    }
    // The owner may have changed where it is unknown, has not renewed the
    // lease for half its length or has not acknowledged the end. The report
    // then goes to every entry.
    const Ownership& owner = m_owners[task.shard];
    const bool orphaned = owner.entry.value().empty() ||
                          (task.state != State::kEnded &&
                           now + m_times.run_lease / 2 > task.lease_until) ||
                          task.state == State::kEnded;
    if (!orphaned) {
      recipients.insert(owner.entry);
      SendReport(owner.entry, id, task);
      continue;
    }
    for (const EntryId& entry : m_entries) {
      recipients.insert(entry);
      SendReport(entry, id, task);
    }
  }
  for (const EntryId& entry : recipients) {
    m_effects.push_back(Send{entry, HeartbeatMessage{MakeStamp(now)}});
  }
}

}  // namespace zinniacart
