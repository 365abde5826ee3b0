#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>

#include "base/logging.h"
#include "site/owner.h"
#include "site/store_keys.h"

namespace zinniacart {
namespace {

/// Events of this span are decided on and written together.
constexpr Duration kRoundPause{6};
/// So many times as long as a round took, the loop is left to what callers and
/// hosts send meanwhile.
constexpr int kPausePerRound = 3;
/// Each write takes a condition and a value; one more condition guards the
/// epoch. The store takes 32 entries in a transaction.
constexpr std::size_t kMostWrites = 15;
constexpr Duration kWriteTimeout{900};
constexpr Duration kWriteRetry{60};

}  // namespace

void Owner::Kick() {
  if (!m_round.armed()) {
    m_round.After(std::max(kRoundPause, m_round_took * kPausePerRound),
                  [this] { RunRound(); });
  }
}

void Owner::RunRound() {
  if (!m_loaded) {
    return;
  }
  const Instant began = m_clock.Now();
  m_scheduler.Place();
  WriteProgress();
  PushOrders();
  m_round_took = m_clock.Now() - began;
}

void Owner::WriteProgress() {
  if (m_writing || m_write_retry.armed()) {
    return;
  }
  auto writes = m_scheduler.TakeWrites(kMostWrites);
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
  m_writing = true;
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
  m_writing = false;
  if (!commit) {
    m_scheduler.OnWriteFailed(writes);
    return m_write_retry.After(kWriteRetry, [this] { Kick(); });
  }
  if (!commit->committed) {
    return OnProgressConflict(writes, *commit);
  }
  m_scheduler.OnWritten(writes, commit->revision);
  PushOrders();
  Kick();
}

void Owner::OnProgressConflict(const std::vector<ProgressWrite>& writes,
                               const StoreCommit& commit) {
  std::map<std::string, std::uint64_t> current;
  for (const StoreItem& item : commit.current) {
    current[item.key] = item.revision;
  }
  if (current[store_keys::kEpoch] != m_ownership.epoch_revision()) {
    return Lose("another entry has claimed the ownership");
  }
  std::map<JobId, std::uint64_t> revisions;
  for (const ProgressWrite& write : writes) {
    revisions[write.job] = current[store_keys::Progress(write.job)];
  }
  LogInfo("progress was written by an earlier attempt",
          {{"jobs", writes.size()}});
  m_scheduler.OnWriteConflict(revisions);
  Kick();
}

void Owner::PushOrders() {
  for (const HostId& host : m_scheduler.HostsWithOrders()) {
    const auto link = m_links.find(host);
    if (link != m_links.end()) {
      link->second->Push();
    }
  }
}

}  // namespace zinniacart
