#pragma once

#include <map>

#include "base/clock.h"
#include "jobs/job_spec.h"
#include "jobs/queue.h"

namespace zinniacart {

struct RunTimeSettings {
  /// With fewer finished runs, the declared time is used unchanged.
  std::size_t min_runs = 8;
  /// Weight of the newest run; about the last thirty runs count.
  double newest_weight = 0.03;
  /// Lower bound of the variance of the logarithms: however uniform the past
  /// runs are, the next one is not certain.
  double min_variance = 0.01;
  /// A run time counts as at most this many times the declared one, and at
  /// least that part of it: what lies beyond is a fault of the measurement.
  double max_ratio = 20;
};

/// Learns how long the tasks of a queue run, and how accurate the declared
/// times are. An estimate combines the declared time, corrected by its usual
/// error, with the queue's usual run time; each is weighted by the inverse
/// variance of its error over the finished runs. Declared times that are off by
/// several times would otherwise make the order of jobs arbitrary.
class RunTimeModel final {
 public:
  explicit RunTimeModel(RunTimeSettings settings = {}) : m_settings(settings) {}

  /// Learns from a finished task that ran at full speed from start to end, with
  /// its run time bounded by `RunTimeSettings::max_ratio`. Does nothing if a
  /// duration is not positive.
  void Learn(const QueueId& queue, Duration declared, Duration taken);

  /// @returns how long a task with this declared time is expected to run at
  /// full speed.
  Duration ExpectedRunTime(const QueueId& queue, Duration declared) const;

  /// @returns a function that estimates the run time of each step of the
  /// queue's jobs. It refers to this model.
  RunTimeEstimator EstimatorFor(const QueueId& queue) const;

 private:
  /// Exponentially weighted mean and variance of a logarithm.
  struct LogStatistics {
    double mean = 0;
    double variance = 0;

    void Add(double value, double weight);
  };
  struct QueueStatistics {
    std::size_t count = 0;
    LogStatistics taken;  ///< Of the run time in ms.
    LogStatistics ratio;  ///< Of the run time divided by the declared time.
  };

  RunTimeSettings m_settings;
  std::map<QueueId, QueueStatistics> m_queues;
};

}  // namespace zinniacart
