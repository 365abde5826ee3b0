#include "ordering/run_time_model.h"

#include <algorithm>
#include <cmath>

namespace zinniacart {

void RunTimeModel::LogStatistics::Add(double value, double weight) {
  const double difference = value - mean;
  mean += weight * difference;
  variance = (1 - weight) * (variance + weight * difference * difference);
}

void RunTimeModel::Learn(const QueueId& queue,
                         Duration declared,
                         Duration taken) {
  if (declared.count() <= 0 || taken.count() <= 0) {
    return;
  }
  QueueStatistics& runs = m_queues[queue];
  ++runs.count;
  const double weight =
      std::max(m_settings.newest_weight, 1.0 / static_cast<double>(runs.count));
  const double log_declared = std::log(static_cast<double>(declared.count()));
  const double max_log_ratio = std::log(m_settings.max_ratio);
  const double log_ratio =
      std::clamp(std::log(static_cast<double>(taken.count())) - log_declared,
                 -max_log_ratio, max_log_ratio);
  runs.taken.Add(log_declared + log_ratio, weight);
  runs.ratio.Add(log_ratio, weight);
}

Duration RunTimeModel::ExpectedRunTime(const QueueId& queue,
                                       Duration declared) const {
  const auto found = m_queues.find(queue);
  if (found == m_queues.end() || found->second.count < m_settings.min_runs ||
      declared.count() <= 0) {
    return declared;
  }
  const QueueStatistics& runs = found->second;
  const double usual_weight =
      1 / std::max(m_settings.min_variance, runs.taken.variance);
  const double declared_weight =
      1 / std::max(m_settings.min_variance, runs.ratio.variance);
  const double corrected_declared =
      std::log(static_cast<double>(declared.count())) + runs.ratio.mean;
  const double expected =
      (usual_weight * runs.taken.mean + declared_weight * corrected_declared) /
      (usual_weight + declared_weight);
  return Duration(std::llround(std::exp(expected)));
}

RunTimeEstimator RunTimeModel::EstimatorFor(const QueueId& queue) const {
  return [this, queue](const StepSpec& step) {
    return ExpectedRunTime(queue, step.estimate);
  };
}

}  // namespace zinniacart
