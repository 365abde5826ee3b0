#include "scheduling/host_pacing.h"

#include <algorithm>

namespace zinniacart {
namespace {

constexpr int kFullSpeed = 100;

}  // namespace

std::vector<BestEffortPace> HostPacing::Decide(
    const std::vector<ServingMeasure>& serving,
    const std::vector<BestEffortPace>& paced,
    Instant now) {
  m_pressure = 0;
  for (const ServingMeasure& measure : serving) {
    if (measure.target.count() > 0) {
      m_pressure =
          std::max(m_pressure, static_cast<double>(measure.tail.count()) /
                                   static_cast<double>(measure.target.count()));
    }
  }
  if (paced.empty()) {
    return {};
  }
  if (m_pressure >= m_settings.slow_at) {
    return Slow(paced, now);
  }
  if (m_pressure < m_settings.raise_below) {
    return Raise(paced, now);
  }
  return {};
}

std::vector<BestEffortPace> HostPacing::Slow(
    const std::vector<BestEffortPace>& paced,
    Instant now) {
  const bool halt = m_pressure >= m_settings.halt_at;
  if (!halt && m_slowed_at && now - *m_slowed_at < m_settings.settle) {
    return {};
  }
  m_slowed_at = now;
  double worst = 0;
  for (const BestEffortPace& task : paced) {
    worst = std::max(worst, task.percent > 0 ? task.harm : 0.0);
  }
  std::vector<BestEffortPace> changes;
  for (const BestEffortPace& task : paced) {
    if (task.harm < m_settings.spare_below * worst) {
      continue;
    }
    const int half = task.percent / 2;
    const int percent = halt || half < m_settings.least_percent ? 0 : half;
    if (percent != task.percent) {
      changes.push_back(BestEffortPace{task.id, percent});
    }
  }
  return changes;
}

std::vector<BestEffortPace> HostPacing::Raise(
    const std::vector<BestEffortPace>& paced,
    Instant now) {
  if ((m_slowed_at && now - *m_slowed_at < m_settings.settle) ||
      (m_raised_at && now - *m_raised_at < m_settings.raise_every)) {
    return {};
  }
  const BestEffortPace* candidate = nullptr;
  for (const BestEffortPace& task : paced) {
    const bool better =
        candidate == nullptr || task.harm < candidate->harm ||
        (task.harm == candidate->harm && task.percent > candidate->percent);
    if (task.percent < kFullSpeed && better) {
      candidate = &task;
    }
  }
  if (candidate == nullptr) {
    return {};
  }
  m_raised_at = now;
  const int percent = std::min(
      kFullSpeed, std::max(m_settings.least_percent,
                           candidate->percent + m_settings.raise_step));
  return {BestEffortPace{candidate->id, percent}};
}

}  // namespace zinniacart
