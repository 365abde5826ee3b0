#include "colocation/host_pacing.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <utility>

namespace zinniacart {
namespace {

double WorstLoss(const BestEffortPace& task) {
  const auto worst =
      std::max_element(task.loss_per_core.begin(), task.loss_per_core.end());
  return worst == task.loss_per_core.end() ? 0.0 : *worst * task.cores;
}

}  // namespace

std::vector<BestEffortPace> HostPacing::Decide(
    const std::vector<ServingMeasure>& serving,
    std::vector<BestEffortPace> paced,
    Instant now) {
  AdjustConfidence(serving, now);
  std::vector<double> spare;
  for (const ServingMeasure& measure : serving) {
    spare.push_back(measure.expected_baseline - m_settings.planned_margin);
  }
  std::stable_sort(paced.begin(), paced.end(),
                   [](const auto& left, const auto& right) {
                     return WorstLoss(left) < WorstLoss(right);
                   });
  std::vector<BestEffortPace> changes;
  for (BestEffortPace& task : paced) {
    const int percent = Plan(task, spare);
    if (IsSignificantChange(task, percent)) {
      task.percent = percent;
      changes.push_back(std::move(task));
    }
  }
  return changes;
}

bool HostPacing::IsSignificantChange(const BestEffortPace& task,
                                     int percent) const {
  if (task.unsteady && percent > task.percent) {
    return false;
  }
  const bool at_an_end = percent == 0 || percent == kFullSpeed;
  const int smallest = at_an_end ? 1 : m_settings.min_change;
  return std::abs(percent - task.percent) >= smallest;
}

void HostPacing::AdjustConfidence(const std::vector<ServingMeasure>& serving,
                                  Instant now) {
  m_min_margin.reset();
  bool over_target = false;
  for (const ServingMeasure& measure : serving) {
    m_min_margin =
        std::min(m_min_margin.value_or(measure.margin), measure.margin);
    over_target = over_target ||
                  (measure.margin < m_settings.halt_below &&
                   measure.margin < measure.baseline * (1 - m_settings.noise));
  }
  if (!over_target) {
    m_over_target_since.reset();
  } else if (!m_over_target_since) {
    m_over_target_since = now;
  }
  if (over_target && now - *m_over_target_since >= m_settings.halt_after) {
    m_confidence = 0;
    m_confidence_changed_at = now;
  } else if (m_confidence < 1.0 &&
             now - *m_confidence_changed_at >= m_settings.recover_every) {
    m_confidence = std::min(1.0, m_confidence + m_settings.recover_step);
    m_confidence_changed_at = now;
  }
}

double HostPacing::ToleratedLoss() const {
  return m_confidence < 1.0 ? m_settings.harmless_loss
                            : m_settings.negligible_loss;
}

int HostPacing::Plan(const BestEffortPace& task,
                     std::vector<double>& spare) const {
  const double tolerated = ToleratedLoss();
  double share = WorstLoss(task) < tolerated ? 1.0 : m_confidence;
  for (std::size_t index = 0; index < spare.size(); ++index) {
    const double loss = task.loss_per_core[index] * task.cores;
    if (loss >= tolerated) {
      share = std::min(share, std::max(0.0, spare[index]) / loss);
    }
  }
  const int percent = static_cast<int>(std::lround(share * kFullSpeed));
  if (percent < m_settings.min_percent) {
    return 0;
  }
  for (std::size_t index = 0; index < spare.size(); ++index) {
    spare[index] -= share * task.loss_per_core[index] * task.cores;
  }
  return percent;
}

}  // namespace zinniacart
