#include "site/upkeep_duty.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <tuple>
#include <utility>
#include <vector>

#include "base/json_text.h"
#include "base/logging.h"
#include "site/store_keys.h"

namespace zinniacart {
namespace {

constexpr Duration kStoreTimeout{900};
constexpr Duration kStoreRetry{200};
constexpr Duration kCallTimeout{2000};
/// Listings follow each other so fast while machines are down or can be called,
constexpr Duration kListInterval{500};
/// and so slowly while no machine can.
constexpr Duration kIdleListInterval{5000};
/// Emptying costs a pass over all hosts, and moves take longer to show effect.
constexpr Duration kEmptyInterval{150};
/// From the moment when a machine is up again until a listing shows it.
constexpr Duration kConfirmation{800};
/// A failure domain is short of hosts if fewer of them can be used.
constexpr double kEnoughHosts = 2.0 / 3.0;
/// The store accepts 32 conditions and writes in a transaction. Each wave takes
/// one of each for its record and one write for its status.
constexpr std::size_t kMaxWavesInTransaction = 10;

std::string StatusOf(const WavePlanner& planner) {
  return DumpJson(nlohmann::json{
      {"wave", planner.spec().id.value()},
      {"state", planner.record().completed ? "completed" : "running"}});
}

/// @returns the failure domains that lack hosts.
std::set<DomainId> ShortDomains(const Scheduler& scheduler, Instant now) {
  std::map<DomainId, std::pair<std::size_t, std::size_t>> usable_of_all;
  for (const auto& [id, host] : scheduler.hosts()) {
    if (host.facts) {
      auto& [usable, all] = usable_of_all[host.facts->domain];
      // A host that is being emptied still works.
      const bool emptying =
          host.upkeep == HostUpkeep::kEmptying && host.reachable;
      usable += emptying || host.IsSchedulable(now) ? 1 : 0;
      ++all;
    }
  }
  std::set<DomainId> domains;
  for (const auto& [domain, counts] : usable_of_all) {
    if (static_cast<double>(counts.first) <
        kEnoughHosts * static_cast<double>(counts.second)) {
      domains.insert(domain);
    }
  }
  return domains;
}

/// @returns whether the machines of all hosts with runs are known.
bool KnowsAllHosts(const Scheduler& scheduler) {
  return std::all_of(scheduler.hosts().begin(), scheduler.hosts().end(),
                     [](const auto& entry) {
                       return entry.second.facts || entry.second.runs.empty();
                     });
}

}  // namespace

UpkeepDuty::UpkeepDuty(UpkeepSettings settings,
                       EntryId self,
                       StorePort& store,
                       MachinePort& machines,
                       const Clock& clock,
                       WallClock wall_clock)
    : m_settings(settings),
      m_self(std::move(self)),
      m_store(store),
      m_machines(machines),
      m_clock(clock),
      m_wall_clock(std::move(wall_clock)),
      m_pacer(settings.calls_per_s),
      m_lister(machines, settings.reads_per_s, clock) {}

void UpkeepDuty::SetWaves(std::map<WaveId, WaveSpec> waves) {
  if (m_settings.enabled && m_specs != waves) {
    m_specs = std::move(waves);
    m_specs_changed = true;
  }
}

void UpkeepDuty::BeginTerm(Epoch epoch, std::uint64_t epoch_revision) {
  EndTerm();
  m_term = std::make_shared<int>(0);
  m_epoch = epoch;
  m_epoch_revision = epoch_revision;
  const Instant now = m_clock.Now();
  // The previous holder may just have called.
  m_call_from = now + m_settings.holder_lease;
  m_pacer.OnCalled(now);
}

void UpkeepDuty::EndTerm() {
  m_term.reset();
  m_lister.Reset();
  m_waves.clear();
  m_records.reset();
  m_call.reset();
  m_loading = false;
  m_writing = false;
  m_fenced = false;
  m_applied = false;
  m_specs_changed = true;
}

void UpkeepDuty::Tick(Scheduler& scheduler, bool confirmed) {
  if (m_specs.empty() && m_waves.empty()) {
    return;
  }
  if (!m_records) {
    return Load();
  }
  if (m_specs_changed) {
    UpdatePlanners();
  }
  if (HasOpenWaves()) {
    if (confirmed) {
      List();
    }
    const Views views = MakeViews(scheduler);
    SendCall(views, confirmed);
    Plan(views);
    Order(views, confirmed);
    ObserveProgress();
    Apply(scheduler);
  } else if (m_applied) {
    scheduler.SetUpkeep({});
    m_applied = false;
  }
  Write();
}

void UpkeepDuty::Load() {
  if (m_loading || m_clock.Now() < m_retry_store_at) {
    return;
  }
  m_loading = true;
  m_store.List(
      store_keys::kUpkeepPrefix, kStoreTimeout,
      [this,
       term = std::weak_ptr<int>(m_term)](const Result<StoreSnapshot>& listed) {
        if (term.expired()) {
          return;
        }
        m_loading = false;
        if (!listed) {
          m_retry_store_at = m_clock.Now() + kStoreRetry;
          return;
        }
        m_records.emplace();
        for (const StoreItem& item : listed->items) {
          const auto wave = store_keys::ParseUpkeep(item.key);
          if (wave) {
            (*m_records)[*wave] = StoredRecord{item.value, item.revision};
          }
        }
      });
}

void UpkeepDuty::UpdatePlanners() {
  m_specs_changed = false;
  std::erase_if(m_waves, [this](const auto& entry) {
    return !m_specs.contains(entry.first);
  });
  for (const auto& [id, spec] : m_specs) {
    const auto known = m_waves.find(id);
    if (known == m_waves.end()) {
      AddPlanner(spec);
    } else if (!known->second.planner.record().completed) {
      known->second.planner.SetSpec(spec);
    }
  }
}

void UpkeepDuty::AddPlanner(const WaveSpec& spec) {
  const StoredRecord stored = (*m_records)[spec.id];
  WaveRecord record;
  if (stored.revision != 0) {
    const auto decoded = DecodeWaveRecord(stored.bytes);
    if (decoded) {
      record = *decoded;
    } else {
      LogError("stored progress of a wave cannot be decoded, starting anew",
               {{"wave", spec.id.value()},
                {"revision", stored.revision},
                {"detail", decoded.error().detail}});
    }
  }
  const Instant now = m_clock.Now();
  const std::int64_t wall = m_wall_clock();
  if (record.began_ms == 0) {
    record.began_ms = wall;
    LogInfo("wave begun", {{"wave", spec.id.value()},
                           {"machines", spec.machines.size()},
                           {"max_count", spec.max_down},
                           {"duration_ms", spec.duration.count()}});
  }
  const Duration age(std::max<std::int64_t>(0, wall - record.began_ms));
  const WaveTimes times{m_settings.maintenance, kConfirmation,
                        m_pacer.interval()};
  Wave wave(WavePlanner(spec, times, record, now - age, now));
  wave.revision = stored.revision;
  wave.stored = stored.bytes;
  m_waves.emplace(spec.id, std::move(wave));
}

bool UpkeepDuty::HasOpenWaves() const {
  return m_call ||
         std::any_of(m_waves.begin(), m_waves.end(), [](const auto& entry) {
           const WavePlanner& planner = entry.second.planner;
           return !planner.record().completed || planner.HasMachinesDown();
         });
}

void UpkeepDuty::List() {
  const bool soon =
      std::any_of(m_waves.begin(), m_waves.end(), [](const auto& entry) {
        const auto counts = entry.second.planner.Counts();
        return entry.second.planner.HasMachinesDown() ||
               counts.contains(UpkeepStage::kWaiting);
      });
  m_lister.Tick(soon ? kListInterval : kIdleListInterval,
                [this](const MachineListing& listing) {
                  for (auto& [id, wave] : m_waves) {
                    wave.planner.OnListing(listing, m_clock.Now());
                  }
                });
}

UpkeepDuty::Views UpkeepDuty::MakeViews(const Scheduler& scheduler) const {
  Views views;
  const bool known = KnowsAllHosts(scheduler);
  for (const auto& [id, wave] : m_waves) {
    for (const MachineId& machine : wave.planner.spec().machines) {
      views[machine].known = known;
    }
  }
  const auto short_domains = ShortDomains(scheduler, m_clock.Now());
  for (const auto& [id, host] : scheduler.hosts()) {
    const auto view =
        host.facts ? views.find(host.facts->machine) : views.end();
    if (view == views.end()) {
      continue;
    }
    const HostWork work = scheduler.WorkOn(id);
    view->second.known = view->second.known && (host.listed || work.empty);
    view->second.empty = view->second.empty && work.empty;
    view->second.may_end = view->second.may_end && work.may_end;
    view->second.loss += work.loss;
    view->second.domain_short = short_domains.contains(host.facts->domain);
    view->second.incarnation =
        std::max(view->second.incarnation, host.facts->incarnation.value());
  }
  return views;
}

void UpkeepDuty::Plan(const Views& views) {
  for (auto& [id, wave] : m_waves) {
    wave.plan = wave.planner.Plan(views, m_clock.Now());
  }
}

void UpkeepDuty::Apply(Scheduler& scheduler) {
  std::map<HostId, HostUpkeep> upkeep;
  std::map<HostId, Duration> spare;
  for (const auto& [id, host] : scheduler.hosts()) {
    if (!host.facts) {
      continue;
    }
    for (const auto& [wave_id, wave] : m_waves) {
      const auto emptying = wave.plan.emptying.find(host.facts->machine);
      if (wave.plan.ordered.contains(host.facts->machine)) {
        upkeep[id] = HostUpkeep::kOrdered;
      } else if (emptying != wave.plan.emptying.end()) {
        upkeep.emplace(id, HostUpkeep::kEmptying);
        spare[id] = emptying->second;
      }
    }
  }
  scheduler.SetUpkeep(upkeep);
  m_applied = true;
  if (!spare.empty() && m_clock.Now() - m_emptied_at >= kEmptyInterval) {
    m_emptied_at = m_clock.Now();
    scheduler.EmptyHosts(spare);
  }
}

void UpkeepDuty::Order(const Views& views, bool confirmed) {
  const Instant now = m_clock.Now();
  if (m_call || m_fenced || !confirmed || now < m_call_from ||
      !m_pacer.MayCall(now)) {
    return;
  }
  for (auto& [id, wave] : m_waves) {
    if (wave.plan.call) {
      const MachineId machine = *wave.plan.call;
      wave.planner.OnOrdered(machine, m_epoch, views.at(machine), now);
      wave.plan.emptying.erase(machine);
      wave.plan.ordered.insert(machine);
      m_call = PendingCall{id, machine};
      return;
    }
  }
}

void UpkeepDuty::DropCall() {
  const auto wave = m_waves.find(m_call->wave);
  if (wave != m_waves.end()) {
    wave->second.planner.OnOrderDropped(m_call->machine);
  }
  m_call.reset();
}

void UpkeepDuty::SendCall(const Views& views, bool confirmed) {
  if (!m_call || !m_call->stored || m_call->sent) {
    return;
  }
  const auto wave = m_waves.find(m_call->wave);
  const auto view = views.find(m_call->machine);
  // Work may have begun or ended while the order was stored.
  if (wave == m_waves.end() || view == views.end() || !confirmed || m_fenced ||
      !wave->second.planner.MayCall(m_call->machine, view->second,
                                    m_clock.Now())) {
    return DropCall();
  }
  m_call->sent = true;
  m_pacer.OnCalled(m_clock.Now());
  m_machines.BeginUpkeep(
      UpkeepCall{m_call->wave, m_call->machine, m_self, m_epoch}, kCallTimeout,
      [this, call = *m_call,
       term = std::weak_ptr<int>(m_term)](UpkeepAnswer answer) {
        if (!term.expired()) {
          OnAnswer(call, answer);
        }
      });
}

void UpkeepDuty::OnAnswer(const PendingCall& call, UpkeepAnswer answer) {
  m_call.reset();
  ++m_answers[answer];
  const Instant now = m_clock.Now();
  const bool failed = answer == UpkeepAnswer::kUnanswered ||
                      answer == UpkeepAnswer::kUnreachable;
  if (failed) {
    m_pacer.OnFailed(now);
  } else if (answer == UpkeepAnswer::kTooManyCalls) {
    m_pacer.OnLimited(now);
  } else {
    m_pacer.OnAnswered();
  }
  if (answer == UpkeepAnswer::kFenced) {
    m_fenced = true;
  }
  const auto wave = m_waves.find(call.wave);
  if (wave != m_waves.end()) {
    wave->second.planner.OnAnswer(call.machine, answer, now);
  }
  const nlohmann::json fields{{"wave", call.wave.value()},
                              {"machine", call.machine.value()},
                              {"epoch", m_epoch.value()},
                              {"answer", ToString(answer)}};
  if (answer == UpkeepAnswer::kAccepted) {
    LogInfo("upkeep begun", fields);
  } else if (!failed || !m_away) {
    // Repeated failures of the service are not logged each.
    LogInfo(failed ? "upkeep call not answered" : "upkeep refused", fields);
  }
  m_away = failed;
}

void UpkeepDuty::ObserveProgress() {
  for (auto& [id, wave] : m_waves) {
    const bool late = wave.planner.IsLate(m_clock.Now());
    if (late && !wave.reported_late) {
      LogWarning("wave is late", {{"wave", id.value()}});
    }
    wave.reported_late = late;
    if (!wave.planner.record().completed && wave.planner.IsComplete()) {
      wave.planner.MarkCompleted();
      LogInfo("wave completed", {{"wave", id.value()}});
    }
  }
}

void UpkeepDuty::Write() {
  if (m_writing || m_clock.Now() < m_retry_store_at) {
    return;
  }
  StoreTransaction transaction;
  transaction.conditions.push_back(
      StoreCondition{store_keys::kEpoch, m_epoch_revision});
  std::map<WaveId, std::pair<std::string, std::string>> values;
  bool with_call = false;
  for (const auto& [id, wave] : m_waves) {
    std::string record = EncodeWaveRecord(wave.planner.record());
    std::string status = StatusOf(wave.planner);
    const bool stored = record == wave.stored;
    if (stored && m_call && m_call->wave == id) {
      m_call->stored = true;  // A repeated call changes nothing.
    }
    if ((stored && status == wave.status) ||
        values.size() >= kMaxWavesInTransaction) {
      continue;
    }
    const std::string key = store_keys::Upkeep(id);
    transaction.conditions.push_back(StoreCondition{key, wave.revision});
    transaction.writes.push_back(StoreWrite{key, record, {}});
    if (status != wave.status) {
      transaction.writes.push_back(
          StoreWrite{store_keys::WaveStatus(id), status, {}});
    }
    with_call = with_call || (m_call && m_call->wave == id);
    values[id] = {std::move(record), std::move(status)};
  }
  if (values.empty()) {
    return;
  }
  m_writing = true;
  m_store.Commit(
      transaction, kStoreTimeout,
      [this, values = std::move(values), with_call,
       term = std::weak_ptr<int>(m_term)](const Result<StoreCommit>& commit) {
        if (!term.expired()) {
          OnWritten(values, with_call, commit);
        }
      });
}

void UpkeepDuty::OnWritten(
    const std::map<WaveId, std::pair<std::string, std::string>>& values,
    bool with_call,
    const Result<StoreCommit>& commit) {
  m_writing = false;
  const bool stored = commit && commit->committed;
  if (m_call && with_call && !m_call->stored) {
    if (stored) {
      m_call->stored = true;
    } else {
      DropCall();
    }
  }
  if (!commit) {
    m_retry_store_at = m_clock.Now() + kStoreRetry;
    return;
  }
  if (stored) {
    for (const auto& [id, value] : values) {
      const auto wave = m_waves.find(id);
      if (wave != m_waves.end()) {
        wave->second.revision = commit->revision;
        std::tie(wave->second.stored, wave->second.status) = value;
      }
      (*m_records)[id] = StoredRecord{value.first, commit->revision};
    }
    return;
  }
  m_retry_store_at = m_clock.Now() + kStoreRetry;
  for (const StoreItem& item : commit->current) {
    if (item.key == store_keys::kEpoch && item.revision != m_epoch_revision) {
      m_fenced = true;  // Another entry owns the scheduling.
    }
    const auto id = store_keys::ParseUpkeep(item.key);
    const auto wave = id ? m_waves.find(*id) : m_waves.end();
    if (wave != m_waves.end()) {
      // An earlier write that seemed to have failed took effect.
      wave->second.revision = item.revision;
    }
  }
}

std::map<WaveId, std::map<UpkeepStage, std::size_t>> UpkeepDuty::Counts()
    const {
  std::map<WaveId, std::map<UpkeepStage, std::size_t>> counts;
  for (const auto& [id, wave] : m_waves) {
    counts[id] = wave.planner.Counts();
  }
  return counts;
}

std::size_t UpkeepDuty::CountLate() const {
  return static_cast<std::size_t>(std::count_if(
      m_waves.begin(), m_waves.end(),
      [](const auto& entry) { return entry.second.reported_late; }));
}

}  // namespace zinniacart
