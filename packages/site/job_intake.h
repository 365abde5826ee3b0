#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "base/clock.h"
#include "jobs/job_record.h"
#include "jobs/job_state.h"
#include "site/entry_directory.h"
#include "site/owner.h"
#include "site/peer_clients.h"
#include "site/store_port.h"
#include "site/timer.h"

namespace zinniacart {

/// What became of a request to accept or cancel a job.
enum class IntakeOutcome {
  kStored,    ///< It is stored, by this request or an earlier one.
  kNotFound,  ///< No such job.
  kRefused,   ///< Nothing was stored and nothing will be.
  kUnknown,   ///< It may be stored; asking again is safe.
};

/// Takes callers' requests on jobs: stores what must last, tells the owner,
/// and answers questions with the owner's help or from the store.
class JobIntake final {
 public:
  JobIntake(boost::asio::io_context& loop,
            StorePort& store,
            PeerClients& peers,
            const EntryDirectory& directory,
            Owner& owner,
            EntryId self,
            const Clock& clock);

  using OutcomeCallback = std::function<void(IntakeOutcome)>;

  /// Stores a job.
  /// @param until when the caller stops waiting.
  /// @param relay whether another entry may be asked to store it.
  void Accept(const JobRecord& record,
              Instant until,
              bool relay,
              OutcomeCallback done);

  /// Stores a cancellation.
  void Cancel(const JobId& job,
              Instant until,
              bool relay,
              OutcomeCallback done);

  /// @param done receives the state of `job`, `kNotFound` where there is none
  /// in `queue`, `kStoreUnavailable` where it cannot be told.
  void GetState(const JobId& job,
                const QueueId& queue,
                std::function<void(Result<JobState>)> done);

  /// @param done receives how many jobs wait for their first task.
  void CountWaiting(const QueueId& queue,
                    std::function<void(Result<std::size_t>)> done);

  /// Tells the owner what was stored. Losing this costs a little time: the
  /// owner also follows the store.
  void TellOwner(const std::string& path, const std::string& body);

 private:
  /// One change on its way to the store.
  struct Change;
  using ChangePointer = std::shared_ptr<Change>;

  void Attempt(ChangePointer change);
  void OnCommitted(ChangePointer change, const Result<StoreCommit>& commit);
  void Relay(ChangePointer change, std::size_t peer);
  void Finish(ChangePointer change, IntakeOutcome outcome);
  void GiveUp(ChangePointer change);
  void ReadState(const JobId& job,
                 const QueueId& queue,
                 std::function<void(Result<JobState>)> done);
  void ReadProgress(const JobId& job,
                    std::function<void(Result<JobState>)> done);

  boost::asio::io_context& m_loop;
  StorePort& m_store;
  PeerClients& m_peers;
  const EntryDirectory& m_directory;
  Owner& m_owner;
  const EntryId m_self;
  const Clock& m_clock;
};

}  // namespace zinniacart
