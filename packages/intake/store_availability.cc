#include "intake/store_availability.h"

#include <algorithm>
#include <utility>

namespace zinniacart {
namespace {

constexpr Duration kLongestStep{100};
/// The slowest answer is remembered for one to two of these periods.
constexpr Duration kLatencyPeriod{5000};
/// Silence of this many times the slowest recent answer is unusual.
constexpr int kUnusualFactor = 2;

}  // namespace

const char* ToString(StoreAvailability::Health health) {
  switch (health) {
    case StoreAvailability::Health::kAnswers:
      return "answers";
    case StoreAvailability::Health::kInDoubt:
      return "in doubt";
    case StoreAvailability::Health::kAway:
      return "away";
  }
  return "unknown";
}

StoreAvailability::StoreAvailability(StoreAvailabilitySettings settings,
                                     const Clock& clock)
    : m_settings(settings), m_clock(clock), m_last_advance(clock.Now()) {}

void StoreAvailability::Advance() {
  const Instant now = m_clock.Now();
  m_time += std::min(now - m_last_advance, kLongestStep);
  m_last_advance = now;
  if (m_time - m_period_began < kLatencyPeriod) {
    return;
  }
  m_slowest_before = std::exchange(m_slowest, Duration(0));
  m_period_began = m_time;
}

StoreAvailability::CallId StoreAvailability::OnSent(CallKind kind,
                                                    Duration wait) {
  Advance();
  m_pending.emplace(++m_last_call, Pending{kind, m_time + wait});
  return m_last_call;
}

void StoreAvailability::OnAnswered(CallId call) {
  Advance();
  const auto found = m_pending.find(call);
  if (found == m_pending.end()) {
    return;
  }
  // An answer that ends an outage tells how long that lasted, not how slow the
  // store is.
  if (found->second.kind == CallKind::kShort && !away()) {
    NoteLatency(m_time - found->second.due_since);
  }
  m_pending.erase(found);
  m_answered_at = m_time;
  m_answer = m_clock.Now();
  m_unanswered_since.reset();
  m_refused_since.reset();
  m_connection_lost = false;
  Judge();
}

void StoreAvailability::OnFailed(CallId call, Failure failure) {
  Advance();
  const auto found = m_pending.find(call);
  if (found == m_pending.end()) {
    return;
  }
  const Pending ended = found->second;
  m_pending.erase(found);
  const bool timed_out = ended.kind != CallKind::kListing &&
                         m_time - ended.due_since > m_settings.doubt_after;
  if (timed_out) {
    const Duration since = std::max(ended.due_since, m_answered_at);
    m_unanswered_since = std::min(m_unanswered_since.value_or(since), since);
  } else {
    m_refused_since = m_refused_since.value_or(m_time);
    m_refused_at = m_time;
    m_connection_lost = m_connection_lost || failure == Failure::kLost;
  }
  Judge();
}

void StoreAvailability::OnTick() {
  Advance();
  Judge();
}

Duration StoreAvailability::Silence() const {
  Duration since = m_unanswered_since.value_or(m_time);
  for (const auto& [id, call] : m_pending) {
    if (call.kind != CallKind::kListing) {
      since = std::min(since, std::max(call.due_since, m_answered_at));
    }
  }
  return m_time - std::min(since, m_time);
}

void StoreAvailability::Judge() {
  if (!m_settings.enabled) {
    return;
  }
  const Duration silence = Silence();
  const bool refusing = m_refused_since && m_time - *m_refused_since >
                                               m_settings.away_after_refusals;
  const Health before = m_health;
  if (silence > m_settings.away_after_silence || refusing) {
    m_health = Health::kAway;
  } else if (!m_unanswered_since && !m_refused_since &&
             silence <= m_settings.doubt_after) {
    m_health = Health::kAnswers;
  } else if (before != Health::kAway) {
    m_health = Health::kInDoubt;
  }
  if (before == Health::kAnswers && m_health != Health::kAnswers) {
    m_trouble_began = m_clock.Now() - silence;
  }
  m_silent =
      m_connection_lost || silence > std::max(m_settings.doubt_after,
                                              kUnusualFactor * SlowestAnswer());
}

bool StoreAvailability::TakeProbe() {
  if (m_health == Health::kAnswers) {
    return false;
  }
  if (m_probed_at && m_time - *m_probed_at < m_settings.probe_interval) {
    return false;
  }
  m_probed_at = m_time;
  return true;
}

bool StoreAvailability::AnsweredWithin(Duration period) const {
  return m_answer && m_clock.Now() - *m_answer <= period;
}

Duration StoreAvailability::AwayFor() const {
  return away() ? m_clock.Now() - m_trouble_began : Duration(0);
}

void StoreAvailability::NoteLatency(Duration latency) {
  m_slowest = std::max(m_slowest, latency);
}

Duration StoreAvailability::SlowestAnswer() const {
  return std::max(m_slowest, m_slowest_before);
}

}  // namespace zinniacart
