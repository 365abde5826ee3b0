#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "configuration/configuration.h"
#include "placement/messages.h"
#include "placement/pending_reason.h"
#include "placement/placement_times.h"
#include "placement/shard_change.h"
#include "placement/shard_record.h"
#include "ports/store.h"

namespace zinniacart {

/// The owner's side of the placement protocol for one shard: holds the shard's
/// record, writes its changes, and tracks the state of each placement. A state
/// machine without I/O, driven by `ShardOwner`: call it with events and the
/// current time, then carry out the effects.
///
/// It guarantees that:
/// - a start message for a generation is sent only after that generation was
///   written, with a stamp taken before the write, and only if a configuration
///   read after the stamp was taken allows the host;
/// - a task is placed again only once its previous placement is known to have
///   ended.
class Shard final {
 public:
  /// Read this shard's record, then call `OnRead`.
  struct ReadRecord {};
  /// Write this shard's record if its version is still `expected` (0: absent),
  /// then call `OnWritten`.
  struct WriteRecord {
    std::string bytes;
    StoreVersion expected;
  };
  /// Read the configuration with a request that begins after this effect was
  /// taken, then call `OnConfigurationConfirmed`.
  struct ConfirmConfiguration {};
  /// Send a message to a host's agent.
  struct Send {
    HostId host;
    OwnerMessage message;
  };
  /// The submission or cancellation `call` was stored or refused.
  struct Answer {
    std::uint64_t call = 0;
    Result<void> result;
  };
  using Effect =
      std::variant<ReadRecord, WriteRecord, ConfirmConfiguration, Send, Answer>;

  /// The shard's ownership as seen by this entry.
  enum class Ownership {
    kNotOwned,
    kReading,   ///< The record is read before it is claimed.
    kClaiming,  ///< The record is written with this entry as its owner.
    kOwned,
    kReleasing  ///< The record is written without an owner.
  };

  /// The phase of a placement as far as the owner knows.
  enum class Phase {
    kIdle,        ///< Not running; the task may be placed.
    kOffering,    ///< An offer was sent to a host.
    kCommitting,  ///< The host reserved it; the assignment is written.
    kStarting,    ///< A start message was sent.
    kRunning,     ///< The host reported the task as running.
    kStopping,    ///< A stop message was sent.
    kUncertain,   ///< Unknown until a report or the lease's expiry.
    kReporting,   ///< The end of the placement is written.
  };

  /// The state of one task's placement that is tracked in memory only.
  struct PlacementState {
    Phase phase = Phase::kIdle;
    /// The host of the latest offer.
    HostId offered_host;
    /// The host's stamp in its reply to the offer.
    Stamp stamp;
    Instant phase_since;
    /// When the last query, start or stop message was sent.
    Instant last_request_at;
    /// When the host last reported the task as running.
    Instant last_report_at;
    /// The task's lease has certainly expired after this.
    Instant lease_expired_after;
    /// The task is not offered before this.
    Instant retry_not_before;
    Instant pending_since;
    PendingReason reason = PendingReason::kNotTriedYet;
    /// Hosts that the task is not offered to, each until the given time.
    std::map<HostId, Instant> avoid;

    /// @returns whether the task may be running on its host.
    bool IsPlaced() const;
  };

  Shard(ShardId id,
        EntryId self,
        Incarnation incarnation,
        PlacementTimes times);

  // ---- Ownership ----

  /// Starts reading the record, to claim the shard if it has no owner or its
  /// owner's session has expired.
  void BeginClaim(Instant now);
  /// Releases the shard: writes the collected changes, then a record without an
  /// owner.
  void BeginRelease(Instant now);
  /// Discards all state: this entry's session has expired, or the ownership was
  /// lost or released. Pending calls are answered with an error.
  void Abandon();
  Ownership ownership() const { return m_ownership; }
  Epoch epoch() const { return m_record.epoch; }

  // ---- Store ----

  /// Returns whether an entry's incarnation has a session in a listing.
  using IsAlive = std::function<bool(const EntryId&, Incarnation)>;

  /// Handles the response to `ReadRecord`.
  void OnRead(const Result<StoreValue>& value, Instant now);
  /// Handles a listing of the live entries that began at `listed_at`. A shard
  /// is claimed from another owner only if that owner is missing from a listing
  /// that began after the shard's record was read, which proves that the
  /// owner's session has expired.
  void OnLiveEntries(const IsAlive& is_alive, Instant listed_at, Instant now);
  /// Handles the response to `WriteRecord`.
  void OnWritten(const Result<StoreVersion>& version, Instant now);
  /// Handles the response to `ConfirmConfiguration`.
  /// @param configuration null where it could not be confirmed.
  void OnConfigurationConfirmed(const Configuration* configuration,
                                Instant now);
  /// Checks every task: resends messages without a reply and handles expired
  /// leases. Then writes the collected changes if they are due.
  void Tick(Instant now);
  /// Only writes the collected changes if they are due; called between two
  /// ticks.
  void FlushIfDue(Instant now);

  // ---- Agents ----

  /// Handles a message from a host's agent.
  /// @param may_renew whether this entry's session is confirmed, so that leases
  /// may be renewed.
  void OnAgentMessage(const HostId& host,
                      const AgentMessage& message,
                      bool may_renew,
                      Instant now);

  // ---- Work ----

  /// Adds a job, or changes a service's replicas. The result follows as an
  /// `Answer` effect.
  void Submit(std::uint64_t call, const JobRecord& job, Instant now);
  /// Cancels a job. The result follows as an `Answer` effect.
  void Cancel(std::uint64_t call, const JobId& job, Instant now);
  /// Offers an idle task to `host`, which lies in `domain`.
  void Offer(const TaskId& task,
             const HostId& host,
             const DomainId& domain,
             Instant now);
  /// Records why a task could not be placed.
  void SetPendingReason(const TaskId& task, PendingReason reason);
  /// Checkpoints and stops a running task, which is then placed again.
  void Evict(const TaskId& task, Instant now);

  /// One task with its job and the state of its placement. The pointers are
  /// valid until the shard handles its next event.
  struct View {
    const JobRecord* job = nullptr;
    const TaskRecord* record = nullptr;
    const PlacementState* placement_state = nullptr;
  };
  /// @returns every task of this shard, or none while it is not owned.
  std::vector<View> Tasks() const;
  /// @returns whether the task waits for a host and may be placed now.
  static bool IsPlaceable(const View& view, Instant now);
  const std::vector<JobRecord>& jobs() const { return m_record.jobs; }

  /// @returns the effects since the last call, in order.
  std::vector<Effect> TakeEffects();

 private:
  /// A write of the record that is in flight.
  struct Commit {
    std::vector<ShardChange> changes;
    ShardRecord record;
    std::string bytes;
    StoreVersion expected;
    Instant issued_at;
    bool written = false;
    bool awaits_configuration = false;
    /// The outcome of the write is unknown; the record is read to find out.
    bool resolving = false;
    /// An earlier attempt of this write may have taken effect.
    bool maybe_written = false;
    /// The serial of the confirmed configuration for each assignment that it
    /// allows. A task without an entry must not be started.
    std::map<TaskId, ConfigSerial> allowed;
  };

  bool IsActive() const;
  void SetRecord(ShardRecord record);
  void Claim(ShardRecord record, StoreVersion version, Instant now);
  void ResolveCommit(const Result<StoreValue>& value, Instant now);
  void Flush(Instant now);
  bool IsStillValid(const ShardChange& change, Instant now) const;
  void Stage(ShardChange change, Instant now);
  void IssueCommit(ShardRecord record,
                   std::vector<ShardChange> changes,
                   Instant now);
  void FinishCommit(Instant now);
  void AfterAssign(const AssignChange& assign,
                   std::optional<ConfigSerial> allowed,
                   Instant now);
  void AfterFinish(const FinishChange& finish, Instant now);
  void TrackNewTasks(const JobId& id, Instant now);
  void RejectChange(const ShardChange& change, const Error& error, Instant now);
  void FailCommit(const Error& error, Instant now);
  void BeginRecovery(Instant now);
  void AnswerWithError(const std::vector<ShardChange>& changes,
                       const Error& error);
  void RequestRead(Instant now);

  void HandleOffered(const HostId& host,
                     const OfferedMessage& message,
                     Instant now);
  void HandleOfferRefused(const HostId& host,
                          const OfferRefusedMessage& message,
                          Instant now);
  void HandleStartRefused(const HostId& host,
                          const StartRefusedMessage& message,
                          Instant now);
  void HandleReport(const HostId& host,
                    const ReportMessage& message,
                    Instant now);
  void HandleHeartbeat(const HostId& host,
                       const HeartbeatMessage& message,
                       Instant now);
  void TickTask(const JobRecord& job,
                const TaskRecord& record,
                PlacementState& placement,
                Instant now);

  void SetPhase(PlacementState& placement, Phase phase, Instant now);
  void MakeIdle(const TaskId& task, PendingReason reason, Instant now);
  void SendQuery(const TaskRecord& record,
                 PlacementState& placement,
                 Instant now);
  void SendStop(const TaskRecord& record,
                PlacementState& placement,
                Instant now);
  void SendTo(const HostId& host, OwnerMessage message);
  PlacementKey MakeKey(const TaskId& task, Generation generation) const;

  const ShardId m_id;
  const EntryId m_self;
  const Incarnation m_incarnation;
  const PlacementTimes m_times;

  Ownership m_ownership = Ownership::kNotOwned;
  ShardRecord m_record;
  /// The assigned tasks of `m_record`, by host.
  std::map<HostId, std::vector<const TaskRecord*>> m_assigned_by_host;
  StoreVersion m_version;
  std::map<TaskId, PlacementState> m_placements;
  std::map<HostId, DomainId> m_domains;
  std::vector<ShardChange> m_staged;
  Instant m_staged_since;
  std::optional<Commit> m_commit;
  std::uint64_t m_commit_count = 0;
  Instant m_write_not_before;
  Instant m_read_requested_at;
  bool m_read_pending = false;
  /// A record with another owner, which is claimed if that owner's session has
  /// expired.
  struct ClaimCandidate {
    ShardRecord record;
    StoreVersion version;
    Instant read_at;
  };
  std::optional<ClaimCandidate> m_claim_candidate;
  std::vector<Effect> m_effects;
};

}  // namespace zinniacart
