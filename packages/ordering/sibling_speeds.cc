#include "ordering/sibling_speeds.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace zinniacart {

std::optional<double> MedianSpeed(std::vector<double> speeds) {
  if (speeds.empty()) {
    return std::nullopt;
  }
  const auto middle =
      speeds.begin() + static_cast<std::ptrdiff_t>(speeds.size() / 2);
  std::nth_element(speeds.begin(), middle, speeds.end());
  return *middle;
}

void SiblingSpeeds::Observe(const TaskKey& step,
                            const HostId& host,
                            double speed) {
  m_speeds[step][host] = speed;
}

std::optional<double> SiblingSpeeds::MedianOnOtherHosts(
    const TaskKey& step,
    const HostId& host) const {
  const auto found = m_speeds.find(step);
  if (found == m_speeds.end()) {
    return std::nullopt;
  }
  std::vector<double> other_speeds;
  for (const auto& [other, speed] : found->second) {
    if (other != host) {
      other_speeds.push_back(speed);
    }
  }
  return MedianSpeed(std::move(other_speeds));
}

void SiblingSpeeds::Forget(const JobId& job, std::uint32_t occurrence) {
  const auto begin = m_speeds.lower_bound(TaskKey{job, occurrence, 0, 0});
  auto end = begin;
  while (end != m_speeds.end() && end->first.job == job &&
         end->first.occurrence == occurrence) {
    ++end;
  }
  m_speeds.erase(begin, end);
}

void SiblingSpeeds::Forget(const JobId& job) {
  const auto begin = m_speeds.lower_bound(TaskKey{job, 0, 0, 0});
  auto end = begin;
  while (end != m_speeds.end() && end->first.job == job) {
    ++end;
  }
  m_speeds.erase(begin, end);
}

}  // namespace zinniacart
