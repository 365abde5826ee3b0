#include "colocation/serving_load.h"

#include <algorithm>

namespace zinniacart {
namespace {

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

ServingLoad::ServingLoad(double margin,
                         double variance,
                         Instant now,
                         ServingLoadSettings settings)
    : m_settings(settings),
      m_margin(margin),
      m_variance(variance),
      m_corrected_at(now) {}

double ServingLoad::Variance(Instant now) const {
  const double drift = m_settings.drift_per_second;
  return m_variance + drift * drift * Seconds(now - m_corrected_at);
}

void ServingLoad::Correct(double margin, double variance, Instant now) {
  m_margin = margin;
  m_variance = variance;
  m_corrected_at = now;
  m_history.push_back(Estimate{now, margin});
  while (now - m_history.front().at > m_settings.trend_window) {
    m_history.pop_front();
  }
}

double ServingLoad::ExpectedFall(Duration ahead) const {
  if (m_history.empty() ||
      m_history.back().at - m_history.front().at < m_settings.min_trend) {
    return 0;
  }
  const auto count = static_cast<double>(m_history.size());
  double mean_time = 0;
  double mean_margin = 0;
  for (const Estimate& estimate : m_history) {
    mean_time += Seconds(estimate.at - m_history.front().at) / count;
    mean_margin += estimate.margin / count;
  }
  double covariance = 0;
  double variance = 0;
  for (const Estimate& estimate : m_history) {
    const double time = Seconds(estimate.at - m_history.front().at) - mean_time;
    covariance += time * (estimate.margin - mean_margin);
    variance += time * time;
  }
  const double slope = variance > 0 ? covariance / variance : 0.0;
  return std::max(0.0, -slope * Seconds(ahead));
}

}  // namespace zinniacart
