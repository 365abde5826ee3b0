#include "intake/recent_changes.h"

#include <cstddef>

namespace zinniacart {
namespace {

/// A transaction without an answer may be executed when the store returns.
/// Outages last some seconds, and callers do not repeat requests for longer.
constexpr Duration kMemory{30000};
/// Bounds the memory. At 100 changes a second it covers 20 s.
constexpr std::size_t kMostSends = 2000;

}  // namespace

void RecentChanges::OnSent(const std::string& change) {
  Expire();
  Entry& entry = m_changes[change];
  ++entry.open_attempts;
  entry.sent_at = m_clock.Now();
  m_order.emplace_back(entry.sent_at, change);
}

void RecentChanges::OnStored(const std::string& change) {
  const auto found = m_changes.find(change);
  if (found != m_changes.end()) {
    found->second.stored = true;
  }
}

void RecentChanges::OnRefused(const std::string& change) {
  const auto found = m_changes.find(change);
  if (found == m_changes.end()) {
    return;
  }
  --found->second.open_attempts;
  if (found->second.open_attempts <= 0 && !found->second.stored) {
    m_changes.erase(found);
  }
}

RecentChanges::State RecentChanges::StateOf(const std::string& change) const {
  const auto found = m_changes.find(change);
  if (found == m_changes.end()) {
    return State::kNotSent;
  }
  return found->second.stored ? State::kStored : State::kMayBeSent;
}

void RecentChanges::Expire() {
  const Instant now = m_clock.Now();
  while (!m_order.empty() && (m_order.size() > kMostSends ||
                              now - m_order.front().first > kMemory)) {
    const auto found = m_changes.find(m_order.front().second);
    if (found != m_changes.end() &&
        found->second.sent_at == m_order.front().first) {
      m_changes.erase(found);
    }
    m_order.pop_front();
  }
}

}  // namespace zinniacart
