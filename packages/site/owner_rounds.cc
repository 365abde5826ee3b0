#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>

#include "base/logging.h"
#include "site/owner.h"
#include "site/store_keys.h"

namespace zinniacart {
namespace {

/// Shortest delay from an event to the round that handles it. Events within it
/// share a round and a write to the store.
constexpr Duration kMinRoundDelay{6};
/// The delay before a round is at least this multiple of the last round's
/// duration, so that the event loop has time for messages of callers and hosts.
constexpr int kRoundDelayFactor = 3;
/// The store accepts 32 conditions and writes in a transaction. Each progress
/// write takes one of each, and the epoch takes one more condition.
constexpr std::size_t kMaxWritesPerTransaction = 15;
constexpr Duration kWriteTimeout{900};
constexpr Duration kWriteRetryDelay{60};

}  // namespace

void Owner::ScheduleRound() {
  if (!m_round_timer.armed()) {
    m_round_timer.After(
        std::max(kMinRoundDelay, m_round_duration * kRoundDelayFactor),
        [this] { RunRound(); });
  }
}

void Owner::RunRound() {
  if (!m_loaded) {
    return;
  }
  const Instant began = m_clock.Now();
  if (m_drained_domains_known) {
    m_scheduler.Place();
  }
  WriteProgress();
  SendPendingOrders();
  m_round_duration = m_clock.Now() - began;
}

void Owner::WriteProgress() {
  if (m_write_in_flight || m_store_retry.armed()) {
    return;
  }
  auto writes = m_scheduler.TakeWrites(kMaxWritesPerTransaction);
  if (writes.empty()) {
    return;
  }
  StoreTransaction transaction;
  transaction.conditions.push_back(
      StoreCondition{store_keys::kEpoch, m_ownership.epoch_revision()});
  for (const ProgressWrite& write : writes) {
    const std::string key = store_keys::Progress(write.job);
    transaction.conditions.push_back(StoreCondition{key, write.revision});
    transaction.writes.push_back(StoreWrite{key, write.bytes, {}});
  }
  m_write_in_flight = true;
  m_store.Commit(
      transaction, kWriteTimeout,
      [this, writes = std::move(writes),
       term = std::weak_ptr<int>(m_term)](Result<StoreCommit> commit) {
        if (!term.expired()) {
          OnProgressWritten(writes, commit);
        }
      });
}

void Owner::OnProgressWritten(const std::vector<ProgressWrite>& writes,
                              const Result<StoreCommit>& commit) {
  m_write_in_flight = false;
  if (!commit) {
    m_scheduler.OnWriteFailed(writes);
    return m_store_retry.After(kWriteRetryDelay, [this] { ScheduleRound(); });
  }
  if (!commit->committed) {
    return OnProgressConflict(writes, *commit);
  }
  m_scheduler.OnWritten(writes, commit->revision);
  SendPendingOrders();
  ScheduleRound();
}

void Owner::OnProgressConflict(const std::vector<ProgressWrite>& writes,
                               const StoreCommit& commit) {
  std::map<std::string, StoredProgress> current;
  for (const StoreItem& item : commit.current) {
    current[item.key] = StoredProgress{item.value, item.revision};
  }
  if (current[store_keys::kEpoch].revision != m_ownership.epoch_revision()) {
    return LoseOwnership("another entry has claimed the ownership");
  }
  std::map<JobId, StoredProgress> stored;
  std::vector<ProgressWrite> untold;
  for (const ProgressWrite& write : writes) {
    const std::string key = store_keys::Progress(write.job);
    const auto found = current.find(key);
    if (found != current.end()) {
      stored[write.job] = found->second;
    } else {
      untold.push_back(write);
      LogWarning("a conflict was answered without the item of a key",
                 {{"key", key}, {"revision", write.revision}});
    }
  }
  LogInfo("the stored progress has other revisions, comparing",
          {{"jobs", writes.size()}});
  m_scheduler.OnWriteConflict(stored);
  m_scheduler.OnWriteFailed(untold);
  m_store_retry.After(kWriteRetryDelay, [this] { ScheduleRound(); });
}

void Owner::SendPendingOrders() {
  for (const HostId& host : m_scheduler.HostsWithOrders()) {
    const auto link = m_links.find(host);
    if (link != m_links.end()) {
      link->second->SendOrders();
    }
  }
}

}  // namespace zinniacart
