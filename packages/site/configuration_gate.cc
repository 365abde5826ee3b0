#include "site/configuration_gate.h"

#include <utility>

#include "base/logging.h"

#include <nlohmann/json.hpp>

namespace zinniacart {
namespace {

/// The first read may meet a connection that no longer responds; its failure
/// closes the idle ones.
constexpr int kMaxAttempts = 2;
/// Between the reads of a store that cannot be read.
constexpr Duration kRetryInterval{200};
/// A failure says nothing about the store after this time: nobody has tried to
/// read it since.
constexpr Duration kFailureExpiry{2000};

}  // namespace

ConfigurationGate::ConfigurationGate(Source source,
                                     Duration max_age,
                                     const Clock& clock)
    : m_source(std::move(source)), m_max_age(max_age), m_clock(clock) {}

void ConfigurationGate::Pass(Decision decide) {
  if (IsCurrent()) {
    return decide(true);
  }
  if (IsStoreAway()) {
    return decide(false);
  }
  if (IsUnreadable()) {
    decide(false);
  } else {
    m_waiting.push_back(std::move(decide));
  }
  const bool retry =
      !m_failed_at || m_clock.Now() - *m_failed_at >= kRetryInterval;
  if (retry && !m_refreshing) {
    m_attempts = 0;
    StartRefresh();
  }
}

std::optional<Duration> ConfigurationGate::Age() const {
  const auto confirmed_at = m_source.confirmed_at();
  if (!confirmed_at) {
    return std::nullopt;
  }
  return m_clock.Now() - *confirmed_at;
}

bool ConfigurationGate::IsCurrent() const {
  const auto age = Age();
  return age && *age <= m_max_age;
}

bool ConfigurationGate::IsUnreadable() const {
  if (!m_failed_at) {
    return false;
  }
  const auto confirmed_at = m_source.confirmed_at();
  const bool read_since = confirmed_at && *confirmed_at > *m_failed_at;
  return !read_since && m_clock.Now() - *m_failed_at < kFailureExpiry;
}

bool ConfigurationGate::IsStoreAway() const {
  return m_source.store_away && m_source.store_away();
}

void ConfigurationGate::StartRefresh() {
  m_refreshing = true;
  ++m_attempts;
  m_source.refresh([this](bool refreshed) { OnRefreshed(refreshed); });
}

void ConfigurationGate::OnRefreshed(bool refreshed) {
  m_refreshing = false;
  // The watch may have delivered it meanwhile.
  if (IsCurrent()) {
    m_failed_at.reset();
    return DecideWaiting();
  }
  // A read that took longer than the allowed age proves nothing.
  if (m_attempts < kMaxAttempts && !IsStoreAway()) {
    return StartRefresh();
  }
  if (!IsUnreadable()) {
    LogWarning("configuration may be outdated: the store cannot be read",
               {{"age_ms", Age().value_or(Duration(0)).count()},
                {"answered", refreshed},
                {"requests", m_waiting.size()}});
  }
  m_failed_at = m_clock.Now();
  DecideWaiting();
}

void ConfigurationGate::DecideWaiting() {
  const auto waiting = std::exchange(m_waiting, {});
  for (const Decision& decide : waiting) {
    decide(IsCurrent());
  }
}

}  // namespace zinniacart
