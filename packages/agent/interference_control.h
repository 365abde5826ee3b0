#pragma once

#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"

namespace zinniacart {

/// Keeps services on one host fast beside batch work. The agent sees each
/// request, so it knows at once when a service's tail passes its target.
///
/// Then one batch task at a time is throttled and the answer watched: where
/// the tail falls, that task is the cause and stays throttled, giving way
/// step by step; where not, it gets its speed back and the next is tried.
/// A task is evicted only when throttling it to the floor has not helped and
/// the eviction budget allows it. Decision code only; no I/O.
class InterferenceControl final {
 public:
  /// Limits a task to a share of its processors.
  struct Throttle {
    TaskId task;
    int percent = 100;
  };
  /// Moves a task away.
  struct Evict {
    TaskId task;
  };
  using Action = std::variant<Throttle, Evict>;

  /// How the host's services fare.
  struct Observation {
    /// The worst tail over its target; 1 is on target.
    double pressure = 0.0;
    bool has_traffic = false;
    std::vector<TaskId> batch_tasks;
  };

  /// Takes an observation and decides. Call every `kInterval`.
  std::vector<Action> Observe(const Observation& observation, Instant now);

  static constexpr Duration kInterval{500};
  static constexpr int kFullSpeed = 100;
  static constexpr int kFloor = 10;

 private:
  struct Experiment {
    TaskId task;
    double pressure_before = 0.0;
    Instant ends;
  };
  struct Suspect {
    int percent = kFullSpeed;
    /// How much throttling it has helped, decaying.
    double blame = 0.0;
    int fruitless = 0;
    Instant seen_at;
  };

  std::optional<TaskId> NextSuspect(const Observation& observation) const;
  void Conclude(const Observation& observation, std::vector<Action>& actions);
  void Recover(std::vector<Action>& actions);

  std::map<TaskId, Suspect> m_suspects;
  std::optional<Experiment> m_experiment;
  Instant m_evict_not_before;
};

}  // namespace zinniacart
