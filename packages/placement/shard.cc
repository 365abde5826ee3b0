#include "placement/shard.h"

#include <algorithm>
#include <utility>

#include "base/invariant.h"

namespace zinniacart {
namespace {

constexpr Duration kReadRetry{500};
constexpr Duration kFirstBackoff{1'000};
constexpr Duration kLongestBackoff{300'000};
constexpr int kMostBackoffDoublings = 9;

Duration Backoff(int failures) {
  const int doublings = std::min(failures, kMostBackoffDoublings);
  return std::min(kFirstBackoff * (1 << doublings), kLongestBackoff);
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
  if (m_ownership != Ownership::kForeign) {
    return;
  }
  m_ownership = Ownership::kReading;
  m_found.reset();
  ReadAgain(now);
}

void Shard::BeginRelease(Instant now) {
  if (m_ownership != Ownership::kOwned) {
    return;
  }
  m_ownership = Ownership::kReleasing;
  Flush(now);
}

void Shard::Abandon() {
  const Error lost{ErrorCode::kOutcomeUnknown, "ownership was lost", {}};
  if (m_commit) {
    AnswerAll(m_commit->changes, lost);
  }
  const Error refused{ErrorCode::kNotReady, "ownership was lost", {}};
  AnswerAll(m_staged, refused);
  m_commit.reset();
  m_staged.clear();
  m_placements.clear();
  SetRecord(ShardRecord{});
  m_reading = false;
  m_found.reset();
  m_ownership = Ownership::kForeign;
}

void Shard::SetRecord(ShardRecord record) {
  m_record = std::move(record);
  m_by_host.clear();
  for (const JobRecord& job : m_record.jobs) {
    for (const TaskRecord& task : job.tasks) {
      if (task.status == TaskStatus::kAssigned) {
        m_by_host[task.host].push_back(&task);
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
      PlacementState& known = m_placements[record.task];
      known.pending_since = now;
      if (record.status != TaskStatus::kAssigned) {
        continue;
      }
      // An older owner could have renewed until its session ran out.
      known.ended_after = now + m_times.TakeoverWait();
      known.reason = PendingReason::kHostUncertain;
      SetPhase(known, Phase::kUncertain, now);
      Ask(record, known, now);
    }
  }
}

// ---- Store ----

void Shard::ReadAgain(Instant now) {
  m_reading = true;
  m_read_at = now;
  m_effects.push_back(ReadRecord{});
}

void Shard::OnRead(const Result<StoreValue>& value, Instant now) {
  if (!m_reading) {
    return;
  }
  m_reading = false;
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
      m_ownership = Ownership::kForeign;
    }
    return;
  }
  auto record = ParseShardRecord(value->bytes);
  CheckInvariant(record.has_value(), "shard records are readable");
  const bool own =
      record->owner == m_self && record->owner_incarnation == m_incarnation;
  if (own || record->owner.value().empty()) {
    Claim(std::move(*record), value->version, now);
    return;
  }
  m_found = FoundRecord{std::move(*record), value->version, now};
}

void Shard::OnDirectory(const IsAlive& is_alive,
                        Instant listed_at,
                        Instant now) {
  if (!m_found || m_ownership != Ownership::kReading ||
      listed_at < m_found->read_at) {
    return;
  }
  FoundRecord found = std::move(*m_found);
  m_found.reset();
  if (is_alive(found.record.owner, found.record.owner_incarnation)) {
    m_ownership = Ownership::kForeign;
    return;
  }
  Claim(std::move(found.record), found.version, now);
}

void Shard::ResolveCommit(const Result<StoreValue>& value, Instant now) {
  const bool absent = !value && value.error().code == ErrorCode::kNotFound;
  if (!value && !absent) {
    return;  // Tick reads again.
  }
  const StoreVersion version = absent ? StoreVersion(0) : value->version;
  if (version == m_commit->expected) {
    m_commit->resolving = false;
    m_effects.push_back(WriteRecord{m_commit->bytes, m_commit->expected});
    return;
  }
  const auto record = absent ? Result<ShardRecord>(ShardRecord{})
                             : ParseShardRecord(value->bytes);
  CheckInvariant(record.has_value(), "shard records are readable");
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
    ReadAgain(now);
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
  const bool read_lost = m_reading && now - m_read_at >= kReadRetry * 4;
  const bool must_resolve = m_commit && m_commit->resolving && !m_reading &&
                            now - m_read_at >= kReadRetry;
  if (read_lost && !m_commit) {
    m_reading = false;
    m_ownership = Ownership::kForeign;
    return;
  }
  if (read_lost || must_resolve) {
    ReadAgain(now);
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
        IsStillWanted(change, now)
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
                     [&](const auto&) { AnswerAll({change}, error); }},
             change);
}

bool Shard::IsStillWanted(const ShardChange& change, Instant now) const {
  const auto* assign = std::get_if<AssignChange>(&change);
  if (assign == nullptr) {
    return true;
  }
  const PlacementState& known = m_placements.at(assign->task);
  return m_ownership == Ownership::kOwned &&
         now - known.phase_since < m_times.stamp_validity / 2;
}

void Shard::IssueCommit(ShardRecord record,
                        std::vector<ShardChange> changes,
                        Instant now) {
  CheckInvariant(!m_commit, "one write of a shard at a time");
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
                  NoteNewTasks(add.job.job, now);
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
  PlacementState& known = m_placements[assign.task];
  CheckInvariant(known.phase == Phase::kCommitting,
                 "an assignment is started once");
  if (!allowed || job.IsCancelled(record)) {
    // Only this owner could have told the host to start: nothing runs.
    MakeIdle(assign.task, PendingReason::kNoAllowedHost, now);
    return;
  }
  StartMessage start;
  start.key = KeyOf(assign.task, record.generation);
  start.stamp = known.stamp;
  start.config_serial = *allowed;
  start.demand = job.demand;
  start.task_class = job.task_class;
  start.run_time = job.run_time;
  start.resume_from = record.checkpoint;
  // The lease starts at the stamp, which lies in the past.
  known.ended_after = now + m_times.run_lease + m_times.drift_margin;
  known.asked_at = now;
  known.heard_at = now;
  known.reason = PendingReason::kStarting;
  SetPhase(known, Phase::kStarting, now);
  SendTo(assign.host, start);
}

void Shard::AfterFinish(const FinishChange& finish, Instant now) {
  SendTo(finish.host,
         AcknowledgeMessage{KeyOf(finish.task, finish.generation)});
  MakeIdle(finish.task, PendingReason::kNotTriedYet, now);
  const TaskRecord* record = m_record.FindTask(finish.task);
  const bool failed = finish.state == ReportedState::kFailed ||
                      finish.state == ReportedState::kFinished;
  if (record != nullptr && failed && !IsFinal(record->status)) {
    PlacementState& known = m_placements[finish.task];
    known.not_before = now + Backoff(record->failures);
    known.reason = PendingReason::kBackoff;
    known.avoid[finish.host] = known.not_before + kLongestBackoff;
  }
}

void Shard::NoteNewTasks(const JobId& id, Instant now) {
  const JobRecord* job = m_record.FindJob(id);
  if (job == nullptr) {
    return;
  }
  for (const TaskRecord& record : job->tasks) {
    PlacementState fresh;
    fresh.pending_since = now;
    m_placements.try_emplace(record.task, fresh);
  }
}

void Shard::FailCommit(const Error& error, Instant now) {
  const Commit commit = std::move(*m_commit);
  m_commit.reset();
  m_write_not_before = now + kReadRetry;
  if (m_ownership == Ownership::kClaiming) {
    m_ownership = Ownership::kForeign;
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
      AnswerAll({change}, error);
    }
  }
}

void Shard::AnswerAll(const std::vector<ShardChange>& changes,
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
    AnswerAll({change}, Error{ErrorCode::kNotReady, "not the owner", {}});
    return;
  }
  Stage(change, now);
}

void Shard::Cancel(std::uint64_t call, const JobId& job, Instant now) {
  const CancelJobChange change{call, job};
  if (m_ownership != Ownership::kOwned) {
    AnswerAll({change}, Error{ErrorCode::kNotReady, "not the owner", {}});
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
  PlacementState& known = m_placements[task];
  CheckInvariant(record != nullptr && known.phase == Phase::kIdle &&
                     m_ownership == Ownership::kOwned,
                 "only idle tasks of an owned shard are offered");
  known.target = host;
  known.reason = PendingReason::kStarting;
  m_domains[host] = domain;
  SetPhase(known, Phase::kOffering, now);
  SendTo(host, OfferMessage{KeyOf(task, record->generation.Next()), job->demand,
                            job->task_class});
}

void Shard::NotePending(const TaskId& task, PendingReason reason) {
  m_placements[task].reason = reason;
}

void Shard::Evict(const TaskId& task, Instant now) {
  const TaskRecord* record = m_record.FindTask(task);
  PlacementState& known = m_placements[task];
  if (record != nullptr && known.phase == Phase::kRunning) {
    SendStop(*record, known, now);
  }
}

std::vector<Shard::View> Shard::Tasks() const {
  std::vector<View> views;
  if (m_ownership != Ownership::kOwned) {
    return views;
  }
  for (const JobRecord& job : m_record.jobs) {
    for (const TaskRecord& record : job.tasks) {
      const auto known = m_placements.find(record.task);
      if (known != m_placements.end()) {
        views.push_back(View{&job, &record, &known->second});
      }
    }
  }
  return views;
}

bool Shard::IsPlaceable(const View& view, Instant now) {
  return !IsFinal(view.record->status) &&
         view.placement_state->phase == Phase::kIdle &&
         !view.job->IsCancelled(*view.record) &&
         now >= view.placement_state->not_before;
}

std::vector<Shard::Effect> Shard::TakeEffects() {
  return std::exchange(m_effects, {});
}

void Shard::SetPhase(PlacementState& known, Phase phase, Instant now) {
  known.phase = phase;
  known.phase_since = now;
}

void Shard::MakeIdle(const TaskId& task, PendingReason reason, Instant now) {
  PlacementState& known = m_placements[task];
  if (known.IsPlaced()) {
    known.pending_since = now;
  }
  known.reason = reason;
  std::erase_if(known.avoid, [&](const auto& row) { return row.second < now; });
  SetPhase(known, Phase::kIdle, now);
}

void Shard::Ask(const TaskRecord& record, PlacementState& known, Instant now) {
  known.asked_at = now;
  SendTo(record.host, QueryMessage{KeyOf(record.task, record.generation)});
}

void Shard::SendStop(const TaskRecord& record,
                     PlacementState& known,
                     Instant now) {
  known.asked_at = now;
  known.reason = PendingReason::kStopping;
  if (known.phase != Phase::kStopping) {
    SetPhase(known, Phase::kStopping, now);
  }
  SendTo(record.host, StopMessage{KeyOf(record.task, record.generation)});
}

void Shard::SendTo(const HostId& host, OwnerMessage message) {
  m_effects.push_back(Send{host, std::move(message)});
}

PlacementKey Shard::KeyOf(const TaskId& task, Generation generation) const {
  return PlacementKey{task, generation, m_id, m_record.epoch};
}

}  // namespace zinniacart
