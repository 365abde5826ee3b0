#include "hosting/simulation/simulated_owner.h"

#include <utility>

#include "site/store_keys.h"

namespace zinniacart::simulation {
namespace {

constexpr std::size_t kMaxWritesPerTransaction = 15;
constexpr Duration kConfirmationInterval{500};
constexpr Duration kPollInterval{300};
constexpr Duration kWriteTimeout{900};
/// Upkeep is ordered only while the ownership was confirmed within this time.
constexpr Duration kMaxHolderAge{1000};
constexpr double kUpkeepRate = 5;

UpkeepSettings MakeUpkeepSettings() {
  UpkeepSettings settings;
  settings.maintenance = SimulatedMachines::kMaintenance;
  settings.reads_per_s = kUpkeepRate;
  settings.calls_per_s = kUpkeepRate;
  return settings;
}

}  // namespace

bool SimulatedStore::Commit(Epoch writer,
                            const std::vector<ProgressWrite>& writes) {
  if (unavailable || writer != epoch) {
    return false;
  }
  for (const ProgressWrite& write : writes) {
    const auto found = progress.find(write.job);
    if ((found == progress.end() ? 0 : found->second.second) !=
        write.revision) {
      return false;
    }
  }
  ++revision;
  for (const ProgressWrite& write : writes) {
    progress[write.job] = {write.bytes, revision};
  }
  return true;
}

Result<StoreSnapshot> SimulatedStore::List(const std::string& prefix) const {
  if (unavailable) {
    return Fail(ErrorCode::kStoreUnavailable, "the store is unavailable");
  }
  StoreSnapshot snapshot;
  for (const auto& [key, item] : items) {
    if (key.starts_with(prefix)) {
      snapshot.items.push_back(item);
    }
  }
  return snapshot;
}

Result<StoreCommit> SimulatedStore::Commit(
    const StoreTransaction& transaction) {
  if (unavailable) {
    return Fail(ErrorCode::kStoreUnavailable, "the store is unavailable");
  }
  StoreCommit commit{true, 0, {}};
  for (const StoreCondition& condition : transaction.conditions) {
    const auto found = items.find(condition.key);
    const std::uint64_t actual =
        condition.key == store_keys::kEpoch ? epoch.value()
        : found == items.end()              ? 0
                                            : found->second.revision;
    commit.current.push_back(StoreItem{condition.key, {}, actual});
    commit.committed = commit.committed && actual == condition.revision;
  }
  if (commit.committed) {
    commit.revision = ++revision;
    for (const StoreWrite& write : transaction.writes) {
      items[write.key] = StoreItem{write.key, write.value, revision};
    }
  }
  return commit;
}

SimulatedOwner::SimulatedOwner(EntryId self,
                               SchedulerSettings settings,
                               SimulatedStore& store,
                               SimulatedMachines& machines,
                               Post post,
                               SendOrders send,
                               Scheduler::DecisionLog log)
    : m_self(std::move(self)),
      m_settings(settings),
      m_store(store),
      m_post(std::move(post)),
      m_send(std::move(send)),
      m_log(std::move(log)),
      m_services(m_self.value(), store, machines, m_clock, m_post),
      m_upkeep(MakeUpkeepSettings(),
               m_self,
               m_services,
               m_services,
               m_clock,
               [this] { return m_clock.Now().milliseconds; }) {
  m_clock.Advance(Duration(50000));
}

void SimulatedOwner::TakeOver(const std::set<HostId>& hosts) {
  m_hosts = hosts;
  m_epoch = m_store.epoch = m_store.epoch.Next();
  m_confirmed_at = m_clock.Now();
  m_writing = false;
  ++m_write_number;
  m_scheduler = std::make_unique<Scheduler>(m_settings, m_clock, m_log);
  m_scheduler->Begin(m_epoch, m_self);
  m_upkeep.BeginTerm(m_epoch, m_epoch.value());
  for (const auto& [id, record] : m_store.jobs) {
    m_scheduler->AddJob(record, Duration(0));
  }
  for (const auto& [id, stored] : m_store.progress) {
    if (!m_scheduler->RestoreProgress(id, stored.first, stored.second)) {
      throw std::logic_error("progress of " + id.value() + " is unreadable");
    }
  }
  for (const JobId& id : m_store.cancelled) {
    m_scheduler->CancelJob(id);
  }
  for (const HostId& host : hosts) {
    m_scheduler->AddHost(host);
  }
}

void SimulatedOwner::Advance(Duration duration, bool frozen) {
  m_clock.Advance(duration);
  if (!active() || frozen) {
    return;
  }
  ConfirmOwnership();
  m_services.ExpireCalls();
  m_scheduler->OnTick();
  m_upkeep.Tick(*m_scheduler, m_clock.Now() - m_confirmed_at <= kMaxHolderAge);
  m_scheduler->Place();
  WriteProgress();
  const bool poll = m_clock.Now() - m_polled_at >= kPollInterval;
  if (poll) {
    m_polled_at = m_clock.Now();
  }
  SendDueOrders(poll);
}

void SimulatedOwner::ConfirmOwnership() {
  const Instant now = m_clock.Now();
  if (now - m_confirmation_sent_at < kConfirmationInterval) {
    return;
  }
  m_confirmation_sent_at = now;
  m_post("store", [this, now, epoch = m_epoch] {
    if (m_store.unavailable || epoch != m_epoch || !active()) {
      return;
    }
    if (m_store.epoch != epoch) {
      return OnDeposed();
    }
    m_confirmed_at = now;
  });
}

void SimulatedOwner::WriteProgress() {
  const Instant now = m_clock.Now();
  if (m_writing && now - m_write_sent_at < kWriteTimeout) {
    return;
  }
  const auto writes = m_scheduler->TakeWrites(kMaxWritesPerTransaction);
  if (writes.empty()) {
    m_writing = false;
    return;
  }
  m_writing = true;
  m_write_sent_at = now;
  // The outcome is unknown until the answer is received. Until then the writes
  // count as failed and stay due.
  m_scheduler->OnWriteFailed(writes);
  const std::uint64_t number = ++m_write_number;
  m_post("store", [this, writes, number, epoch = m_epoch] {
    const bool committed = m_store.Commit(epoch, writes);
    const bool reachable = !m_store.unavailable;
    const std::uint64_t revision = m_store.revision;
    std::map<JobId, StoredProgress> stored;
    for (const ProgressWrite& write : writes) {
      const auto found = m_store.progress.find(write.job);
      if (found == m_store.progress.end()) {
        stored[write.job] = {};
      } else {
        stored[write.job] = {found->second.first, found->second.second};
      }
    }
    const bool deposed = m_store.epoch != epoch;
    m_post(m_self.value(), [=, this] {
      if (!active() || number != m_write_number || epoch != m_epoch ||
          !reachable) {
        return;
      }
      m_writing = false;
      if (committed) {
        m_scheduler->OnWritten(writes, revision);
      } else if (deposed) {
        OnDeposed();
      } else {
        m_scheduler->OnWriteConflict(stored);
      }
    });
  });
}

void SimulatedOwner::SendDueOrders(bool poll) {
  const bool may_grant =
      m_clock.Now() - m_confirmed_at <= m_settings.times.max_confirmation_age;
  std::set<HostId> hosts;
  for (const HostId& host : m_scheduler->HostsWithOrders()) {
    hosts.insert(host);
  }
  if (poll) {
    hosts = m_hosts;
  }
  for (const HostId& host : hosts) {
    m_send(host, m_scheduler->TakeOrders(host, may_grant));
  }
}

void SimulatedOwner::OnReport(const HostId& host, const HostReport& report) {
  if (active()) {
    m_scheduler->OnReport(host, report);
  }
}

void SimulatedOwner::OnDeposed() {
  m_upkeep.EndTerm();
  m_scheduler.reset();
}

void SimulatedOwner::OnOrdersLost(const HostId& host) {
  if (active()) {
    m_scheduler->OnOrdersLost(host);
  }
}

void SimulatedOwner::OnJobStored(const JobRecord& record) {
  if (active()) {
    m_scheduler->AddJob(record, Duration(0));
  }
}

void SimulatedOwner::OnJobCancelled(const JobId& job) {
  if (active()) {
    m_scheduler->CancelJob(job);
  }
}

}  // namespace zinniacart::simulation
