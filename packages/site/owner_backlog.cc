#include <algorithm>
#include <nlohmann/json.hpp>

#include "base/logging.h"
#include "site/owner.h"

namespace zinniacart {

void Owner::ObserveBacklog() {
  if (!m_forecast.IsDue()) {
    return;
  }
  std::map<QueueId, QueueLoad> loads;
  for (const auto& [queue, work] : m_scheduler.SummarizeWork()) {
    loads[queue] = QueueLoad{work.waiting_core_seconds,
                             work.finished_core_seconds, work.newest_begun_age};
  }
  m_forecast.Observe(loads);
  LogBacklog(m_forecast.Advice());
}

void Owner::LogBacklog(BacklogAdvice advice) {
  for (const auto& [queue, wait] : advice) {
    if (!m_logged_backlog.contains(queue)) {
      LogInfo("new jobs of a queue are predicted to wait",
              {{"queue", queue.value()}, {"wait_ms", wait.count()}});
    }
  }
  for (const auto& [queue, wait] : m_logged_backlog) {
    if (!advice.contains(queue)) {
      LogInfo("new jobs of a queue are no longer predicted to wait",
              {{"queue", queue.value()}});
    }
  }
  m_logged_backlog = std::move(advice);
}

BacklogAdvice Owner::Backlog() const {
  if (!m_loaded || !IsOwnershipConfirmed()) {
    return {};
  }
  return m_forecast.Advice();
}

Duration Owner::LongestPredictedWait() const {
  Duration longest{0};
  for (const auto& [queue, wait] : Backlog()) {
    longest = std::max(longest, wait);
  }
  return longest;
}

}  // namespace zinniacart
