#include "site/job_intake.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/logging.h"
#include "site/peer_paths.h"
#include "site/store_keys.h"

namespace zinniacart {
namespace {

/// The store usually responds within milliseconds; a first response that takes
/// longer than this is more likely lost than slow.
constexpr Duration kFirstCommitTimeout{350};
/// Later attempts allow for a store that is slow.
constexpr Duration kLaterCommitTimeout{900};
constexpr Duration kRetryDelay{50};
/// Longer than what another entry takes at most for a relayed request.
constexpr Duration kRelayTimeout{900};
/// Another entry asks this entry to store something only while that entry's
/// store fails; this entry's store may fail as well and is therefore read
/// first, unless it has answered within `kFreshAnswer`.
constexpr Duration kRelayedReadTimeout{400};
constexpr Duration kFreshAnswer{100};
/// A request that waits for the store asks other entries again after this time.
constexpr Duration kWaitForStore{300};
constexpr Duration kOwnerTimeout{400};
constexpr Duration kReadTimeout{700};
/// Attempts to store end this long before the caller stops waiting, so that the
/// response reaches it in time.
constexpr Duration kAnswerMargin{200};

constexpr int kOk = 200;
constexpr int kConflict = 409;
constexpr int kGone = 410;
constexpr int kTimeout = 504;

}  // namespace

struct JobIntake::Change {
  JobId job;
  StoreTransaction transaction;
  std::string relay_path;
  std::string body;
  std::string notice_path;
  Instant deadline;
  bool relay = false;
  /// The job must exist: a cancellation.
  bool needs_job = false;
  /// Set if the job would end too late: when its caller should come back. The
  /// job is refused unless it is stored already.
  std::optional<std::chrono::seconds> refusal;
  /// The job's key was read, as far as that is necessary.
  bool checked = false;
  /// An earlier attempt may have stored it or may yet do so.
  bool may_be_stored = false;
  int attempts = 0;
  /// The entries still to be asked in this round, the next one last.
  std::vector<std::string> peers;
  ReplyCallback done;
  std::unique_ptr<Timer> retry_timer;
};

JobIntake::JobIntake(boost::asio::io_context& loop,
                     StoreMonitor& store,
                     PeerClients& peers,
                     const EntryDirectory& directory,
                     Owner& owner,
                     EntryId self,
                     const Clock& clock,
                     RandomSource random)
    : m_loop(loop),
      m_store(store),
      m_peers(peers),
      m_directory(directory),
      m_owner(owner),
      m_self(std::move(self)),
      m_clock(clock),
      m_random(std::move(random)),
      m_admission(clock),
      m_relay_peers(clock),
      m_recent(clock) {
  m_store.SetListener([this] { OnStoreHealthChanged(); });
}

void JobIntake::Accept(const JobRecord& record,
                       Instant deadline,
                       bool relay,
                       ReplyCallback done) {
  auto change = std::make_shared<Change>();
  change->job = record.id;
  change->body = EncodeJobRecord(record);
  const std::string key = store_keys::Job(record.id);
  change->transaction.conditions = {StoreCondition{key, 0}};
  change->transaction.writes = {StoreWrite{key, change->body, {}}};
  change->relay_path = peer_paths::kStoreJob + record.id.value();
  change->notice_path = peer_paths::kJobStored + record.id.value();
  change->deadline = deadline - kAnswerMargin;
  change->relay = relay;
  if (relay) {
    change->refusal = m_admission.RefusalOf(record);
  }
  change->done = std::move(done);
  Begin(change);
}

void JobIntake::Cancel(const JobId& job,
                       Instant deadline,
                       bool relay,
                       ReplyCallback done) {
  auto change = std::make_shared<Change>();
  change->job = job;
  const std::string key = store_keys::Cancelled(job);
  change->transaction.conditions = {StoreCondition{key, 0}};
  change->transaction.writes = {StoreWrite{key, "1", {}}};
  change->relay_path = peer_paths::kCancelJob + job.value();
  change->notice_path = peer_paths::kJobCancelled + job.value();
  change->deadline = deadline - kAnswerMargin;
  change->relay = relay;
  change->done = std::move(done);
  change->needs_job = true;
  Begin(change);
}

void JobIntake::Begin(const ChangePointer& change) {
  const StoreAvailability& store = m_store.availability();
  if (change->deadline <= m_clock.Now()) {
    return FinishUnstored(change);
  }
  if (store.away()) {
    return Relay(change);
  }
  if (store.silent()) {
    return change->relay ? WaitForStore(change) : RetryOrFinish(change);
  }
  const bool doubtful =
      !change->relay && store.enabled() && !store.AnsweredWithin(kFreshAnswer);
  if (!change->checked && (change->needs_job || doubtful || change->refusal)) {
    return ReadFirst(change);
  }
  CommitChange(change);
}

void JobIntake::ReadFirst(const ChangePointer& change) {
  const Duration left = change->deadline - m_clock.Now();
  const Duration timeout = change->relay ? kReadTimeout : kRelayedReadTimeout;
  m_store.Get(store_keys::Job(change->job), std::min(left, timeout),
              [this, change](const Result<StoreItem>& item) {
                OnJobRead(change, item);
              });
}

void JobIntake::OnJobRead(const ChangePointer& change,
                          const Result<StoreItem>& item) {
  if (!item && item.error().code != ErrorCode::kNotFound) {
    change->refusal.reset();
    return Relay(change);
  }
  change->checked = true;
  if (change->needs_job && !item) {
    return Finish(change, IntakeOutcome::kNotFound);
  }
  const bool sent =
      m_recent.StateOf(change->relay_path) != RecentChanges::State::kNotSent;
  if (change->refusal && !item && !sent) {
    return Finish(change, IntakeOutcome::kRefused);
  }
  change->refusal.reset();
  CommitChange(change);
}

void JobIntake::CommitChange(const ChangePointer& change) {
  const Duration left = change->deadline - m_clock.Now();
  if (left.count() <= 0) {
    return FinishUnstored(change);
  }
  const Duration timeout =
      std::min(left, change->attempts++ == 0 ? kFirstCommitTimeout
                                             : kLaterCommitTimeout);
  m_recent.OnSent(change->relay_path);
  m_store.Commit(change->transaction, timeout,
                 [this, change](const Result<StoreCommit>& commit) {
                   OnCommitted(change, commit);
                 });
}

void JobIntake::OnCommitted(const ChangePointer& change,
                            const Result<StoreCommit>& commit) {
  if (commit) {
    // If the condition failed, the key exists already: an earlier request, or
    // an earlier attempt of this one, has stored it.
    return Finish(change, IntakeOutcome::kStored);
  }
  if (commit.error().code == ErrorCode::kOutcomeUnknown) {
    change->may_be_stored = true;
  } else {
    m_recent.OnRefused(change->relay_path);
  }
  Relay(change);
}

void JobIntake::Relay(const ChangePointer& change) {
  change->peers.clear();
  if (change->relay) {
    change->peers = m_directory.PeersOf(m_self);
    if (m_store.availability().enabled()) {
      change->peers = m_relay_peers.Choose(change->peers);
    }
    std::reverse(change->peers.begin(), change->peers.end());
  }
  RelayToNext(change);
}

void JobIntake::RelayToNext(const ChangePointer& change) {
  const Duration left = change->deadline - m_clock.Now();
  if (change->peers.empty() || left.count() <= 0) {
    return RetryOrFinish(change);
  }
  const std::string peer = std::move(change->peers.back());
  change->peers.pop_back();
  m_recent.OnSent(change->relay_path);
  m_peers.Post(peer, change->relay_path, change->body,
               std::min(left, kRelayTimeout),
               [this, change, peer](const Result<net::Response>& response) {
                 OnRelayed(change, peer, response);
               });
}

void JobIntake::OnRelayed(const ChangePointer& change,
                          const std::string& peer,
                          const Result<net::Response>& response) {
  if (response && response->status == kConflict) {
    m_recent.OnRefused(change->relay_path);
    return FinishOutdated(change);
  }
  if (response && (response->status == kOk || response->status == kGone)) {
    m_relay_peers.OnStored(peer);
    return Finish(change, response->status == kOk ? IntakeOutcome::kStored
                                                  : IntakeOutcome::kNotFound);
  }
  m_relay_peers.OnFailed(peer);
  const bool had_no_effect =
      response ? response->status != kTimeout
               : response.error().code == ErrorCode::kUnreachable;
  if (had_no_effect) {
    m_recent.OnRefused(change->relay_path);
  } else {
    change->may_be_stored = true;
  }
  RelayToNext(change);
}

void JobIntake::RetryOrFinish(const ChangePointer& change) {
  if (!change->may_be_stored ||
      change->deadline - m_clock.Now() <= kRetryDelay) {
    return FinishUnstored(change);
  }
  const StoreAvailability& store = m_store.availability();
  if (store.away() || store.silent()) {
    return WaitForStore(change);
  }
  // Only another commit shows whether an earlier attempt has stored it.
  change->retry_timer = std::make_unique<Timer>(m_loop);
  change->retry_timer->After(kRetryDelay, [this, change] { Begin(change); });
}

void JobIntake::WaitForStore(const ChangePointer& change) {
  m_waiting.push_back(change);
  const Duration left = change->deadline - m_clock.Now();
  change->retry_timer = std::make_unique<Timer>(m_loop);
  change->retry_timer->After(std::clamp(left, Duration(0), kWaitForStore),
                             [this, change] {
                               std::erase(m_waiting, change);
                               Begin(change);
                             });
}

void JobIntake::OnStoreHealthChanged() {
  const StoreAvailability& store = m_store.availability();
  if (store.silent() && !store.away()) {
    return;
  }
  for (const ChangePointer& change : std::exchange(m_waiting, {})) {
    change->retry_timer->Cancel();
    Begin(change);
  }
}

void JobIntake::FinishOutdated(const ChangePointer& change) {
  LogInfo(
      "storing given up: another entry has a configuration without the queue",
      {{"job", change->job.value()}, {"may_be_stored", change->may_be_stored}});
  FinishUnstored(change);
}

void JobIntake::FinishUnstored(const ChangePointer& change) {
  // An earlier request for the same change counts as well.
  switch (m_recent.StateOf(change->relay_path)) {
    case RecentChanges::State::kStored:
      return Finish(change, IntakeOutcome::kStored);
    case RecentChanges::State::kMayBeSent:
      return Finish(change, IntakeOutcome::kUnknown);
    case RecentChanges::State::kNotSent:
      break;
  }
  Finish(change, change->may_be_stored ? IntakeOutcome::kUnknown
                                       : IntakeOutcome::kRefused);
}

void JobIntake::Finish(const ChangePointer& change, IntakeOutcome outcome) {
  if (outcome == IntakeOutcome::kStored) {
    m_recent.OnStored(change->relay_path);
    NotifyOwner(change->notice_path, change->body);
  }
  if (!change->done) {
    return;
  }
  const bool store_fails =
      m_store.availability().away() || m_store.availability().silent();
  IntakeReply reply{outcome, RefusalReason::kNotStored, RetryAfter()};
  if (store_fails) {
    reply.reason = RefusalReason::kStoreAway;
  } else if (change->refusal) {
    reply.reason = RefusalReason::kBacklog;
    reply.retry_after = *change->refusal;
  }
  std::exchange(change->done, nullptr)(reply);
}

std::chrono::seconds JobIntake::RetryAfter() const {
  return RetryAfterOutage(m_store.availability().AwayFor(), m_random);
}

void JobIntake::NotifyOwner(const std::string& path, const std::string& body) {
  if (m_owner.active()) {
    m_owner.OnNotice(path, body);
    return SetAdvice(m_owner.Backlog());
  }
  const auto& owner = m_directory.owner();
  if (!owner) {
    return;
  }
  m_peers.Post(owner->address, path, body, kOwnerTimeout,
               [this, path](const Result<net::Response>& response) {
                 OnOwnerAnswered(path, response);
               });
}

void JobIntake::OnOwnerAnswered(const std::string& path,
                                const Result<net::Response>& response) {
  if (!response) {
    return LogInfo(
        "owner did not confirm a notification; it follows the store as well",
        {{"path", path}, {"reason", response.error().detail}});
  }
  if (response->status != kOk) {
    return;
  }
  auto advice = DecodeBacklogAdvice(response->body);
  if (!advice) {
    return LogWarning("the owner's advice is ignored: it cannot be parsed",
                      {{"detail", advice.error().detail}});
  }
  SetAdvice(std::move(*advice));
}

}  // namespace zinniacart
