#include "site/owner.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/logging.h"
#include "colocation/interference_record.h"
#include "ordering/run_time_record.h"
#include "site/entry_directory.h"
#include "site/peer_paths.h"
#include "site/store_keys.h"

namespace zinniacart {
namespace {

constexpr Duration kTickInterval{50};
constexpr Duration kStoreTimeout{700};
/// A renewal that takes longer may reach the store after the lease has expired.
constexpr Duration kRenewTimeout{600};
constexpr Duration kListTimeout{1500};
/// Jobs are counted only by a view of the store that is younger. An accepted
/// job must be visible after 3 s; two watches in a row that find no change take
/// less.
constexpr Duration kMaxWorkAge{2500};
/// Upkeep is ordered only while the ownership was confirmed within this time,
/// which is shorter than the lease, so that no other owner can exist even where
/// the machine service does not check fencing tokens.
constexpr Duration kMaxHolderAge{1000};

Scheduler::DecisionLog LogDecisions() {
  return [](const DecisionEvent& event) {
    nlohmann::json fields;
    if (!event.run.task.job.value().empty()) {
      fields["job"] = event.run.task.job.value();
    }
    if (event.run.run != RunNumber()) {
      fields["task"] = event.run.task.ToString();
      fields["run"] = event.run.run.value();
    }
    if (!event.host.value().empty()) {
      fields["host"] = event.host.value();
    }
    if (!event.detail.empty()) {
      fields["detail"] = event.detail;
    }
    LogInfo(event.name, fields);
  };
}

/// @returns the job whose record `item` is.
JobId JobOf(const StoreItem& item) {
  return JobId(item.key.substr(store_keys::kJobPrefix.size()));
}

}  // namespace

Owner::Owner(boost::asio::io_context& loop,
             StorePort& store,
             PeerClients& peers,
             OwnerSettings settings,
             const Clock& clock)
    : m_loop(loop),
      m_store(store),
      m_peers(peers),
      m_settings(std::move(settings)),
      m_clock(clock),
      m_ownership(m_settings.self, m_settings.ownership, Duration(0), clock),
      m_scheduler(m_settings.scheduler, clock, LogDecisions()),
      m_archive(store, clock, store_keys::kInterference, "interference"),
      m_run_times(store, clock, store_keys::kRunTimes, "run times"),
      m_forecast(m_settings.backlog, clock),
      m_tick_timer(loop),
      m_round_timer(loop),
      m_store_retry(loop) {
  if (m_settings.machines != nullptr) {
    m_upkeep = std::make_unique<UpkeepDuty>(m_settings.upkeep, m_settings.self,
                                            store, *m_settings.machines, clock);
  }
}

void Owner::Start() {
  Tick();
}

void Owner::Tick() {
  TakeStep();
  if (m_loaded) {
    m_scheduler.OnTick();
    if (m_upkeep && m_drained_domains_known) {
      m_upkeep->Tick(m_scheduler, m_ownership.ConfirmedWithin(kMaxHolderAge));
    }
    ScheduleRound();
    SaveInterference();
    ObserveBacklog();
    SaveRunTimes();
  }
  m_tick_timer.After(kTickInterval, [this] { Tick(); });
}

void Owner::Retire(std::function<void()> done) {
  m_retired = true;
  const bool owner = m_ownership.owner();
  const LeaseId lease = m_ownership.lease();
  m_ownership.Retire();
  m_tick_timer.Cancel();
  if (!owner) {
    return done();
  }
  LoseOwnership("this entry is shutting down");
  m_store.EndLease(lease, kStoreTimeout,
                   [done](const Result<Duration>&) { done(); });
}

void Owner::HandOver(const EntryId& to) {
  if (!m_ownership.owner()) {
    return;
  }
  const LeaseId lease = m_ownership.lease();
  LogInfo("handing over the ownership", {{"to", to.value()}});
  LoseOwnership("handed over to a better placed entry");
  m_store.EndLease(lease, kStoreTimeout, [](const Result<Duration>& ended) {
    if (!ended) {
      LogInfo("ownership lease could not be ended, it will expire",
              {{"reason", ended.error().detail}});
    }
  });
}

void Owner::OnOwnershipView(const OwnershipView& view) {
  const bool replaced =
      m_ownership.owner() && view.last_epoch > m_ownership.epoch();
  if (replaced) {
    LoseOwnership("another entry has claimed the ownership");
  }
  m_ownership.OnView(view);
  TakeStep();
}

void Owner::TakeStep() {
  std::visit(
      [this](const auto& step) {
        if constexpr (!std::is_same_v<std::decay_t<decltype(step)>, WaitStep>) {
          Run(step);
        }
      },
      m_ownership.Next());
}

void Owner::Run(const ReadViewStep&) {
  m_store.List(store_keys::kEntriesPrefix, kStoreTimeout,
               [this](Result<StoreSnapshot> snapshot) {
                 if (!snapshot) {
                   return m_ownership.OnFailed();
                 }
                 EntryDirectory directory;
                 directory.OnSnapshot(*snapshot);
                 m_ownership.OnViewRead(directory.ownership());
                 TakeStep();
               });
}

void Owner::Run(const OpenLeaseStep& step) {
  m_store.OpenLease(step.ttl, kStoreTimeout, [this](Result<LeaseId> lease) {
    if (!lease) {
      return m_ownership.OnFailed();
    }
    m_ownership.OnLeaseOpened(*lease);
    TakeStep();
  });
}

void Owner::Run(const ClaimStep& step) {
  const Epoch epoch = step.view.last_epoch.Next();
  const OwnerRecord record{m_settings.self, m_settings.address, epoch};
  StoreTransaction claim;
  claim.conditions = {
      StoreCondition{store_keys::kOwner, step.view.owner_revision},
      StoreCondition{store_keys::kEpoch, step.view.epoch_revision}};
  claim.writes = {
      StoreWrite{store_keys::kOwner, EncodeOwnerRecord(record), step.lease},
      StoreWrite{store_keys::kEpoch, std::to_string(epoch.value()), {}}};
  m_store.Commit(claim, kStoreTimeout,
                 [this, step](Result<StoreCommit> commit) {
                   OnClaimCompleted(step, commit);
                 });
}

void Owner::OnClaimCompleted(const ClaimStep& step,
                             const Result<StoreCommit>& commit) {
  if (m_retired) {
    return;
  }
  if (!commit || !commit->committed) {
    // The claim may still have taken effect. The next attempt therefore begins
    // by reading the records again.
    m_ownership.OnLost();
    return m_ownership.OnFailed();
  }
  m_ownership.OnClaimed(step.view.last_epoch.Next(), commit->revision);
  LogInfo("ownership gained", {{"epoch", m_ownership.epoch().value()}});
  BeginTerm();
}

void Owner::Run(const RenewStep& step) {
  m_store.RenewLease(
      step.lease, kRenewTimeout,
      [this, lease = step.lease](Result<Duration> renewed) {
        if (!m_ownership.owner() || m_ownership.lease() != lease) {
          return;
        }
        if (renewed) {
          return m_ownership.OnRenewed();
        }
        if (renewed.error().code == ErrorCode::kNotFound) {
          return LoseOwnership("the store no longer has the ownership lease");
        }
        m_ownership.OnFailed();
      });
}

void Owner::LoseOwnership(const char* reason) {
  if (!m_ownership.owner()) {
    return;
  }
  LogInfo("ownership lost",
          {{"epoch", m_ownership.epoch().value()}, {"reason", reason}});
  m_ownership.OnLost();
  m_loaded = false;
  m_write_in_flight = false;
  m_term.reset();
  m_work.reset();
  if (m_upkeep) {
    m_upkeep->EndTerm();
  }
  // A link may be calling this function, so the links are destroyed later.
  boost::asio::post(m_loop, [links = std::move(m_links)] {});
  m_links.clear();
  m_progress.reset();
  m_round_timer.Cancel();
  m_store_retry.Cancel();
}

void Owner::BeginTerm() {
  m_term = std::make_shared<int>(0);
  m_scheduler.Begin(m_ownership.epoch(), m_settings.self);
  m_told_to = 0;
  m_write_in_flight = false;
  m_forecast.Reset();
  if (m_upkeep) {
    m_upkeep->BeginTerm(m_ownership.epoch(), m_ownership.epoch_revision());
  }
  LoadProgress();
  LoadInterference();
  LoadRunTimes();
}

void Owner::LoadInterference() {
  m_archive.Load(m_term, [this](const std::string& bytes) {
    const auto restored = m_scheduler.RestoreInterference(bytes);
    if (!restored) {
      return LogWarning("learned interference is not used",
                        {{"detail", restored.error().detail}});
    }
    LogInfo("learned interference loaded",
            {{"epoch", m_ownership.epoch().value()}});
  });
}

void Owner::SaveInterference() {
  if (m_scheduler.interference().empty()) {
    return;
  }
  m_archive.SaveIfDue(m_ownership.epoch_revision(), [this] {
    return EncodeInterference(m_scheduler.interference(), m_clock.Now(),
                              WallClockMilliseconds());
  });
}

void Owner::LoadRunTimes() {
  if (!m_settings.scheduler.hand_over_run_times) {
    return;
  }
  m_run_times.Load(m_term, [this](const std::string& bytes) {
    const auto restored = m_scheduler.RestoreRunTimes(bytes);
    if (!restored) {
      return LogWarning("learned run times are not used",
                        {{"detail", restored.error().detail}});
    }
    LogInfo("learned run times loaded",
            {{"epoch", m_ownership.epoch().value()},
             {"queues", m_scheduler.run_times().queues().size()}});
  });
}

void Owner::SaveRunTimes() {
  if (!m_settings.scheduler.hand_over_run_times ||
      m_scheduler.run_times().queues().empty()) {
    return;
  }
  m_run_times.SaveIfDue(m_ownership.epoch_revision(), [this] {
    return EncodeRunTimes(m_scheduler.run_times());
  });
}

void Owner::LoadProgress() {
  m_store.List(
      store_keys::kProgressPrefix, kListTimeout,
      [this,
       term = std::weak_ptr<int>(m_term)](Result<StoreSnapshot> progress) {
        if (term.expired()) {
          return;
        }
        if (!progress) {
          return m_store_retry.After(kTickInterval, [this] { LoadProgress(); });
        }
        m_progress = std::move(*progress);
        m_work = std::make_unique<PrefixFollower>(
            m_loop, m_store, store_keys::kWorkPrefix, CatchUp::kByChanges,
            [this](const StoreSnapshot& snapshot) { OnWorkSnapshot(snapshot); },
            [this](const StoreEvent& event) { OnWorkEvent(event); }, m_clock);
        m_work->Start();
      });
}

void Owner::OnWorkSnapshot(const StoreSnapshot& snapshot) {
  for (const StoreItem& item : snapshot.items) {
    if (item.key.starts_with(store_keys::kJobPrefix)) {
      ApplyListedJob(item, snapshot.as_of);
    }
  }
  m_told_to = std::max(m_told_to, snapshot.as_of);
  if (m_progress) {
    RestoreLoadedProgress();
  }
  for (const StoreItem& item : snapshot.items) {
    if (!item.key.starts_with(store_keys::kJobPrefix)) {
      ApplyWorkItem(item);
    }
  }
  m_loaded = true;
  ScheduleRound();
}

void Owner::RestoreLoadedProgress() {
  for (const StoreItem& item : m_progress->items) {
    const JobId job(item.key.substr(store_keys::kProgressPrefix.size()));
    const auto restored =
        m_scheduler.RestoreProgress(job, item.value, item.revision);
    if (!restored) {
      LogError("stored job progress cannot be restored, job held back",
               {{"key", item.key},
                {"revision", item.revision},
                {"detail", restored.error().detail}});
    }
  }
  LogInfo("jobs and progress loaded", {{"epoch", m_ownership.epoch().value()},
                                       {"jobs", m_scheduler.jobs().size()}});
  m_progress.reset();
}

void Owner::OnWorkEvent(const StoreEvent& event) {
  m_told_to = std::max(m_told_to, event.item.revision);
  if (event.deleted) {
    return;
  }
  ApplyWorkItem(event.item);
  if (event.item.key.starts_with(store_keys::kJobPrefix)) {
    m_scheduler.Unpin(JobOf(event.item));
  }
  ScheduleRound();
}

void Owner::ApplyListedJob(const StoreItem& item, std::uint64_t as_of) {
  if (item.revision <= m_told_to) {
    return;
  }
  const JobId job = JobOf(item);
  AddStoredJob(job, item.value);
  if (item.revision > as_of) {
    m_scheduler.Pin(job);  // The watch tells of it once more.
  } else {
    m_scheduler.Unpin(job);
  }
}

void Owner::ApplyWorkItem(const StoreItem& item) {
  if (item.key.starts_with(store_keys::kJobPrefix)) {
    AddStoredJob(JobOf(item), item.value);
  } else if (item.key.starts_with(store_keys::kCancelledPrefix)) {
    m_scheduler.CancelJob(
        JobId(item.key.substr(store_keys::kCancelledPrefix.size())));
  } else if (item.key.starts_with(store_keys::kHostPrefix)) {
    AddLink(HostId(item.key.substr(store_keys::kHostPrefix.size())),
            item.value);
  }
}

void Owner::OnNotice(const std::string& path, const std::string& body) {
  if (path.starts_with(peer_paths::kJobCancelled)) {
    m_scheduler.CancelJob(JobId(path.substr(peer_paths::kJobCancelled.size())));
    return ScheduleRound();
  }
  const JobId job(path.substr(peer_paths::kJobStored.size()));
  const bool known = m_scheduler.jobs().contains(job);
  AddStoredJob(job, body);
  if (!known) {
    m_scheduler.Pin(job);  // The store has yet to tell of it.
  }
}

void Owner::AddStoredJob(const JobId& id, const std::string& bytes) {
  const auto record = DecodeJobRecord(id, bytes);
  if (!record) {
    LogError("job record cannot be decoded, job ignored",
             {{"job", id.value()}, {"detail", record.error().detail}});
    return;
  }
  const auto age = WallClockMilliseconds() - record->accepted_at_ms;
  m_scheduler.AddJob(*record, Duration(std::max<std::int64_t>(age, 0)));
  if (m_loaded) {
    ScheduleRound();
  }
}

void Owner::AddLink(const HostId& host, const std::string& address) {
  const auto valid = net::Address::Parse(address, "address");
  if (!valid) {
    return LogError(
        "host ignored: its address is invalid",
        {{"key", store_keys::Host(host)}, {"detail", valid.error().detail}});
  }
  auto& link = m_links[host];
  if (link && link->address() == address) {
    return;
  }
  m_scheduler.AddHost(host);
  HostLink::Events events;
  events.take_orders = [this](const HostId& id) {
    return m_scheduler.TakeOrders(id, IsOwnershipConfirmed());
  };
  events.on_report = [this](const HostId& id, const HostReport& report) {
    m_scheduler.OnReport(id, report);
    ScheduleRound();
  };
  events.on_orders_lost = [this](const HostId& id) {
    m_scheduler.OnOrdersLost(id);
  };
  events.on_newer_owner = [this](const HostId&) {
    LoseOwnership("an agent has accepted a newer owner");
  };
  link = std::make_unique<HostLink>(m_loop, m_peers, host, address,
                                    std::move(events));
  link->Start();
}

bool Owner::IsOwnershipConfirmed() const {
  return m_ownership.ConfirmedWithin(
      m_settings.scheduler.times.max_confirmation_age);
}

bool Owner::IsWorkCurrent() const {
  const auto confirmed_at = m_work->confirmed_at();
  return confirmed_at && m_clock.Now() - *confirmed_at <= kMaxWorkAge;
}

void Owner::OnConfiguration(const SiteConfiguration& configuration) {
  m_scheduler.SetConfiguration(configuration);
}

void Owner::SetDrainedDomains(const std::set<DomainId>& domains) {
  m_scheduler.SetDrainedDomains(domains);
  m_drained_domains_known = true;
  if (m_loaded) {
    ScheduleRound();
  }
}

void Owner::SetWaves(std::map<WaveId, WaveSpec> waves) {
  if (m_upkeep) {
    m_upkeep->SetWaves(std::move(waves));
  }
}

std::optional<JobState> Owner::StateOf(const JobId& job) const {
  if (!m_loaded || !IsOwnershipConfirmed()) {
    return std::nullopt;
  }
  const auto found = m_scheduler.jobs().find(job);
  if (found == m_scheduler.jobs().end()) {
    return std::nullopt;
  }
  return found->second->visible_state();
}

std::optional<std::size_t> Owner::CountWaiting(const QueueId& queue) const {
  if (!m_loaded || !IsOwnershipConfirmed() || !IsWorkCurrent()) {
    return std::nullopt;
  }
  return m_scheduler.CountWaiting(queue);
}

}  // namespace zinniacart
