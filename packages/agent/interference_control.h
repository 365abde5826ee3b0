#pragma once

#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"

namespace zinniacart {

/// Limits the interference of batch tasks with the latency-critical services
/// on the same host. It runs in the agent because the agent forwards every
/// request and so sees at once that a service misses its latency target.
///
/// While a service misses its target, one batch task at a time is throttled
/// for the length of an experiment. If the tail latency falls by enough, the
/// task interferes: it stays throttled, and later misses of the target throttle
/// it further. If not, a task that has not been found to interfere before is
/// returned to full speed, and the next task is tried. Once every service is
/// well below its target, throttled tasks regain speed step by step.
///
/// A task is evicted only if throttling has been effective for it, it is
/// already at its minimum speed, the target is still missed and the last
/// eviction on this host is long enough ago. Decision logic only: no I/O, not
/// thread-safe.
class InterferenceControl final {
 public:
  /// Limits a task to `percent` of its processor time.
  struct Throttle {
    TaskId task;
    int percent = 100;
  };
  /// Stops a task on this host so that it can run on another one.
  struct Evict {
    TaskId task;
  };
  using Action = std::variant<Throttle, Evict>;

  /// The latency of the services on this host and the tasks that may be
  /// throttled.
  struct Observation {
    /// The highest ratio of tail latency to latency target over all services;
    /// above 1, a service misses its target.
    double latency_ratio = 0.0;
    /// Whether any service has ended a request recently. Without traffic the
    /// ratio is out of date, and nothing new is throttled.
    bool has_traffic = false;
    std::vector<TaskId> batch_tasks;
  };

  /// Evaluates the running experiment, then starts the next one or raises
  /// the speed of throttled tasks. Call every `kObservationInterval`.
  /// @returns the actions to carry out, in order; empty if nothing changes.
  std::vector<Action> Observe(const Observation& observation, Instant now);

  /// Milliseconds between two calls of `Observe`.
  static constexpr Duration kObservationInterval{500};
  static constexpr int kFullSpeedPercent = 100;
  /// Throttling does not go below this percentage.
  static constexpr int kMinSpeedPercent = 10;

 private:
  /// One task is throttled to see whether the latency ratio falls.
  struct Experiment {
    TaskId task;
    double latency_ratio_before = 0.0;
    Instant ends_at;
  };
  /// A running batch task and the results of its experiments.
  struct TrackedTask {
    int percent = kFullSpeedPercent;
    /// Sum of the relative latency reductions of its effective experiments;
    /// decays with each observation. 0 means that none was effective.
    double interference_score = 0.0;
    /// Since the last effective experiment or the last time that all services
    /// were well below their targets.
    int ineffective_experiments = 0;
    Instant first_seen_at;
  };

  /// Prefers the highest score, then the fewest ineffective experiments, then
  /// the latest arrival.
  /// @returns nothing where every task has used up its experiments.
  std::optional<TaskId> ChooseTaskToThrottle(
      const Observation& observation) const;
  void ConcludeExperiment(const Observation& observation,
                          std::vector<Action>& actions);
  void RaiseThrottledTasks(std::vector<Action>& actions);

  std::map<TaskId, TrackedTask> m_tracked_tasks;
  std::optional<Experiment> m_experiment;
  Instant m_next_eviction_at;
};

}  // namespace zinniacart
