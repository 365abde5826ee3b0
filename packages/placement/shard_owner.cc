#include "placement/shard_owner.h"

#include <algorithm>
#include <tuple>

#include "base/invariant.h"

namespace zinniacart {
namespace {

/// A shard is claimed again at the earliest this long after the last attempt.
constexpr Duration kClaimRetryInterval{1'000};
/// At most one shard is handed to its preferred entry in this interval.
constexpr Duration kReleaseInterval{1'000};
/// Interval at which service jobs are aligned with the configuration.
constexpr Duration kReconcileInterval{500};
/// Interval at which every task is checked; urgent tasks must start within 2 s.
constexpr Duration kShardTickInterval{100};
/// Limits the work of one tick.
constexpr int kMaxOffersPerTick = 64;
/// How many tasks are evicted from forbidden hosts in one tick.
constexpr int kMaxEvictionsPerTick = 32;
/// The demand of an offer is subtracted from its host's free capacity for this
/// long; by then the host's own announcement includes it.
constexpr Duration kAnnouncementLag{2'000};
/// A host is quarantined for `kQuarantineDuration` after at least
/// `kQuarantineMinFailures` consecutive failures of tasks from at least
/// `kQuarantineMinJobs` jobs.
constexpr std::size_t kQuarantineMinJobs = 2;
constexpr int kQuarantineMinFailures = 3;
constexpr Duration kQuarantineDuration{600'000};

/// The call number of changes that no operator made, such as those of service
/// reconciliation. Their `Answer` effects are dropped.
constexpr std::uint64_t kInternalCall = 0;

}  // namespace

ShardOwner::ShardOwner(EntryId self,
                       Incarnation incarnation,
                       std::uint32_t shard_count,
                       PlacementTimes times,
                       PlacementPolicy policy)
    : m_self(std::move(self)),
      m_incarnation(incarnation),
      m_shard_count(shard_count),
      m_times(times),
      m_policy(std::move(policy)) {
  for (std::uint32_t number = 0; number < shard_count; ++number) {
    const ShardId id(number);
    m_shards.emplace(id, Shard(id, m_self, m_incarnation, m_times));
  }
}

// ---- Session ----

void ShardOwner::OnSessionRenewed(Instant started) {
  const Instant until = started + m_times.ownership_validity;
  m_confirmed_until = std::max(m_confirmed_until, until);
}

void ShardOwner::OnSessionLost() {
  m_confirmed_until = Instant{-1};
  m_entries.clear();
  for (auto& [id, shard] : m_shards) {
    shard.Abandon();
  }
}

bool ShardOwner::IsConfirmed(Instant now) const {
  return now < m_confirmed_until;
}

void ShardOwner::OnEntries(std::vector<EntryInfo> entries,
                           Instant listed_at,
                           Instant now) {
  m_entries = std::move(entries);
  const auto is_alive = [this](const EntryId& entry, Incarnation incarnation) {
    return IsAlive(entry, incarnation);
  };
  for (auto& [id, shard] : m_shards) {
    shard.OnLiveEntries(is_alive, listed_at, now);
  }
}

void ShardOwner::BeginLeave(Instant now) {
  m_leaving = true;
  for (auto& [id, shard] : m_shards) {
    shard.BeginRelease(now);
  }
}

bool ShardOwner::HasLeft() const {
  return std::all_of(m_shards.begin(), m_shards.end(), [](const auto& row) {
    return row.second.ownership() == Shard::Ownership::kNotOwned;
  });
}

bool ShardOwner::IsAlive(const EntryId& entry, Incarnation incarnation) const {
  return std::any_of(m_entries.begin(), m_entries.end(), [&](const auto& row) {
    return row.entry == entry && row.incarnation == incarnation;
  });
}

const EntryInfo* ShardOwner::PreferredEntry(ShardId shard) const {
  const EntryInfo* best = nullptr;
  std::uint64_t best_weight = 0;
  for (const EntryInfo& entry : m_entries) {
    const std::uint64_t weight = StableHash(
        entry.entry.value() + "/" + std::to_string(entry.incarnation.value()) +
        "/" + std::to_string(shard.value()));
    if (best == nullptr || weight > best_weight) {
      best = &entry;
      best_weight = weight;
    }
  }
  return best;
}

// ---- Store ----

void ShardOwner::OnConfiguration(const Configuration& configuration,
                                 Instant now) {
  if (configuration.serial() <= m_configuration.serial()) {
    return;
  }
  m_configuration = configuration;
  m_next_reconcile = now;
}

void ShardOwner::OnConfigurationConfirmed(ShardId shard,
                                          bool confirmed,
                                          Instant now) {
  m_shards.at(shard).OnConfigurationConfirmed(
      confirmed ? &m_configuration : nullptr, now);
}

void ShardOwner::OnRead(ShardId shard,
                        const Result<StoreValue>& value,
                        Instant now) {
  m_shards.at(shard).OnRead(value, now);
}

void ShardOwner::OnWritten(ShardId shard,
                           const Result<StoreVersion>& version,
                           Instant now) {
  m_shards.at(shard).OnWritten(version, now);
}

// ---- Agents ----

void ShardOwner::OnAgentMessage(const HostId& host,
                                const AgentMessage& message,
                                Instant now) {
  const bool may_renew = IsConfirmed(now);
  const auto to_shard = [&](const PlacementKey& key) {
    const auto found = m_shards.find(key.shard);
    if (found != m_shards.end()) {
      found->second.OnAgentMessage(host, message, may_renew, now);
    }
  };
  std::visit(
      Visitor{[&](const OfferedMessage& kind) { to_shard(kind.key); },
              [&](const OfferRefusedMessage& kind) { to_shard(kind.key); },
              [&](const StartRefusedMessage& kind) { to_shard(kind.key); },
              [&](const ReportMessage& kind) {
                RecordHealth(host, kind, now);
                to_shard(kind.key);
              },
              [&](const HeartbeatMessage&) {
                for (auto& [id, shard] : m_shards) {
                  shard.OnAgentMessage(host, message, may_renew, now);
                }
              }},
      message);
}

void ShardOwner::RecordHealth(const HostId& host,
                              const ReportMessage& report,
                              Instant now) {
  const bool failed = report.state == ReportedState::kFailed;
  const bool finished = report.state == ReportedState::kFinished;
  if (!failed && !finished) {
    return;
  }
  HostHealth& health = m_health[host];
  if (finished) {
    health = HostHealth{};
    return;
  }
  ++health.consecutive_failures;
  health.failed_jobs.insert(JobOf(report.key.task));
  const bool fails_everything =
      health.consecutive_failures >= kQuarantineMinFailures &&
      health.failed_jobs.size() >= kQuarantineMinJobs;
  if (fails_everything) {
    health.quarantined_until = now + kQuarantineDuration;
  }
}

// ---- Operators ----

void ShardOwner::Submit(std::uint64_t call, const JobRecord& job, Instant now) {
  m_shards.at(ShardOf(job.team, m_shard_count)).Submit(call, job, now);
}

void ShardOwner::Cancel(std::uint64_t call,
                        const TeamId& team,
                        const JobId& job,
                        Instant now) {
  m_shards.at(ShardOf(team, m_shard_count)).Cancel(call, job, now);
}

std::vector<Shard::View> ShardOwner::FindJob(const TeamId& team,
                                             const JobId& job) const {
  auto views = m_shards.at(ShardOf(team, m_shard_count)).Tasks();
  std::erase_if(views,
                [&](const Shard::View& view) { return view.job->job != job; });
  return views;
}

std::vector<Shard::View> ShardOwner::Tasks() const {
  std::vector<Shard::View> all;
  for (const auto& [id, shard] : m_shards) {
    const auto views = shard.Tasks();
    all.insert(all.end(), views.begin(), views.end());
  }
  return all;
}

bool ShardOwner::Owns(const TeamId& team) const {
  return m_shards.at(ShardOf(team, m_shard_count)).ownership() ==
         Shard::Ownership::kOwned;
}

std::optional<EntryInfo> ShardOwner::PreferredOwner(const TeamId& team) const {
  const EntryInfo* entry = PreferredEntry(ShardOf(team, m_shard_count));
  return entry == nullptr ? std::nullopt : std::optional(*entry);
}

void ShardOwner::EvictOneBatchTask(Instant now) {
  for (const Shard::View& view : Tasks()) {
    const bool evictable =
        view.job->task_class == TaskClass::kBatch &&
        view.placement_state->phase == Shard::Phase::kRunning;
    if (evictable) {
      m_shards.at(ShardOf(view.job->team, m_shard_count))
          .Evict(view.record->task, now);
      return;
    }
  }
}

std::vector<ShardId> ShardOwner::OwnedShards() const {
  std::vector<ShardId> owned;
  for (const auto& [id, shard] : m_shards) {
    if (shard.ownership() == Shard::Ownership::kOwned) {
      owned.push_back(id);
    }
  }
  return owned;
}

// ---- Scheduling ----

void ShardOwner::Tick(const HostTable& hosts, Instant now) {
  if (IsConfirmed(now)) {
    ClaimAndRelease(now);
  }
  if (now < m_next_shard_tick) {
    for (auto& [id, shard] : m_shards) {
      shard.FlushIfDue(now);
    }
    return;
  }
  m_next_shard_tick = now + kShardTickInterval;
  for (auto& [id, shard] : m_shards) {
    shard.Tick(now);
  }
  if (!IsConfirmed(now) || m_leaving) {
    return;
  }
  if (now >= m_next_reconcile) {
    m_next_reconcile = now + kReconcileInterval;
    ReconcileServices(now);
  }
  EvictFromForbiddenHosts(hosts, now);
  PlaceWaitingTasks(hosts, now);
}

std::vector<ShardOwner::ShardEffect> ShardOwner::TakeEffects() {
  std::vector<ShardEffect> effects;
  for (auto& [id, shard] : m_shards) {
    for (auto& effect : shard.TakeEffects()) {
      const auto* answer = std::get_if<Shard::Answer>(&effect);
      if (answer == nullptr || answer->call != kInternalCall) {
        effects.push_back(ShardEffect{id, std::move(effect)});
      }
    }
  }
  return effects;
}

void ShardOwner::ClaimAndRelease(Instant now) {
  for (auto& [id, shard] : m_shards) {
    const EntryInfo* preferred = PreferredEntry(id);
    const bool preferred_here = preferred != nullptr &&
                                preferred->entry == m_self &&
                                preferred->incarnation == m_incarnation;
    const bool claim = preferred_here && !m_leaving &&
                       shard.ownership() == Shard::Ownership::kNotOwned &&
                       now >= m_claim_not_before[id];
    if (claim) {
      m_claim_not_before[id] = now + kClaimRetryInterval;
      shard.BeginClaim(now);
    }
    const bool release = preferred != nullptr && !preferred_here &&
                         shard.ownership() == Shard::Ownership::kOwned &&
                         now >= m_release_not_before;
    if (release) {
      m_release_not_before = now + kReleaseInterval;
      shard.BeginRelease(now);
    }
    if (m_leaving) {
      shard.BeginRelease(now);
    }
  }
}

void ShardOwner::ReconcileServices(Instant now) {
  std::set<JobId> declared;
  for (const auto& [key, row] : m_configuration.rows()) {
    const auto* service = std::get_if<ServiceResource>(&row.resource);
    if (service == nullptr || !Owns(service->team)) {
      continue;
    }
    JobRecord job;
    job.job = MakeJobId(service->team, service->name.value());
    job.team = service->team;
    job.task_class = TaskClass::kLatencyCritical;
    job.demand = service->demand;
    job.service = true;
    job.replicas = service->replicas;
    declared.insert(job.job);
    const auto views = FindJob(service->team, job.job);
    const bool current = !views.empty() && !views.front().job->cancelled &&
                         views.front().job->replicas == job.replicas &&
                         views.front().job->demand == job.demand;
    if (!current && (job.replicas > 0 || !views.empty())) {
      Submit(kInternalCall, job, now);
    }
  }
  for (const Shard::View& view : Tasks()) {
    const bool removed = view.job->service && !view.job->cancelled &&
                         declared.count(view.job->job) == 0;
    if (removed && &view.job->tasks.front() == view.record) {
      Cancel(kInternalCall, view.job->team, view.job->job, now);
    }
  }
}

void ShardOwner::EvictFromForbiddenHosts(const HostTable& hosts, Instant now) {
  std::vector<Shard::View> evictions;
  for (const Shard::View& view : Tasks()) {
    if (view.placement_state->phase != Shard::Phase::kRunning) {
      continue;
    }
    const HostAnnouncement* host = hosts.Find(view.record->host);
    const bool forbidden =
        host != nullptr && (host->draining || !m_configuration.AllowsWork(
                                                  host->domain, host->host));
    if (forbidden) {
      evictions.push_back(view);
    }
  }
  // Services are evicted first, because their callers are waiting.
  std::stable_sort(evictions.begin(), evictions.end(),
                   [](const Shard::View& a, const Shard::View& b) {
                     return a.job->task_class < b.job->task_class;
                   });
  if (evictions.size() > kMaxEvictionsPerTick) {
    evictions.resize(kMaxEvictionsPerTick);
  }
  for (const Shard::View& view : evictions) {
    const ShardId shard = ShardOf(view.job->team, m_shard_count);
    m_shards.at(shard).Evict(view.record->task, now);
  }
}

void ShardOwner::PlaceWaitingTasks(const HostTable& hosts, Instant now) {
  const std::vector<Shard::View> tasks = Tasks();
  std::vector<Shard::View> waiting;
  std::copy_if(
      tasks.begin(), tasks.end(), std::back_inserter(waiting),
      [now](const Shard::View& view) { return Shard::IsPlaceable(view, now); });
  if (waiting.empty()) {
    return;
  }
  std::vector<HostView> views = MakeHostViews(hosts, now);
  std::map<TeamId, Resources> usage = BatchUsage(tasks);
  SortByRank(views, usage, waiting);
  int offers = 0;
  for (const Shard::View& view : waiting) {
    if (offers >= kMaxOffersPerTick) {
      return;
    }
    const bool offered = TryOffer(view, views, usage[view.job->team], now);
    offers += offered ? 1 : 0;
  }
}

void ShardOwner::SortByRank(const std::vector<HostView>& hosts,
                            const std::map<TeamId, Resources>& usage,
                            std::vector<Shard::View>& waiting) {
  Resources total;
  for (const HostView& host : hosts) {
    total += host.capacity;
  }
  std::map<TeamId, double> share;
  for (const auto& [team, used] : usage) {
    share[team] = DominantShare(used, total);
  }
  const auto rank = [&](const Shard::View& view) {
    return std::tuple(view.job->task_class, -view.job->priority,
                      share[view.job->team],
                      view.placement_state->pending_since);
  };
  std::stable_sort(
      waiting.begin(), waiting.end(),
      [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
}

bool ShardOwner::TryOffer(const Shard::View& view,
                          std::vector<HostView>& hosts,
                          Resources& used,
                          Instant now) {
  const TaskId task = view.record->task;
  Shard& shard = m_shards.at(ShardOf(view.job->team, m_shard_count));
  if (const auto reason = CheckQuota(*view.job, used)) {
    shard.SetPendingReason(task, *reason);
    return false;
  }
  PlacementRequest request{
      task, view.job->job, view.job->demand, view.job->task_class, {}};
  for (const auto& [host, until] : view.placement_state->avoid) {
    if (until > now) {
      request.avoid.insert(host);
    }
  }
  const auto choice = ChooseHost(m_policy, request, hosts);
  if (const auto* reason = std::get_if<PendingReason>(&choice)) {
    shard.SetPendingReason(task, *reason);
    return false;
  }
  const auto chosen =
      std::find_if(hosts.begin(), hosts.end(), [&](const HostView& host) {
        return host.host == std::get<HostId>(choice);
      });
  chosen->free -= view.job->demand;
  if (view.job->task_class == TaskClass::kBatch) {
    used += view.job->demand;
  }
  shard.Offer(task, chosen->host, chosen->domain, now);
  return true;
}

std::vector<HostView> ShardOwner::MakeHostViews(const HostTable& hosts,
                                                Instant now) const {
  std::vector<HostView> views;
  std::map<HostId, std::size_t> index;
  for (const HostAnnouncement* host : hosts.Hosts()) {
    HostView view;
    view.host = host->host;
    view.domain = host->domain;
    view.capacity = host->capacity;
    view.free = host->capacity - host->committed;
    view.allowed =
        !host->draining && m_configuration.AllowsWork(host->domain, host->host);
    const auto health = m_health.find(host->host);
    view.quarantined =
        health != m_health.end() && health->second.quarantined_until > now;
    for (const BackendAnnouncement& backend : host->backends) {
      const auto* service = m_configuration.FindService(backend.service);
      view.services.push_back(backend.service);
      if (service != nullptr) {
        const auto target =
            static_cast<double>(service->latency_target.count());
        const auto latency = static_cast<double>(backend.latency.count());
        view.latency_pressure =
            std::max(view.latency_pressure, latency / target);
      }
    }
    index[view.host] = views.size();
    views.push_back(std::move(view));
  }
  for (const Shard::View& task : Tasks()) {
    const Shard::PlacementState& placement = *task.placement_state;
    const bool unannounced = placement.phase >= Shard::Phase::kOffering &&
                             placement.phase <= Shard::Phase::kStarting &&
                             now - placement.phase_since < kAnnouncementLag;
    const auto found = index.find(placement.offered_host);
    if (unannounced && found != index.end()) {
      views[found->second].free -= task.job->demand;
    }
  }
  return views;
}

std::map<TeamId, Resources> ShardOwner::BatchUsage(
    const std::vector<Shard::View>& tasks) const {
  std::map<TeamId, Resources> usage;
  for (const Shard::View& view : tasks) {
    const bool in_use = view.job->task_class == TaskClass::kBatch &&
                        !IsFinal(view.record->status) &&
                        view.placement_state->phase != Shard::Phase::kIdle;
    if (in_use) {
      usage[view.job->team] += view.job->demand;
    }
  }
  return usage;
}

std::optional<PendingReason> ShardOwner::CheckQuota(
    const JobRecord& job,
    const Resources& used) const {
  const TeamResource* team = m_configuration.FindTeam(job.team);
  if (team == nullptr || job.task_class != TaskClass::kBatch) {
    return std::nullopt;
  }
  if (!job.demand.FitsIn(team->quota)) {
    return PendingReason::kQuotaTooSmall;
  }
  if (!(used + job.demand).FitsIn(team->quota)) {
    return PendingReason::kQuotaReached;
  }
  return std::nullopt;
}

}  // namespace zinniacart
