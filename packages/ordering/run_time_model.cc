#include "ordering/run_time_model.h"

#include <algorithm>
#include <cmath>

namespace zinniacart {

void LogStatistics::Add(double value, double weight) {
  const double difference = value - mean;
  mean += weight * difference;
  variance = (1 - weight) * (variance + weight * difference * difference);
}

double RunTimeModel::WeightOfNewest(std::size_t count) const {
  return std::max(m_settings.newest_weight, 1.0 / static_cast<double>(count));
}

void RunTimeModel::Learn(const QueueId& queue,
                         Duration declared,
                         Duration taken) {
  if (declared.count() <= 0 || taken.count() <= 0) {
    return;
  }
  QueueRunTimes& runs = m_queues[queue];
  ++runs.count;
  const double weight = WeightOfNewest(runs.count);
  const double log_taken = BoundedLogTime(taken, declared);
  runs.taken.Add(log_taken, weight);
  runs.ratio.Add(log_taken - std::log(static_cast<double>(declared.count())),
                 weight);
}

void RunTimeModel::LearnDeviation(const QueueId& queue,
                                  double squared_deviation) {
  QueueRunTimes& runs = m_queues[queue];
  ++runs.deviations;
  runs.within +=
      WeightOfNewest(runs.deviations) * (squared_deviation - runs.within);
}

RunTimeEstimate RunTimeModel::Estimate(const QueueId& queue,
                                       Duration declared) const {
  const double log_declared = std::log(static_cast<double>(declared.count()));
  const auto found = m_queues.find(queue);
  if (found == m_queues.end() || found->second.count < m_settings.min_runs) {
    return {log_declared, m_settings.assumed_variance};
  }
  const QueueRunTimes& runs = found->second;
  const double usual_weight =
      1 / std::max(m_settings.min_variance, runs.taken.variance);
  const double declared_weight =
      1 / std::max(m_settings.min_variance, runs.ratio.variance);
  const double expected = (usual_weight * runs.taken.mean +
                           declared_weight * (log_declared + runs.ratio.mean)) /
                          (usual_weight + declared_weight);
  return {expected, std::max(m_settings.min_variance,
                             1 / (usual_weight + declared_weight))};
}

double RunTimeModel::VarianceWithinStep(const QueueId& queue,
                                        const RunTimeEstimate& estimate) const {
  const auto found = m_queues.find(queue);
  if (found == m_queues.end() ||
      found->second.deviations < m_settings.min_runs) {
    return (1 - m_settings.assumed_common_share) * estimate.variance;
  }
  // However little the steps differ, a step of many tasks shows its own times.
  constexpr double kMinCommonShare = 0.05;
  return std::clamp(found->second.within, m_settings.min_variance / 2,
                    (1 - kMinCommonShare) * estimate.variance);
}

Duration RunTimeModel::ExpectedRunTime(const QueueId& queue,
                                       Duration declared) const {
  return declared.count() <= 0 ? declared : Estimate(queue, declared).Median();
}

void RunTimeModel::Restore(const QueueId& queue, const QueueRunTimes& runs) {
  QueueRunTimes& known = m_queues[queue];
  if (known.count < runs.count) {
    known = runs;
  }
}

std::string RunTimeModel::Describe() const {
  constexpr std::size_t kMaxListed = 16;
  std::string text = std::to_string(m_queues.size()) + " queues";
  std::size_t listed = 0;
  for (const auto& [queue, runs] : m_queues) {
    if (++listed > kMaxListed) {
      break;
    }
    text += "; " + queue.value() + ": " + std::to_string(runs.count) +
            " runs, variance " + std::to_string(runs.ratio.variance) +
            ", within steps " + std::to_string(runs.within);
  }
  return text;
}

}  // namespace zinniacart
