#pragma once

#include <map>

#include "base/clock.h"
#include "jobs/job_spec.h"
#include "jobs/queue.h"

namespace zinniacart {

struct RunTimeSettings {
  /// Fewer finished runs say less than what the callers declare.
  std::size_t least_runs = 8;
  /// Weight of the newest run; the last thirty or so count.
  double newest_weight = 0.03;
  /// Spread that is assumed at least, of the logarithm: no set of runs is so
  /// alike that its next one is certain.
  double least_variance = 0.01;
};

/// Learns how long the tasks of a queue run, and how far what callers declare
/// can be relied on. Both the declared time and the queue's usual time are
/// weighed by how well they foretold the runs that finished. Load it answers:
/// estimates that are off by several times, by which the order of work would
/// be drawn by lot.
class RunTimeModel final {
 public:
  explicit RunTimeModel(RunTimeSettings settings = {}) : m_settings(settings) {}

  /// A task finished that ran at full speed from its start to its end.
  void Learn(const QueueId& queue, Duration declared, Duration taken);

  /// @returns how long a task is expected to run at full speed.
  Duration ExpectedRunTime(const QueueId& queue, Duration declared) const;

  /// @returns a function that gives the expected time of each step of a job.
  RunTimeEstimator EstimatorFor(const QueueId& queue) const;

 private:
  /// Mean and variance of a logarithm, the newest runs counting most.
  struct Spread {
    double mean = 0;
    double variance = 0;

    void Add(double value, double weight);
  };
  struct Runs {
    std::size_t count = 0;
    Spread taken;  ///< Of the time taken, in ms.
    Spread ratio;  ///< Of the time taken to the time declared.
  };

  RunTimeSettings m_settings;
  std::map<QueueId, Runs> m_runs;
};

}  // namespace zinniacart
