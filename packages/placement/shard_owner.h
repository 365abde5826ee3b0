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

/// One live entry, as the store's directory lists it.
struct EntryInfo {
  EntryId entry;
  Incarnation incarnation;
  std::string address;

  bool operator==(const EntryInfo&) const = default;
};

/// An entry's scheduler: claims its part of the shards, places their work,
/// and keeps to what operators allow. A state machine without I/O; feed it
/// events and the time, carry out the effects.
///
/// Which shard belongs to which live entry is rendezvous hashing; what
/// decides is only the compare-and-swap of the shard's record.
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

  /// The session was renewed by a call begun at `started`.
  void OnSessionRenewed(Instant started);
  /// The session has lapsed: everything is given up at once.
  void OnSessionLost();
  /// @returns whether the session is confirmed, so that work may start and
  /// leases may be renewed.
  bool IsConfirmed(Instant now) const;
  /// Takes the directory of live entries, listed by a call begun at
  /// `listed_at`.
  void OnEntries(std::vector<EntryInfo> entries,
                 Instant listed_at,
                 Instant now);
  Incarnation incarnation() const { return m_incarnation; }
  /// Gives every shard up in an orderly way, for a planned stop.
  void BeginLeave(Instant now);
  /// @returns whether no shard is owned any more.
  bool HasLeft() const;

  // ---- Store ----

  /// Takes a newer configuration.
  void OnConfiguration(const Configuration& configuration, Instant now);
  /// Takes the answer to a shard's `ConfirmConfiguration`; the newest
  /// configuration was given to `OnConfiguration` before.
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

  /// Submits a job to the shard of its team; answered by an `Answer` effect.
  void Submit(std::uint64_t call, const JobRecord& job, Instant now);
  /// Cancels a job; answered by an `Answer` effect.
  void Cancel(std::uint64_t call,
              const TeamId& team,
              const JobId& job,
              Instant now);
  /// @returns the tasks of a job; empty where it is not known here.
  std::vector<Shard::View> FindJob(const TeamId& team, const JobId& job) const;
  /// @returns every task of the owned shards.
  std::vector<Shard::View> Tasks() const;
  /// @returns whether this entry owns the team's shard.
  bool Owns(const TeamId& team) const;
  /// @returns the live entry that should own the team's shard.
  std::optional<EntryInfo> PreferredOwner(const TeamId& team) const;

  /// Moves the first running batch task there is, to be placed anew.
  void EvictOneBatchTask(Instant now);

  /// Claims, recovers, schedules. Call every few ten milliseconds.
  void Tick(const HostTable& hosts, Instant now);

  /// @returns the effects since the last call, in order.
  std::vector<ShardEffect> TakeEffects();

  PlacementPolicy& policy() { return m_policy; }
  std::vector<ShardId> OwnedShards() const;

 private:
  /// How tasks fare on one host, to find hosts that fail everything.
  struct HostHealth {
    std::set<JobId> failed_jobs;
    int failures_in_a_row = 0;
    Instant quarantined_until;
  };

  bool IsAlive(const EntryId& entry, Incarnation incarnation) const;
  const EntryInfo* Preferred(ShardId shard) const;
  void ClaimAndRelease(Instant now);
  void ReconcileServices(Instant now);
  void MoveForbidden(const HostTable& hosts, Instant now);
  void Place(const HostTable& hosts, Instant now);
  /// Orders by class, priority, the team's dominant share and age.
  static void SortByRank(const std::vector<HostView>& hosts,
                         const std::map<TeamId, Resources>& use,
                         std::vector<Shard::View>& waiting);
  /// Offers one task to the best host. @returns whether there was one.
  bool TryOffer(const Shard::View& view,
                std::vector<HostView>& hosts,
                Resources& used,
                Instant now);
  std::vector<HostView> MakeViews(const HostTable& hosts, Instant now) const;
  std::map<TeamId, Resources> BatchUse(
      const std::vector<Shard::View>& tasks) const;
  std::optional<PendingReason> CheckQuota(const JobRecord& job,
                                          const Resources& used) const;
  void NoteHealth(const HostId& host, const ReportMessage& report, Instant now);

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
  Instant m_reconcile_at;
  Instant m_look_at;
  std::map<HostId, HostHealth> m_health;
};

}  // namespace zinniacart
