#include "placement/shard.h"

#include <algorithm>
#include <utility>

#include "base/invariant.h"

namespace zinniacart {
namespace {

/// Wait before a failed read or write of the store is repeated. A read that has
/// no response after four times this counts as failed.
constexpr Duration kStoreRetryInterval{500};
/// A failed task waits `kInitialBackoff`, doubled once for each of its failures
/// and limited to `kMaxBackoff`, before it is placed again.
constexpr Duration kInitialBackoff{1'000};
constexpr Duration kMaxBackoff{300'000};
/// Enough to exceed `kMaxBackoff`; the limit keeps the shift from overflowing.
constexpr int kMaxBackoffDoublings = 9;

Duration Backoff(int failures) {
  const int doublings = std::min(failures, kMaxBackoffDoublings);
  return std::min(kInitialBackoff * (1 << doublings), kMaxBackoff);
}

}  // namespace

Shard::Shard(ShardId id,
             EntryId self,
             Incarnation incarnation,
             PlacementTimes times)
    : m_id(id),
      m_self(std::move(self)),
      m_incarnation(incarnation),
      m_times(times) {}

// ---- Ownership ----

void Shard::BeginClaim(Instant now) {
  if (m_ownership != Ownership::kNotOwned) {
    return;
  }
  m_ownership = Ownership::kReading;
  m_claim_candidate.reset();
  RequestRead(now);
}

void Shard::BeginRelease(Instant now) {
  if (m_ownership != Ownership::kOwned) {
    return;
  }
  m_ownership = Ownership::kReleasing;
  Flush(now);
}

void Shard::Abandon() {
  const Error outcome_unknown{
      ErrorCode::kOutcomeUnknown, "ownership was lost", {}};
  if (m_commit) {
    AnswerWithError(m_commit->changes, outcome_unknown);
  }
  const Error refused{ErrorCode::kNotReady, "ownership was lost", {}};
  AnswerWithError(m_staged, refused);
  m_commit.reset();
  m_staged.clear();
  m_placements.clear();
  SetRecord(ShardRecord{});
  m_read_pending = false;
  m_claim_candidate.reset();
  m_ownership = Ownership::kNotOwned;
}

void Shard::SetRecord(ShardRecord record) {
  m_record = std::move(record);
  m_assigned_by_host.clear();
  for (const JobRecord& job : m_record.jobs) {
    for (const TaskRecord& task : job.tasks) {
      if (task.status == TaskStatus::kAssigned) {
        m_assigned_by_host[task.host].push_back(&task);
      }
    }
  }
}

void Shard::Claim(ShardRecord record, StoreVersion version, Instant now) {
  m_ownership = Ownership::kClaiming;
  m_version = version;
  record.owner = m_self;
  record.owner_incarnation = m_incarnation;
  record.epoch = record.epoch.Next();
  IssueCommit(std::move(record), {ChangeOwnerChange{}}, now);
}

void Shard::BeginRecovery(Instant now) {
  m_ownership = Ownership::kOwned;
  m_placements.clear();
  for (const JobRecord& job : m_record.jobs) {
    for (const TaskRecord& record : job.tasks) {
      PlacementState& placement = m_placements[record.task];
      placement.pending_since = now;
      if (record.status != TaskStatus::kAssigned) {
        continue;
      }
      // The previous owner could renew leases until its session expired.
      placement.lease_expired_after = now + m_times.TakeoverWait();
      placement.reason = PendingReason::kHostUncertain;
      SetPhase(placement, Phase::kUncertain, now);
      SendQuery(record, placement, now);
    }
  }
}

// ---- Store ----

void Shard::RequestRead(Instant now) {
  m_read_pending = true;
  m_read_requested_at = now;
  m_effects.push_back(ReadRecord{});
}

void Shard::OnRead(const Result<StoreValue>& value, Instant now) {
  if (!m_read_pending) {
    return;
  }
  m_read_pending = false;
  if (m_commit) {
    ResolveCommit(value, now);
    return;
  }
  if (m_ownership != Ownership::kReading) {
    return;
  }
  if (!value) {
    if (value.error().code == ErrorCode::kNotFound) {
      Claim(ShardRecord{}, StoreVersion(0), now);
    } else {
      m_ownership = Ownership::kNotOwned;
    }
    return;
  }
  auto record = ParseShardRecord(value->bytes);
  CheckInvariant(record.has_value(), "a shard record can be parsed");
  const bool own =
      record->owner == m_self && record->owner_incarnation == m_incarnation;
  if (own || record->owner.value().empty()) {
    Claim(std::move(*record), value->version, now);
    return;
  }
  m_claim_candidate = ClaimCandidate{std::move(*record), value->version, now};
}

void Shard::OnLiveEntries(const IsAlive& is_alive,
                          Instant listed_at,
                          Instant now) {
  if (!m_claim_candidate || m_ownership != Ownership::kReading ||
      listed_at < m_claim_candidate->read_at) {
    return;
  }
  ClaimCandidate candidate = std::move(*m_claim_candidate);
  m_claim_candidate.reset();
  if (is_alive(candidate.record.owner, candidate.record.owner_incarnation)) {
    m_ownership = Ownership::kNotOwned;
    return;
  }
  Claim(std::move(candidate.record), candidate.version, now);
}

void Shard::ResolveCommit(const Result<StoreValue>& value, Instant now) {
  const bool absent = !value && value.error().code == ErrorCode::kNotFound;
  if (!value && !absent) {
    return;  // Tick repeats the read.
  }
  const StoreVersion version = absent ? StoreVersion(0) : value->version;
  if (version == m_commit->expected) {
    m_commit->resolving = false;
    m_effects.push_back(WriteRecord{m_commit->bytes, m_commit->expected});
    return;
  }
  const auto record = absent ? Result<ShardRecord>(ShardRecord{})
                             : ParseShardRecord(value->bytes);
  CheckInvariant(record.has_value(), "a shard record can be parsed");
  if (record->commit_id != m_commit->record.commit_id) {
    Abandon();
    return;
  }
  m_commit->resolving = false;
  OnWritten(version, now);
}

void Shard::OnWritten(const Result<StoreVersion>& version, Instant now) {
  if (!m_commit || m_commit->written || m_commit->resolving) {
    return;
  }
  if (!version) {
    if (version.error().code == ErrorCode::kStoreUnavailable &&
        !m_commit->maybe_written) {
      FailCommit(version.error(), now);
      return;
    }
    m_commit->maybe_written = true;
    m_commit->resolving = true;
    RequestRead(now);
    return;
  }
  m_commit->written = true;
  m_version = *version;
  FinishCommit(now);
}

void Shard::OnConfigurationConfirmed(const Configuration* configuration,
                                     Instant now) {
  if (!m_commit || !m_commit->awaits_configuration) {
    return;
  }
  m_commit->awaits_configuration = false;
  for (const ShardChange& change : m_commit->changes) {
    const auto* assign = std::get_if<AssignChange>(&change);
    const bool allowed =
        assign != nullptr && configuration != nullptr &&
        configuration->AllowsWork(m_domains[assign->host], assign->host);
    if (allowed) {
      m_commit->allowed[assign->task] = configuration->serial();
    }
  }
  FinishCommit(now);
}

void Shard::Tick(Instant now) {
  const bool read_timed_out =
      m_read_pending && now - m_read_requested_at >= kStoreRetryInterval * 4;
  const bool must_resolve = m_commit && m_commit->resolving &&
                            !m_read_pending &&
                            now - m_read_requested_at >= kStoreRetryInterval;
  if (read_timed_out && !m_commit) {
    m_read_pending = false;
    m_ownership = Ownership::kNotOwned;
    return;
  }
  if (read_timed_out || must_resolve) {
    RequestRead(now);
  }
  if (!IsActive()) {
    return;
  }
  for (const JobRecord& job : m_record.jobs) {
    for (const TaskRecord& record : job.tasks) {
      if (!IsFinal(record.status)) {
        TickTask(job, record, m_placements[record.task], now);
      }
    }
  }
  Flush(now);
}

void Shard::FlushIfDue(Instant now) {
  if (IsActive()) {
    Flush(now);
  }
}

bool Shard::IsActive() const {
  return m_ownership == Ownership::kOwned ||
         m_ownership == Ownership::kReleasing;
}

void Shard::Stage(ShardChange change, Instant now) {
  if (m_staged.empty()) {
    m_staged_since = now;
  }
  m_staged.push_back(std::move(change));
}

void Shard::Flush(Instant now) {
  if (m_commit) {
    return;
  }
  if (m_staged.empty()) {
    if (m_ownership == Ownership::kReleasing) {
      ShardRecord record = m_record;
      record.owner = EntryId();
      record.owner_incarnation = Incarnation();
      IssueCommit(std::move(record), {ChangeOwnerChange{}}, now);
    }
    return;
  }
  const bool too_soon = now - m_staged_since < m_times.commit_interval ||
                        now < m_write_not_before;
  if (too_soon) {
    return;
  }
  ShardRecord record = m_record;
  std::vector<ShardChange> applied;
  for (ShardChange& change : std::exchange(m_staged, {})) {
    const auto result =
        IsStillValid(change, now)
            ? ApplyChange(change, record)
            : Fail(ErrorCode::kStaleStamp, "the stamp is too old");
    if (result) {
      applied.push_back(std::move(change));
    } else {
      RejectChange(change, result.error(), now);
    }
  }
  if (!applied.empty()) {
    DropOldestDoneJobs(record);
    IssueCommit(std::move(record), std::move(applied), now);
  }
}

void Shard::RejectChange(const ShardChange& change,
                         const Error& error,
                         Instant now) {
  std::visit(Visitor{[&](const AssignChange& assign) {
                       MakeIdle(assign.task, PendingReason::kNone, now);
                     },
                     [&](const FinishChange& finish) {
                       MakeIdle(finish.task, PendingReason::kNone, now);
                     },
                     [&](const auto&) { AnswerWithError({change}, error); }},
             change);
}

bool Shard::IsStillValid(const ShardChange& change, Instant now) const {
  const auto* assign = std::get_if<AssignChange>(&change);
  if (assign == nullptr) {
    return true;
  }
  const PlacementState& placement = m_placements.at(assign->task);
  return m_ownership == Ownership::kOwned &&
         now - placement.phase_since < m_times.stamp_validity / 2;
}

void Shard::IssueCommit(ShardRecord record,
                        std::vector<ShardChange> changes,
                        Instant now) {
  CheckInvariant(!m_commit, "a shard has at most one write in flight");
  record.commit_id = m_self.value() + "/" +
                     std::to_string(m_incarnation.value()) + "/" +
                     std::to_string(++m_commit_count);
  Commit commit;
  commit.changes = std::move(changes);
  commit.bytes = Serialize(record);
  commit.record = std::move(record);
  commit.expected = m_version;
  commit.issued_at = now;
  commit.awaits_configuration = std::any_of(
      commit.changes.begin(), commit.changes.end(), [](const auto& change) {
        return std::holds_alternative<AssignChange>(change);
      });
  m_effects.push_back(WriteRecord{commit.bytes, commit.expected});
  if (commit.awaits_configuration) {
    m_effects.push_back(ConfirmConfiguration{});
  }
  m_commit = std::move(commit);
}

void Shard::FinishCommit(Instant now) {
  if (!m_commit->written || m_commit->awaits_configuration) {
    return;
  }
  const Commit commit = std::move(*m_commit);
  m_commit.reset();
  SetRecord(commit.record);
  if (m_ownership == Ownership::kClaiming) {
    BeginRecovery(now);
    return;
  }
  if (m_record.owner != m_self) {
    Abandon();
    return;
  }
  for (const ShardChange& change : commit.changes) {
    std::visit(
        Visitor{[&](const AssignChange& assign) {
                  const auto allowed = commit.allowed.find(assign.task);
                  AfterAssign(assign,
                              allowed == commit.allowed.end()
                                  ? std::nullopt
                                  : std::optional(allowed->second),
                              now);
                },
                [&](const FinishChange& finish) { AfterFinish(finish, now); },
                [&](const AddJobChange& add) {
                  TrackNewTasks(add.job.job, now);
                  m_effects.push_back(Answer{add.call, {}});
                },
                [&](const CancelJobChange& cancel) {
                  m_effects.push_back(Answer{cancel.call, {}});
                },
                [](const ChangeOwnerChange&) {}},
        change);
  }
  std::erase_if(m_placements, [&](const auto& row) {
    return m_record.FindTask(row.first) == nullptr;
  });
}

void Shard::AfterAssign(const AssignChange& assign,
                        std::optional<ConfigSerial> allowed,
                        Instant now) {
  const TaskRecord& record = *m_record.FindTask(assign.task);
  const JobRecord& job = *m_record.FindJob(JobOf(assign.task));
  PlacementState& placement = m_placements[assign.task];
  CheckInvariant(placement.phase == Phase::kCommitting,
                 "an assignment is started at most once");
  if (!allowed || job.IsCancelled(record)) {
    // Only this owner could have sent a start message, so nothing is running.
    MakeIdle(assign.task, PendingReason::kNoAllowedHost, now);
    return;
  }
  StartMessage start;
  start.key = MakeKey(assign.task, record.generation);
  start.stamp = placement.stamp;
  start.config_serial = *allowed;
  start.demand = job.demand;
  start.task_class = job.task_class;
  start.run_time = job.run_time;
  start.resume_from = record.checkpoint;
  // The lease begins at the stamp, which was taken before now, so it has
  // expired by then.
  placement.lease_expired_after =
      now + m_times.run_lease + m_times.drift_margin;
  placement.last_request_at = now;
  placement.last_report_at = now;
  placement.reason = PendingReason::kStarting;
  SetPhase(placement, Phase::kStarting, now);
  SendTo(assign.host, start);
}

void Shard::AfterFinish(const FinishChange& finish, Instant now) {
  SendTo(finish.host,
         AcknowledgeMessage{MakeKey(finish.task, finish.generation)});
  MakeIdle(finish.task, PendingReason::kNotTriedYet, now);
  const TaskRecord* record = m_record.FindTask(finish.task);
  const bool failed = finish.state == ReportedState::kFailed ||
                      finish.state == ReportedState::kFinished;
  if (record != nullptr && failed && !IsFinal(record->status)) {
    PlacementState& placement = m_placements[finish.task];
    placement.retry_not_before = now + Backoff(record->failures);
    placement.reason = PendingReason::kBackoff;
    placement.avoid[finish.host] = placement.retry_not_before + kMaxBackoff;
  }
}

void Shard::TrackNewTasks(const JobId& id, Instant now) {
  const JobRecord* job = m_record.FindJob(id);
  if (job == nullptr) {
    return;
  }
  for (const TaskRecord& record : job->tasks) {
    PlacementState initial;
    initial.pending_since = now;
    m_placements.try_emplace(record.task, initial);
  }
}

void Shard::FailCommit(const Error& error, Instant now) {
  const Commit commit = std::move(*m_commit);
  m_commit.reset();
  m_write_not_before = now + kStoreRetryInterval;
  if (m_ownership == Ownership::kClaiming) {
    m_ownership = Ownership::kNotOwned;
    return;
  }
  if (m_ownership == Ownership::kReleasing &&
      std::holds_alternative<ChangeOwnerChange>(commit.changes.front())) {
    m_ownership = Ownership::kOwned;
    return;
  }
  for (const ShardChange& change : commit.changes) {
    if (const auto* assign = std::get_if<AssignChange>(&change)) {
      MakeIdle(assign->task, PendingReason::kNotTriedYet, now);
    } else if (std::holds_alternative<FinishChange>(change)) {
      Stage(change, now);
    } else {
      AnswerWithError({change}, error);
    }
  }
}

void Shard::AnswerWithError(const std::vector<ShardChange>& changes,
                            const Error& error) {
  for (const ShardChange& change : changes) {
    if (const auto* add = std::get_if<AddJobChange>(&change)) {
      m_effects.push_back(Answer{add->call, tl::unexpected(error)});
    }
    if (const auto* cancel = std::get_if<CancelJobChange>(&change)) {
      m_effects.push_back(Answer{cancel->call, tl::unexpected(error)});
    }
  }
}

// ---- Work ----

void Shard::Submit(std::uint64_t call, const JobRecord& job, Instant now) {
  const AddJobChange change{call, job};
  if (m_ownership != Ownership::kOwned) {
    AnswerWithError({change}, Error{ErrorCode::kNotReady, "not the owner", {}});
    return;
  }
  Stage(change, now);
}

void Shard::Cancel(std::uint64_t call, const JobId& job, Instant now) {
  const CancelJobChange change{call, job};
  if (m_ownership != Ownership::kOwned) {
    AnswerWithError({change}, Error{ErrorCode::kNotReady, "not the owner", {}});
    return;
  }
  Stage(change, now);
}

void Shard::Offer(const TaskId& task,
                  const HostId& host,
                  const DomainId& domain,
                  Instant now) {
  const TaskRecord* record = m_record.FindTask(task);
  const JobRecord* job = m_record.FindJob(JobOf(task));
  PlacementState& placement = m_placements[task];
  CheckInvariant(record != nullptr && placement.phase == Phase::kIdle &&
                     m_ownership == Ownership::kOwned,
                 "only idle tasks of an owned shard are offered");
  placement.offered_host = host;
  placement.reason = PendingReason::kStarting;
  m_domains[host] = domain;
  SetPhase(placement, Phase::kOffering, now);
  SendTo(host, OfferMessage{MakeKey(task, record->generation.Next()),
                            job->demand, job->task_class});
}

void Shard::SetPendingReason(const TaskId& task, PendingReason reason) {
  m_placements[task].reason = reason;
}

void Shard::Evict(const TaskId& task, Instant now) {
  const TaskRecord* record = m_record.FindTask(task);
  PlacementState& placement = m_placements[task];
  if (record != nullptr && placement.phase == Phase::kRunning) {
    SendStop(*record, placement, now);
  }
}

std::vector<Shard::View> Shard::Tasks() const {
  std::vector<View> views;
  if (m_ownership != Ownership::kOwned) {
    return views;
  }
  for (const JobRecord& job : m_record.jobs) {
    for (const TaskRecord& record : job.tasks) {
      const auto placement = m_placements.find(record.task);
      if (placement != m_placements.end()) {
        views.push_back(View{&job, &record, &placement->second});
      }
    }
  }
  return views;
}

bool Shard::IsPlaceable(const View& view, Instant now) {
  return !IsFinal(view.record->status) &&
         view.placement_state->phase == Phase::kIdle &&
         !view.job->IsCancelled(*view.record) &&
         now >= view.placement_state->retry_not_before;
}

std::vector<Shard::Effect> Shard::TakeEffects() {
  return std::exchange(m_effects, {});
}

void Shard::SetPhase(PlacementState& placement, Phase phase, Instant now) {
  placement.phase = phase;
  placement.phase_since = now;
}

void Shard::MakeIdle(const TaskId& task, PendingReason reason, Instant now) {
  PlacementState& placement = m_placements[task];
  if (placement.IsPlaced()) {
    placement.pending_since = now;
  }
  placement.reason = reason;
  std::erase_if(placement.avoid,
                [&](const auto& row) { return row.second < now; });
  SetPhase(placement, Phase::kIdle, now);
}

void Shard::SendQuery(const TaskRecord& record,
                      PlacementState& placement,
                      Instant now) {
  placement.last_request_at = now;
  SendTo(record.host, QueryMessage{MakeKey(record.task, record.generation)});
}

void Shard::SendStop(const TaskRecord& record,
                     PlacementState& placement,
                     Instant now) {
  placement.last_request_at = now;
  placement.reason = PendingReason::kStopping;
  if (placement.phase != Phase::kStopping) {
    SetPhase(placement, Phase::kStopping, now);
  }
  SendTo(record.host, StopMessage{MakeKey(record.task, record.generation)});
}

void Shard::SendTo(const HostId& host, OwnerMessage message) {
  m_effects.push_back(Send{host, std::move(message)});
}

PlacementKey Shard::MakeKey(const TaskId& task, Generation generation) const {
  return PlacementKey{task, generation, m_id, m_record.epoch};
}

}  // namespace zinniacart
