#include "scheduling/host_health.h"

#include <algorithm>
#include <numeric>

namespace zinniacart {
namespace {

/// Limits the speed of one sample: estimates are rough, and one that was far
/// too long must not hide a slow host.
constexpr double kMaxSpeed = 2.0;

double SpeedOf(Duration estimate, Duration elapsed, double progress) {
  const double expected = static_cast<double>(estimate.count());
  const double taken = std::max(1.0, static_cast<double>(elapsed.count()));
  return std::min(kMaxSpeed, progress * expected / taken);
}

}  // namespace

void HostHealth::OnFinished(Duration estimate, Duration elapsed, Instant now) {
  if (estimate.count() > 0) {
    m_finished.push_back(Finished{now, SpeedOf(estimate, elapsed, 1.0)});
  }
}

void HostHealth::BeginEvaluation() {
  m_running.clear();
}

std::optional<double> HostHealth::ObservedSpeed(Duration estimate,
                                                Duration elapsed,
                                                double progress) const {
  if (estimate.count() <= 0 || elapsed < m_settings.min_elapsed ||
      elapsed < estimate / 2) {
    return std::nullopt;
  }
  return SpeedOf(estimate, elapsed, progress);
}

void HostHealth::OnRunning(Duration estimate,
                           Duration elapsed,
                           double progress) {
  if (const auto speed = ObservedSpeed(estimate, elapsed, progress)) {
    m_running.push_back(*speed);
  }
}

void HostHealth::FinishEvaluation(std::optional<double> reference,
                                  Instant now) {
  while (!m_finished.empty() &&
         now - m_finished.front().at > m_settings.window) {
    m_finished.pop_front();
  }
  std::vector<double> samples = m_running;
  for (const Finished& finished : m_finished) {
    samples.push_back(finished.speed);
  }
  if (samples.size() < m_settings.min_samples) {
    m_speed.reset();
    if (m_unhealthy_since &&
        now - *m_unhealthy_since > m_settings.retry_after) {
      m_unhealthy_since.reset();
    }
    return;
  }
  m_speed = std::accumulate(samples.begin(), samples.end(), 0.0) /
            static_cast<double>(samples.size());
  if (reference && *m_speed < m_settings.unhealthy_below * *reference) {
    m_unhealthy_since = now;
  } else if (m_unhealthy_since &&
             now - *m_unhealthy_since > m_settings.retry_after) {
    m_unhealthy_since.reset();
  }
}

}  // namespace zinniacart
