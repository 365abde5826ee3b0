#include "intake/backlog_forecast.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace zinniacart {
namespace {

constexpr Duration kRecent{2000};
/// Between two observations further apart than this, the owner was paused.
constexpr Duration kLongestGap{2000};

}  // namespace

BacklogForecast::BacklogForecast(BacklogSettings settings, const Clock& clock)
    : m_settings(settings), m_clock(clock) {}

bool BacklogForecast::IsDue() const {
  return m_settings.enabled &&
         (m_samples.empty() || m_clock.Now() - m_samples.back().at >=
                                   m_settings.observation_interval);
}

void BacklogForecast::Observe(const std::map<QueueId, QueueLoad>& loads) {
  const Instant now = m_clock.Now();
  if (!m_samples.empty() && now - m_samples.back().at > kLongestGap) {
    m_samples.clear();
  }
  m_samples.push_back(Sample{now, loads});
  while (now - m_samples.front().at > m_settings.window) {
    m_samples.pop_front();
  }
}

BacklogAdvice BacklogForecast::Advice() const {
  BacklogAdvice advice;
  const bool known =
      m_settings.enabled && !m_samples.empty() &&
      m_samples.back().at - m_samples.front().at >= m_settings.min_observed &&
      m_clock.Now() - m_samples.back().at <= kLongestGap;
  if (!known) {
    return advice;
  }
  for (const auto& [queue, load] : m_samples.back().loads) {
    const auto wait = WaitOf(queue);
    if (wait && *wait >= m_settings.min_wait) {
      advice[queue] = *wait;
    }
  }
  return advice;
}

std::optional<Duration> BacklogForecast::WaitOf(const QueueId& queue) const {
  const Instant newest = m_samples.back().at;
  const Sample* recent = nullptr;
  std::optional<double> waiting;
  std::optional<Duration> begun;
  for (const Sample& sample : m_samples) {
    const auto load = sample.loads.find(queue);
    if (load == sample.loads.end() || load->second.waiting_core_seconds <= 0) {
      return std::nullopt;
    }
    if (newest - sample.at > kRecent) {
      continue;
    }
    recent = recent == nullptr ? &sample : recent;
    waiting = std::min(waiting.value_or(load->second.waiting_core_seconds),
                       load->second.waiting_core_seconds);
    const auto age = load->second.newest_begun_age;
    begun = age ? std::min(begun.value_or(*age), *age) : begun;
  }
  const double rate =
      std::max(RateSince(m_samples.front(), queue), RateSince(*recent, queue));
  if (rate <= 0) {
    return std::nullopt;
  }
  const auto wait = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(*waiting / rate));
  return std::min(wait, begun.value_or(wait));
}

double BacklogForecast::RateSince(const Sample& first,
                                  const QueueId& queue) const {
  const Sample& last = m_samples.back();
  const double seconds =
      std::chrono::duration<double>(last.at - first.at).count();
  if (seconds <= 0) {
    return 0;
  }
  return (last.loads.at(queue).finished_core_seconds -
          first.loads.at(queue).finished_core_seconds) /
         seconds;
}

}  // namespace zinniacart
