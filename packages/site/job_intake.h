#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "intake/admission_policy.h"
#include "intake/recent_changes.h"
#include "intake/relay_peers.h"
#include "intake/retry_after.h"
#include "jobs/job_record.h"
#include "jobs/job_state.h"
#include "site/entry_directory.h"
#include "site/owner.h"
#include "site/peer_clients.h"
#include "site/store_monitor.h"
#include "site/timer.h"

namespace zinniacart {

/// Result of a request to accept or cancel a job.
enum class IntakeOutcome {
  kStored,    ///< Stored, by this request or an earlier one for the same job.
  kNotFound,  ///< The job to cancel does not exist.
  kRefused,   ///< Nothing was stored and nothing will be.
  kUnknown,   ///< May have been stored or may yet be; a retry is safe.
};

/// Why a request was refused.
enum class RefusalReason {
  kNotStored,  ///< The store did not take it, nor did another entry.
  kStoreAway,  ///< The store is away; it was not asked.
  kBacklog,    ///< The job would certainly end too late.
};

/// The answer to a request to accept or cancel a job.
struct IntakeReply {
  IntakeOutcome outcome = IntakeOutcome::kUnknown;
  /// The following apply to `kRefused` only.
  RefusalReason reason = RefusalReason::kNotStored;
  std::chrono::seconds retry_after{1};
};

/// Handles callers' requests about jobs on an entry. Accepted jobs and
/// cancellations are written to the store, directly or through another entry,
/// and the owner is notified. Queries are answered by the owner; a job's state
/// is read from the store if the owner cannot tell it. No call blocks; each
/// callback runs once, possibly before the call returns.
///
/// While the store is away, or so silent that a transaction would probably get
/// no answer, no transaction is sent: one without an answer may be executed
/// seconds later. Requests are then relayed to entries whose store may answer,
/// or refused. Those whose transaction was sent before wait for the store's
/// return and find out then what became of it.
class JobIntake final {
 public:
  JobIntake(boost::asio::io_context& loop,
            StoreMonitor& store,
            PeerClients& peers,
            const EntryDirectory& directory,
            Owner& owner,
            EntryId self,
            const Clock& clock,
            RandomSource random = MakeRandomSource());

  using ReplyCallback = std::function<void(const IntakeReply&)>;

  /// Stores a job. A job of a caller that would end too late by the owner's
  /// advice is refused, once a read has shown that it is not stored.
  ///
  /// If the store does not confirm it and `relay` is set, some
  /// other entries are asked in turn to store it. While the outcome is
  /// uncertain, this is repeated until shortly before the deadline, unless an
  /// entry has a newer configuration without the job's queue.
  /// @param deadline when the caller stops waiting. Attempts end 200 ms before.
  /// @param relay    whether other entries may be asked to store the job.
  ///                 False for a request that was relayed to this entry.
  /// @param done     receives the reply, never `kNotFound`.
  void Accept(const JobRecord& record,
              Instant deadline,
              bool relay,
              ReplyCallback done);

  /// Stores the cancellation of an existing job. The parameters are those of
  /// `Accept`; `done` receives `kNotFound` if the job does not exist.
  void Cancel(const JobId& job,
              Instant deadline,
              bool relay,
              ReplyCallback done);

  /// Determines the state of a job: from the owner or, if the owner cannot
  /// tell it, from the store. The queue does not matter, because ids are unique
  /// and a queue may be declared anew under another name.
  /// @param done receives the state; `kNotFound` if there is no such job,
  ///             `kInvalidArgument` if a stored record cannot be parsed, or the
  ///             store's error, as `kStoreUnavailable`.
  void GetState(const JobId& job, std::function<void(Result<JobState>)> done);

  /// Counts the waiting jobs of a queue, as the owner knows them.
  /// @param done receives how many jobs wait for their first task to start;
  ///             `kStoreUnavailable` if there is no owner or it does not
  ///             answer.
  void CountWaiting(const QueueId& queue,
                    std::function<void(Result<std::size_t>)> done);

  /// @returns when a caller should come back that is refused now.
  std::chrono::seconds RetryAfter() const;

  /// Takes the owner's newest advice which jobs to refuse.
  void SetAdvice(BacklogAdvice advice) {
    m_admission.SetAdvice(std::move(advice));
  }

  /// Notifies the owner of a stored job or cancellation, and takes its advice.
  /// A lost notification only causes a short delay, because the owner also
  /// follows the store.
  /// @param path `peer_paths::kJobStored` or `kJobCancelled` with the job's id.
  /// @param body the stored job record; empty for a cancellation.
  void NotifyOwner(const std::string& path, const std::string& body);

 private:
  /// A job or cancellation that is being stored.
  struct Change;
  using ChangePointer = std::shared_ptr<Change>;

  /// Sends the change to the store, or handles it as the store's health
  /// demands.
  void Begin(const ChangePointer& change);
  /// Reads the job's key before the transaction.
  void ReadFirst(const ChangePointer& change);
  void OnJobRead(const ChangePointer& change, const Result<StoreItem>& item);
  /// Commits the change to the store once.
  void CommitChange(const ChangePointer& change);
  void OnCommitted(const ChangePointer& change,
                   const Result<StoreCommit>& commit);
  /// Asks some other entries in turn to store the change.
  void Relay(const ChangePointer& change);
  void RelayToNext(const ChangePointer& change);
  void OnRelayed(const ChangePointer& change,
                 const std::string& peer,
                 const Result<net::Response>& response);
  void Finish(const ChangePointer& change, IntakeOutcome outcome);
  /// Begins again if the outcome is uncertain and time is left; else finishes.
  void RetryOrFinish(const ChangePointer& change);
  /// Begins again once the health of the store has changed, or after a while.
  void WaitForStore(const ChangePointer& change);
  void OnOwnerAnswered(const std::string& path,
                       const Result<net::Response>& response);
  /// Begins again with everything that waits for the store.
  void OnStoreHealthChanged();
  /// Ends the attempts because a newer configuration lacks the job's queue:
  /// this entry and the remaining peers may have an older one and would store
  /// it. The caller is not told that there is no such queue, because the newer
  /// configuration may declare the path that it asked for under another id.
  void FinishOutdated(const ChangePointer& change);
  /// Finishes a change that no attempt is known to have stored.
  void FinishUnstored(const ChangePointer& change);
  /// Determines the state of a job from the store.
  void ReadState(const JobId& job, std::function<void(Result<JobState>)> done);
  void ReadProgress(const JobId& job,
                    std::function<void(Result<JobState>)> done);

  boost::asio::io_context& m_loop;
  StoreMonitor& m_store;
  PeerClients& m_peers;
  const EntryDirectory& m_directory;
  Owner& m_owner;
  const EntryId m_self;
  const Clock& m_clock;
  const RandomSource m_random;
  AdmissionPolicy m_admission;
  RelayPeers m_relay_peers;
  RecentChanges m_recent;                ///< Identified by their relay paths.
  std::vector<ChangePointer> m_waiting;  ///< For the store.
};

}  // namespace zinniacart
