#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "configuration/configuration.h"
#include "membership/host_table.h"
#include "placement/placement_policy.h"
#include "placement/placement_times.h"
#include "placement/shard.h"

namespace zinniacart {

/// One live entry as listed in the store.
struct EntryInfo {
  EntryId entry;
  Incarnation incarnation;
  std::string address;

  bool operator==(const EntryInfo&) const = default;
};

/// An entry's scheduler: claims its share of the shards, places their tasks,
/// and moves them off hosts where operators do not allow work. A state machine
/// without I/O: call it with events and the current time, then carry out the
/// effects.
///
/// Rendezvous hashing determines which live entry should own a shard. Only the
/// compare-and-swap of the shard's record determines which entry does own it.
class ShardOwner final {
 public:
  /// An effect of one shard.
  struct ShardEffect {
    ShardId shard;
    Shard::Effect effect;
  };

  ShardOwner(EntryId self,
             Incarnation incarnation,
             std::uint32_t shard_count,
             PlacementTimes times,
             PlacementPolicy policy);

  // ---- Session ----

  /// Handles a successful renewal of the session by a call that began at
  /// `started`.
  void OnSessionRenewed(Instant started);
  /// Handles the loss of the session: abandons all shards immediately.
  void OnSessionLost();
  /// @returns whether the session is confirmed, which is required to claim
  /// shards, to place tasks and to renew leases.
  bool IsConfirmed(Instant now) const;
  /// Handles a listing of the live entries by a call that began at `listed_at`.
  void OnEntries(std::vector<EntryInfo> entries,
                 Instant listed_at,
                 Instant now);
  Incarnation incarnation() const { return m_incarnation; }
  /// Starts to release every shard and claims no more, for a planned stop.
  void BeginLeave(Instant now);
  /// @returns whether no shard is owned, being claimed or being released.
  bool HasLeft() const;

  // ---- Store ----

  /// Applies a configuration; ignored unless its serial is higher than the
  /// current one.
  void OnConfiguration(const Configuration& configuration, Instant now);
  /// Handles the response to a shard's `ConfirmConfiguration`. Call
  /// `OnConfiguration` with the configuration that was read first.
  void OnConfigurationConfirmed(ShardId shard, bool confirmed, Instant now);
  void OnRead(ShardId shard, const Result<StoreValue>& value, Instant now);
  void OnWritten(ShardId shard,
                 const Result<StoreVersion>& version,
                 Instant now);

  // ---- Agents ----

  void OnAgentMessage(const HostId& host,
                      const AgentMessage& message,
                      Instant now);

  // ---- Operators ----

  /// Submits a job to the shard of its team. The result follows as an `Answer`
  /// effect.
  void Submit(std::uint64_t call, const JobRecord& job, Instant now);
  /// Cancels a job. The result follows as an `Answer` effect.
  void Cancel(std::uint64_t call,
              const TeamId& team,
              const JobId& job,
              Instant now);
  /// @returns the tasks of a job, or none where the job does not exist or this
  /// entry does not own its shard.
  std::vector<Shard::View> FindJob(const TeamId& team, const JobId& job) const;
  /// @returns every task of the owned shards.
  std::vector<Shard::View> Tasks() const;
  /// @returns whether this entry owns the team's shard.
  bool Owns(const TeamId& team) const;
  /// @returns the live entry that should own the team's shard.
  std::optional<EntryInfo> PreferredOwner(const TeamId& team) const;

  /// Checkpoints and stops the first running batch task found, which is then
  /// placed again; does nothing where none is running.
  void EvictOneBatchTask(Instant now);

  /// Claims and releases shards, drives their state machines, and places
  /// waiting tasks on `hosts`. Call every few tens of milliseconds.
  void Tick(const HostTable& hosts, Instant now);

  /// @returns the effects since the last call, in order.
  std::vector<ShardEffect> TakeEffects();

  PlacementPolicy& policy() { return m_policy; }
  std::vector<ShardId> OwnedShards() const;

 private:
  /// The outcomes of tasks on one host, used to quarantine unhealthy hosts.
  struct HostHealth {
    std::set<JobId> failed_jobs;
    int consecutive_failures = 0;
    Instant quarantined_until;
  };

  bool IsAlive(const EntryId& entry, Incarnation incarnation) const;
  const EntryInfo* PreferredEntry(ShardId shard) const;
  void ClaimAndRelease(Instant now);
  void ReconcileServices(Instant now);
  void EvictFromForbiddenHosts(const HostTable& hosts, Instant now);
  void PlaceWaitingTasks(const HostTable& hosts, Instant now);
  /// Sorts by class, then priority (highest first), then the team's dominant
  /// share (smallest first), then waiting time (longest first).
  static void SortByRank(const std::vector<HostView>& hosts,
                         const std::map<TeamId, Resources>& usage,
                         std::vector<Shard::View>& waiting);
  /// Offers one task to the best host.
  /// @returns whether an offer was sent.
  bool TryOffer(const Shard::View& view,
                std::vector<HostView>& hosts,
                Resources& used,
                Instant now);
  std::vector<HostView> MakeHostViews(const HostTable& hosts,
                                      Instant now) const;
  std::map<TeamId, Resources> BatchUsage(
      const std::vector<Shard::View>& tasks) const;
  std::optional<PendingReason> CheckQuota(const JobRecord& job,
                                          const Resources& used) const;
  void RecordHealth(const HostId& host,
                    const ReportMessage& report,
                    Instant now);

  const EntryId m_self;
  const Incarnation m_incarnation;
  const std::uint32_t m_shard_count;
  const PlacementTimes m_times;
  PlacementPolicy m_policy;
  Instant m_confirmed_until{-1};
  bool m_leaving = false;
  std::vector<EntryInfo> m_entries;
  Configuration m_configuration;
  std::map<ShardId, Shard> m_shards;
  std::map<ShardId, Instant> m_claim_not_before;
  Instant m_release_not_before;
  Instant m_next_reconcile;
  Instant m_next_shard_tick;
  std::map<HostId, HostHealth> m_health;
};

}  // namespace zinniacart
