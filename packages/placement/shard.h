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

/// The owner's half of the placement protocol for one shard: the records,
/// their writes, and what is known of each placement. A state machine
/// without I/O, driven by `ShardOwner`.
///
/// It promises that a host is told to start a generation only after that
/// generation was written, under a stamp older than the write, with the
/// configuration confirmed after the stamp; and that a task is placed anew
/// only once its last placement is known to have ended.
class Shard final {
 public:
  /// Read this shard's record.
  struct ReadRecord {};
  /// Write this shard's record.
  struct WriteRecord {
    std::string bytes;
    StoreVersion expected;
  };
  /// Read the configuration, starting after now, then call
  /// `OnConfigurationConfirmed`.
  struct ConfirmConfiguration {};
  /// Send a message to a host's agent.
  struct Send {
    HostId host;
    OwnerMessage message;
  };
  /// A submission or cancellation is durable, or was refused.
  struct Answer {
    std::uint64_t call = 0;
    Result<void> result;
  };
  using Effect =
      std::variant<ReadRecord, WriteRecord, ConfirmConfiguration, Send, Answer>;

  /// What this entry knows of the shard's ownership.
  enum class Ownership { kForeign, kReading, kClaiming, kOwned, kReleasing };

  /// How a placement stands, as far as the owner knows.
  enum class Phase {
    kIdle,        ///< Nothing runs; it may be placed.
    kOffering,    ///< A host was asked for room.
    kCommitting,  ///< It gave a stamp; the assignment is being written.
    kStarting,    ///< The host was told to start.
    kRunning,     ///< The host reported it running.
    kStopping,    ///< The host was told to stop.
    kUncertain,   ///< The host has to be asked, or its lease to end.
    kReporting,   ///< How it ended is being written.
  };

  /// What is known of one task beside its record.
  struct PlacementState {
    Phase phase = Phase::kIdle;
    HostId target;
    Stamp stamp;
    Instant phase_since;
    Instant asked_at;
    Instant heard_at;
    /// The task's lease has surely ended after this.
    Instant ended_after;
    Instant not_before;
    Instant pending_since;
    PendingReason reason = PendingReason::kNotTriedYet;
    std::map<HostId, Instant> avoid;

    /// @returns whether the task may be running on its host.
    bool IsPlaced() const;
  };

  Shard(ShardId id,
        EntryId self,
        Incarnation incarnation,
        PlacementTimes times);

  // ---- Ownership ----

  /// Starts reading the record, to claim the shard if its owner is gone.
  void BeginClaim(Instant now);
  /// Gives the shard up in an orderly way.
  void BeginRelease(Instant now);
  /// Forgets everything: this entry's session has lapsed.
  void Abandon();
  Ownership ownership() const { return m_ownership; }
  Epoch epoch() const { return m_record.epoch; }

  // ---- Store ----

  /// Tells whether an entry's session was live in a listing.
  using IsAlive = std::function<bool(const EntryId&, Incarnation)>;

  /// Takes the answer to `ReadRecord`.
  void OnRead(const Result<StoreValue>& value, Instant now);
  /// Takes a listing of the live entries that was begun at `listed_at`. A
  /// shard is claimed from an owner only if a listing begun after its record
  /// was read does not show that owner: then its session has surely lapsed.
  void OnDirectory(const IsAlive& is_alive, Instant listed_at, Instant now);
  /// Takes the answer to `WriteRecord`.
  void OnWritten(const Result<StoreVersion>& version, Instant now);
  /// Takes the answer to `ConfirmConfiguration`.
  /// @param configuration null where it could not be confirmed.
  void OnConfigurationConfirmed(const Configuration* configuration,
                                Instant now);
  /// Writes what has gathered, sends again what was not answered, notices
  /// ended leases. Looks at every task.
  void Tick(Instant now);
  /// Only writes what has gathered; for the time between two ticks.
  void FlushIfDue(Instant now);

  // ---- Agents ----

  /// Takes a message from a host's agent.
  /// @param may_renew whether this entry's session is confirmed.
  void OnAgentMessage(const HostId& host,
                      const AgentMessage& message,
                      bool may_renew,
                      Instant now);

  // ---- Work ----

  /// Adds a job, or changes a service's replicas; answers by `Answer`.
  void Submit(std::uint64_t call, const JobRecord& job, Instant now);
  /// Cancels a job; answers by `Answer`.
  void Cancel(std::uint64_t call, const JobId& job, Instant now);
  /// Asks `host` for room for an idle task.
  void Offer(const TaskId& task,
             const HostId& host,
             const DomainId& domain,
             Instant now);
  /// Notes why a task could not be placed.
  void NotePending(const TaskId& task, PendingReason reason);
  /// Checkpoints and stops a running task, to be placed anew.
  void Evict(const TaskId& task, Instant now);

  /// One task with its job and what is known of it.
  struct View {
    const JobRecord* job = nullptr;
    const TaskRecord* record = nullptr;
    const PlacementState* placement_state = nullptr;
  };
  /// @returns every task of this shard; none unless it is owned.
  std::vector<View> Tasks() const;
  /// @returns whether the task waits for a host and may be placed now.
  static bool IsPlaceable(const View& view, Instant now);
  const std::vector<JobRecord>& jobs() const { return m_record.jobs; }

  /// @returns the effects since the last call, in order.
  std::vector<Effect> TakeEffects();

 private:
  struct Commit {
    std::vector<ShardChange> changes;
    ShardRecord record;
    std::string bytes;
    StoreVersion expected;
    Instant issued_at;
    bool written = false;
    bool awaits_configuration = false;
    bool resolving = false;
    bool maybe_written = false;
    /// Whether the confirmed configuration allows each assignment; empty
    /// rows are forbidden.
    std::map<TaskId, ConfigSerial> allowed;
  };

  bool IsActive() const;
  void SetRecord(ShardRecord record);
  void Claim(ShardRecord record, StoreVersion version, Instant now);
  void ResolveCommit(const Result<StoreValue>& value, Instant now);
  void Flush(Instant now);
  bool IsStillWanted(const ShardChange& change, Instant now) const;
  void Stage(ShardChange change, Instant now);
  void IssueCommit(ShardRecord record,
                   std::vector<ShardChange> changes,
                   Instant now);
  void FinishCommit(Instant now);
  void AfterAssign(const AssignChange& assign,
                   std::optional<ConfigSerial> allowed,
                   Instant now);
  void AfterFinish(const FinishChange& finish, Instant now);
  void NoteNewTasks(const JobId& id, Instant now);
  void RejectChange(const ShardChange& change, const Error& error, Instant now);
  void FailCommit(const Error& error, Instant now);
  void BeginRecovery(Instant now);
  void AnswerAll(const std::vector<ShardChange>& changes, const Error& error);
  void ReadAgain(Instant now);

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
                PlacementState& known,
                Instant now);

  void SetPhase(PlacementState& known, Phase phase, Instant now);
  void MakeIdle(const TaskId& task, PendingReason reason, Instant now);
  void Ask(const TaskRecord& record, PlacementState& known, Instant now);
  void SendStop(const TaskRecord& record, PlacementState& known, Instant now);
  void SendTo(const HostId& host, OwnerMessage message);
  PlacementKey KeyOf(const TaskId& task, Generation generation) const;

  const ShardId m_id;
  const EntryId m_self;
  const Incarnation m_incarnation;
  const PlacementTimes m_times;

  Ownership m_ownership = Ownership::kForeign;
  ShardRecord m_record;
  /// The assigned tasks in `m_record`, by host.
  std::map<HostId, std::vector<const TaskRecord*>> m_by_host;
  StoreVersion m_version;
  std::map<TaskId, PlacementState> m_placements;
  std::map<HostId, DomainId> m_domains;
  std::vector<ShardChange> m_staged;
  Instant m_staged_since;
  std::optional<Commit> m_commit;
  std::uint64_t m_commit_count = 0;
  Instant m_write_not_before;
  Instant m_read_at;
  bool m_reading = false;
  /// A record of another owner, read while claiming.
  struct FoundRecord {
    ShardRecord record;
    StoreVersion version;
    Instant read_at;
  };
  std::optional<FoundRecord> m_found;
  std::vector<Effect> m_effects;
};

}  // namespace zinniacart
