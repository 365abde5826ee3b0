#include "site/job_intake.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/json_text.h"
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
constexpr Duration kRelayTimeout{600};
constexpr Duration kOwnerTimeout{400};
constexpr Duration kReadTimeout{700};
/// Attempts to store end this long before the caller stops waiting, so that the
/// response reaches it in time.
constexpr Duration kAnswerMargin{200};

constexpr int kOk = 200;
constexpr int kConflict = 409;
constexpr int kGone = 410;

/// @returns the outcome that another entry reports with an HTTP status.
IntakeOutcome ToOutcome(int status) {
  if (status == kOk) {
    return IntakeOutcome::kStored;
  }
  if (status == kGone) {
    return IntakeOutcome::kNotFound;
  }
  return IntakeOutcome::kUnknown;
}

/// @returns the state in a stored progress record, `kInvalidArgument` if it has
/// none or an unknown one.
Result<JobState> StateOfProgress(const std::string& bytes) {
  try {
    return ParseJobState(ParseJson(bytes).at("state").get<std::string>());
  } catch (const std::exception& error) {
    return Fail(ErrorCode::kInvalidArgument, error.what(), "state");
  }
}

/// Logs a job state that cannot be parsed; it is not returned to the caller.
void LogUnreadable(const JobId& job, const Error& error) {
  LogError("job state ignored: it cannot be parsed",
           {{"job", job.value()}, {"detail", error.detail}});
}

}  // namespace

struct JobIntake::Change {
  JobId job;
  StoreTransaction transaction;
  std::string relay_path;
  std::string body;
  std::string notice_path;
  Instant deadline;
  bool relay = false;
  /// An earlier attempt may have stored it or may yet do so.
  bool may_be_stored = false;
  int attempts = 0;
  OutcomeCallback done;
  std::unique_ptr<Timer> retry_timer;
};

JobIntake::JobIntake(boost::asio::io_context& loop,
                     StorePort& store,
                     PeerClients& peers,
                     const EntryDirectory& directory,
                     Owner& owner,
                     EntryId self,
                     const Clock& clock)
    : m_loop(loop),
      m_store(store),
      m_peers(peers),
      m_directory(directory),
      m_owner(owner),
      m_self(std::move(self)),
      m_clock(clock) {}

void JobIntake::Accept(const JobRecord& record,
                       Instant deadline,
                       bool relay,
                       OutcomeCallback done) {
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
  change->done = std::move(done);
  CommitChange(std::move(change));
}

void JobIntake::Cancel(const JobId& job,
                       Instant deadline,
                       bool relay,
                       OutcomeCallback done) {
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
  m_store.Get(store_keys::Job(job), kReadTimeout,
              [this, change](Result<StoreItem> item) {
                if (!item && item.error().code == ErrorCode::kNotFound) {
                  return Finish(change, IntakeOutcome::kNotFound);
                }
                if (!item) {
                  return Relay(change, 0);
                }
                CommitChange(change);
              });
}

void JobIntake::CommitChange(ChangePointer change) {
  const Duration left = change->deadline - m_clock.Now();
  if (left.count() <= 0) {
    return RetryOrFinish(change);
  }
  const Duration timeout =
      std::min(left, change->attempts++ == 0 ? kFirstCommitTimeout
                                             : kLaterCommitTimeout);
  m_store.Commit(change->transaction, timeout,
                 [this, change](Result<StoreCommit> commit) {
                   OnCommitted(change, commit);
                 });
}

void JobIntake::OnCommitted(ChangePointer change,
                            const Result<StoreCommit>& commit) {
  if (commit) {
    // If the condition failed, the key exists already: an earlier request, or
    // an earlier attempt of this one, has stored it.
    return Finish(change, IntakeOutcome::kStored);
  }
  if (commit.error().code != ErrorCode::kOutcomeUnknown) {
    return Relay(change, 0);
  }
  change->may_be_stored = true;
  Relay(change, 0);
}

void JobIntake::Relay(ChangePointer change, std::size_t peer) {
  const auto peers = m_directory.PeersOf(m_self);
  const Duration left = change->deadline - m_clock.Now();
  if (!change->relay || peer >= peers.size() || left.count() <= 0) {
    return RetryOrFinish(change);
  }
  m_peers.Post(peers[peer], change->relay_path, change->body,
               std::min(left, kRelayTimeout),
               [this, change, peer](Result<net::Response> response) {
                 if (response && response->status == kConflict) {
                   return FinishOutdated(change);
                 }
                 const bool refused = response && response->status != kOk &&
                                      response->status != kGone &&
                                      response->status != 504;
                 if (response && !refused) {
                   const IntakeOutcome outcome = ToOutcome(response->status);
                   if (outcome != IntakeOutcome::kUnknown) {
                     return Finish(change, outcome);
                   }
                 }
                 if (!refused && !(!response && response.error().code ==
                                                    ErrorCode::kUnreachable)) {
                   change->may_be_stored = true;
                 }
                 Relay(change, peer + 1);
               });
}

void JobIntake::RetryOrFinish(ChangePointer change) {
  if (change->may_be_stored && change->deadline - m_clock.Now() > kRetryDelay) {
    // Only another commit shows whether an earlier attempt has stored it.
    change->retry_timer = std::make_unique<Timer>(m_loop);
    return change->retry_timer->After(kRetryDelay,
                                      [this, change] { CommitChange(change); });
  }
  FinishUnstored(change);
}

void JobIntake::FinishOutdated(ChangePointer change) {
  LogInfo(
      "storing given up: another entry has a configuration without the queue",
      {{"job", change->job.value()}, {"may_be_stored", change->may_be_stored}});
  FinishUnstored(std::move(change));
}

void JobIntake::FinishUnstored(ChangePointer change) {
  const IntakeOutcome outcome =
      change->may_be_stored ? IntakeOutcome::kUnknown : IntakeOutcome::kRefused;
  Finish(std::move(change), outcome);
}

void JobIntake::Finish(ChangePointer change, IntakeOutcome outcome) {
  if (outcome == IntakeOutcome::kStored) {
    NotifyOwner(change->notice_path, change->body);
  }
  if (change->done) {
    std::exchange(change->done, nullptr)(outcome);
  }
}

void JobIntake::NotifyOwner(const std::string& path, const std::string& body) {
  if (m_owner.active()) {
    return m_owner.OnNotice(path, body);
  }
  const auto& owner = m_directory.owner();
  if (!owner) {
    return;
  }
  m_peers.Post(owner->address, path, body, kOwnerTimeout,
               [path](Result<net::Response> response) {
                 if (!response) {
                   LogInfo(
                       "owner did not confirm a notification; it follows the "
                       "store as well",
                       {{"path", path}, {"reason", response.error().detail}});
                 }
               });
}

void JobIntake::GetState(const JobId& job,
                         std::function<void(Result<JobState>)> done) {
  if (const auto state = m_owner.StateOf(job)) {
    return done(*state);
  }
  const auto& owner = m_directory.owner();
  if (m_owner.active() || !owner || owner->entry == m_self) {
    return ReadState(job, std::move(done));
  }
  m_peers.Post(owner->address, peer_paths::kJobState + job.value(), {},
               kOwnerTimeout,
               [this, job, done](Result<net::Response> response) {
                 if (response && response->status == kOk) {
                   const auto state = ParseJobState(response->body);
                   if (state) {
                     return done(*state);
                   }
                   LogUnreadable(job, state.error());
                 }
                 ReadState(job, done);
               });
}

void JobIntake::ReadState(const JobId& job,
                          std::function<void(Result<JobState>)> done) {
  m_store.Get(store_keys::Job(job), kReadTimeout,
              [this, job, done](Result<StoreItem> item) {
                if (!item) {
                  return done(tl::unexpected(item.error()));
                }
                const auto record = DecodeJobRecord(job, item->value);
                if (!record) {
                  return done(tl::unexpected(record.error()));
                }
                ReadProgress(job, done);
              });
}

void JobIntake::ReadProgress(const JobId& job,
                             std::function<void(Result<JobState>)> done) {
  m_store.Get(store_keys::Progress(job), kReadTimeout,
              [this, job, done](Result<StoreItem> progress) {
                JobState state = JobState::kQueued;
                if (progress) {
                  const auto stored = StateOfProgress(progress->value);
                  if (!stored) {
                    LogUnreadable(job, stored.error());
                    return done(tl::unexpected(stored.error()));
                  }
                  state = *stored;
                } else if (progress.error().code != ErrorCode::kNotFound) {
                  return done(tl::unexpected(progress.error()));
                }
                if (IsTerminal(state)) {
                  return done(state);
                }
                m_store.Get(
                    store_keys::Cancelled(job), kReadTimeout,
                    [state, done](Result<StoreItem> cancelled) {
                      if (cancelled) {
                        return done(JobState::kCancelled);
                      }
                      if (cancelled.error().code != ErrorCode::kNotFound) {
                        return done(tl::unexpected(cancelled.error()));
                      }
                      done(state);
                    });
              });
}

void JobIntake::CountWaiting(const QueueId& queue,
                             std::function<void(Result<std::size_t>)> done) {
  if (const auto count = m_owner.CountWaiting(queue)) {
    return done(*count);
  }
  const auto& owner = m_directory.owner();
  if (!owner || owner->entry == m_self) {
    return done(Fail(ErrorCode::kStoreUnavailable, "no owner is known"));
  }
  m_peers.Post(owner->address, peer_paths::kWaitingJobs, queue.value(),
               kOwnerTimeout, [done](Result<net::Response> response) {
                 std::size_t count = 0;
                 if (!response || response->status != kOk ||
                     std::from_chars(
                         response->body.data(),
                         response->body.data() + response->body.size(), count)
                             .ec != std::errc()) {
                   return done(Fail(ErrorCode::kStoreUnavailable,
                                    "the owner did not answer"));
                 }
                 done(count);
               });
}

}  // namespace zinniacart
