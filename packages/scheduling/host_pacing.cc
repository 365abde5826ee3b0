#include "scheduling/host_pacing.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace zinniacart {
namespace {

constexpr int kFullSpeed = 100;

double WorstHarm(const BestEffortPace& task) {
  const auto worst = std::max_element(task.harm.begin(), task.harm.end());
  return worst == task.harm.end() ? 0.0 : *worst;
}

}  // namespace

std::vector<BestEffortPace> HostPacing::Decide(
    const std::vector<ServingMeasure>& serving,
    std::vector<BestEffortPace> paced,
    Instant now) {
  m_pressure = 0;
  std::vector<double> planned;
  for (const ServingMeasure& measure : serving) {
    m_pressure = std::max(m_pressure, measure.pressure);
    planned.push_back(measure.undisturbed);
  }
  AdjustTrust(now);
  std::stable_sort(paced.begin(), paced.end(),
                   [](const auto& left, const auto& right) {
                     return WorstHarm(left) < WorstHarm(right);
                   });
  const double suspect =
      paced.empty() ? 0.0 : m_settings.suspect_share * WorstHarm(paced.back());
  std::vector<BestEffortPace> changes;
  for (BestEffortPace& task : paced) {
    const double trust = WorstHarm(task) < suspect ? 1.0 : m_trust;
    const int percent = Plan(serving, task, trust, planned);
    const bool at_an_end = percent == 0 || percent == kFullSpeed;
    const int least = at_an_end ? 1 : m_settings.least_change;
    if (std::abs(percent - task.percent) >= least) {
      task.percent = percent;
      changes.push_back(std::move(task));
    }
  }
  return changes;
}

void HostPacing::AdjustTrust(Instant now) {
  const auto since = [&](Duration time) {
    return !m_trust_changed_at || now - *m_trust_changed_at >= time;
  };
  if (m_pressure >= m_settings.halt_at) {
    m_trust = 0;
  } else if (m_pressure >= m_settings.slow_at && since(m_settings.settle)) {
    m_trust /= 2;
  } else if (m_pressure < m_settings.slow_at && m_trust < 1.0 &&
             since(m_settings.recover_every)) {
    m_trust = std::min(1.0, m_trust + m_settings.recover_step);
  } else {
    return;
  }
  m_trust_changed_at = now;
}

int HostPacing::Plan(const std::vector<ServingMeasure>& serving,
                     const BestEffortPace& task,
                     double trust,
                     std::vector<double>& planned) const {
  if (WorstHarm(task) < m_settings.harmless) {
    return kFullSpeed;
  }
  double share = trust;
  for (std::size_t index = 0; index < serving.size(); ++index) {
    const double room = m_settings.planned - planned[index];
    if (task.harm[index] >= m_settings.harmless) {
      share = std::min(share, std::max(0.0, room) / task.harm[index]);
    }
  }
  const int percent = static_cast<int>(share * kFullSpeed);
  if (percent < m_settings.least_percent) {
    return 0;
  }
  for (std::size_t index = 0; index < serving.size(); ++index) {
    planned[index] += share * task.harm[index];
  }
  return percent;
}

}  // namespace zinniacart
