#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "base/clock.h"
#include "jobs/queue.h"
#include "ordering/run_time_estimate.h"

namespace zinniacart {

struct RunTimeSettings {
  /// With fewer finished runs, the declared time is used unchanged.
  std::size_t min_runs = 8;
  /// Weight of the newest run; about the last thirty runs count.
  double newest_weight = 0.03;
  /// Lower bound of the variance of the logarithms: however uniform the past
  /// runs are, the next one is not certain.
  double min_variance = 0.01;
  /// Variance of the logarithm of run time over declared time while too few
  /// runs are known; 0.3 to 1.0 on the traced sites.
  double assumed_variance = 0.5;
  /// Share of that variance that the tasks of one step have in common while too
  /// few steps are known; 0.14 and 0.27 on the traced sites.
  double assumed_common_share = 0.2;
};

/// Exponentially weighted mean and variance of a logarithm.
struct LogStatistics {
  double mean = 0;
  double variance = 0;

  void Add(double value, double weight);
};

/// What is known of the run times of one queue.
struct QueueRunTimes {
  std::size_t count = 0;
  LogStatistics taken;  ///< Of the run time in ms.
  LogStatistics ratio;  ///< Of the run time divided by the declared time.
  std::size_t deviations = 0;
  double within = 0;  ///< Mean squared deviation within steps.
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
  /// its run time bounded as by `BoundedLogTime`. Does nothing if a duration is
  /// not positive.
  void Learn(const QueueId& queue, Duration declared, Duration taken);
  /// Learns how much the run times within a step differ.
  /// @param squared_deviation of the logarithm of a run time from those of the
  ///                          same step, see `StepRunTimes::OnFinished`.
  void LearnDeviation(const QueueId& queue, double squared_deviation);

  /// @returns the estimate for a task with this declared time at full speed.
  /// @param declared must be positive.
  RunTimeEstimate Estimate(const QueueId& queue, Duration declared) const;
  /// @returns the part of the variance of `estimate`, one of this queue, that
  /// the tasks of one step do not have in common.
  double VarianceWithinStep(const QueueId& queue,
                            const RunTimeEstimate& estimate) const;

  /// @returns how long a task with this declared time is expected to run at
  /// full speed.
  Duration ExpectedRunTime(const QueueId& queue, Duration declared) const;

  const std::map<QueueId, QueueRunTimes>& queues() const { return m_queues; }
  /// Takes over the statistics of a queue, unless more of its runs are known.
  void Restore(const QueueId& queue, const QueueRunTimes& runs);

  /// @returns what is learned of each queue, for the log.
  std::string Describe() const;

 private:
  double WeightOfNewest(std::size_t count) const;

  RunTimeSettings m_settings;
  std::map<QueueId, QueueRunTimes> m_queues;
};

}  // namespace zinniacart
