#include "scheduling/host_pacing.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <utility>

namespace zinniacart {
namespace {

double WorstHarm(const BestEffortPace& task) {
  const auto worst =
      std::max_element(task.loss_per_core.begin(), task.loss_per_core.end());
  return worst == task.loss_per_core.end() ? 0.0 : *worst * task.cores;
}

}  // namespace

std::vector<BestEffortPace> HostPacing::Decide(
    const std::vector<ServingMeasure>& serving,
    std::vector<BestEffortPace> paced,
    Instant now) {
  AdjustTrust(serving, now);
  std::vector<double> room;
  for (const ServingMeasure& measure : serving) {
    room.push_back(measure.expected - m_settings.planned_margin);
  }
  std::stable_sort(paced.begin(), paced.end(),
                   [](const auto& left, const auto& right) {
                     return WorstHarm(left) < WorstHarm(right);
                   });
  std::vector<BestEffortPace> changes;
  for (BestEffortPace& task : paced) {
    const int percent = Plan(task, room);
    if (WorthTelling(task, percent)) {
      task.percent = percent;
      changes.push_back(std::move(task));
    }
  }
  return changes;
}

bool HostPacing::WorthTelling(const BestEffortPace& task, int percent) const {
  if (task.unsteady && percent > task.percent) {
    return false;
  }
  const bool at_an_end = percent == 0 || percent == kFullSpeed;
  const int least = at_an_end ? 1 : m_settings.least_change;
  return std::abs(percent - task.percent) >= least;
}

void HostPacing::AdjustTrust(const std::vector<ServingMeasure>& serving,
                             Instant now) {
  m_min_margin.reset();
  bool disturbed = false;
  for (const ServingMeasure& measure : serving) {
    m_min_margin =
        std::min(m_min_margin.value_or(measure.margin), measure.margin);
    disturbed = disturbed ||
                (measure.margin < m_settings.halt_below &&
                 measure.margin < measure.undisturbed * (1 - m_settings.noise));
  }
  if (!disturbed) {
    m_disturbed_since.reset();
  } else if (!m_disturbed_since) {
    m_disturbed_since = now;
  }
  if (disturbed && now - *m_disturbed_since >= m_settings.halt_after) {
    m_trust = 0;
    m_trust_changed_at = now;
  } else if (m_trust < 1.0 &&
             now - *m_trust_changed_at >= m_settings.recover_every) {
    m_trust = std::min(1.0, m_trust + m_settings.recover_step);
    m_trust_changed_at = now;
  }
}

int HostPacing::Plan(const BestEffortPace& task,
                     std::vector<double>& room) const {
  if (WorstHarm(task) < m_settings.harmless) {
    return kFullSpeed;
  }
  double share = m_trust;
  for (std::size_t index = 0; index < room.size(); ++index) {
    const double harm = task.loss_per_core[index] * task.cores;
    if (harm >= m_settings.harmless) {
      share = std::min(share, std::max(0.0, room[index]) / harm);
    }
  }
  const int percent = static_cast<int>(std::lround(share * kFullSpeed));
  if (percent < m_settings.least_percent) {
    return 0;
  }
  for (std::size_t index = 0; index < room.size(); ++index) {
    room[index] -= share * task.loss_per_core[index] * task.cores;
  }
  return percent;
}

}  // namespace zinniacart
