#include "scheduling/succession.h"

#include <algorithm>
#include <utility>

namespace zinniacart {

Succession::Succession(EntryId self,
                       double cores,
                       const Clock& clock,
                       SuccessionSettings settings)
    : m_self(std::move(self)),
      m_cores(cores),
      m_clock(clock),
      m_settings(settings) {}

void Succession::OnView(std::map<EntryId, EntryRecord> entries,
                        std::optional<EntryId> owner) {
  m_entries = std::move(entries);
  if (owner != m_owner) {
    m_owner = std::move(owner);
    m_weaker_since.reset();
  }
}

void Succession::OnStoreHealth(bool answering) {
  m_store_reachable = answering;
  if (!answering) {
    m_weaker_since.reset();
  }
}

Duration Succession::StandbyDelay() const {
  const bool stronger_entry_exists = std::any_of(
      m_entries.begin(), m_entries.end(), [this](const auto& entry) {
        return IsStronger(entry.second.cores, m_cores);
      });
  const auto delay_among_equals = Duration(static_cast<std::int64_t>(
      static_cast<double>(m_settings.max_standby_delay.count()) *
      (1.0 - std::min(m_cores, 1.0))));
  return delay_among_equals +
         (stronger_entry_exists ? m_settings.weaker_entry_delay : Duration(0));
}

bool Succession::ShouldRequestHandOver() {
  const auto owner_cores = m_owner ? CoresOf(*m_owner) : std::nullopt;
  if (!m_store_reachable || !owner_cores ||
      !IsStronger(m_cores, *owner_cores)) {
    m_weaker_since.reset();
    return false;
  }
  const Instant now = m_clock.Now();
  if (!m_weaker_since) {
    m_weaker_since = now;
  }
  if (now - *m_weaker_since < m_settings.hand_over_request_delay) {
    return false;
  }
  m_weaker_since = now;
  return true;
}

bool Succession::ShouldHandOverTo(const EntryId& entry) const {
  const auto cores = CoresOf(entry);
  return cores && IsStronger(*cores, m_cores);
}

bool Succession::IsStronger(double cores, double other_cores) const {
  return other_cores > 0 && cores >= m_settings.stronger_ratio * other_cores;
}

std::optional<double> Succession::CoresOf(const EntryId& entry) const {
  const auto found = m_entries.find(entry);
  if (found == m_entries.end() || found->second.cores <= 0) {
    return std::nullopt;
  }
  return found->second.cores;
}

}  // namespace zinniacart
