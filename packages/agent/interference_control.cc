#include "agent/interference_control.h"

#include <algorithm>

namespace zinniacart {
namespace {

/// Tasks are throttled from this latency ratio on.
constexpr double kHighLatencyRatio = 1.0;
/// Throttled tasks regain speed below this latency ratio.
constexpr double kLowLatencyRatio = 0.7;
/// An experiment is effective where the latency ratio falls to this share of
/// its value before or lower.
constexpr double kEffectiveLatencyShare = 0.85;
/// The interference score is multiplied by this at each observation.
constexpr double kScoreDecay = 0.998;
/// Percentage points of speed that a throttled task regains per observation.
constexpr int kRecoveryStepPercent = 10;
/// The same for a task whose score is above `kSlowRecoveryScore`: at a higher
/// speed it would probably interfere again.
constexpr int kSlowRecoveryStepPercent = 1;
constexpr double kSlowRecoveryScore = 0.05;
/// Milliseconds from throttling a task to the comparison of latency ratios.
constexpr Duration kExperimentDuration{1'000};
/// An experiment divides the task's speed by this.
constexpr int kThrottleDivisor = 4;
/// Milliseconds between two evictions on a host.
constexpr Duration kMinEvictionInterval{60'000};
/// A task with this many ineffective experiments is not tried again, nor
/// evicted, until its count is reset.
constexpr int kMaxIneffectiveExperiments = 3;

}  // namespace

std::vector<InterferenceControl::Action> InterferenceControl::Observe(
    const Observation& observation,
    Instant now) {
  std::vector<Action> actions;
  const auto& running = observation.batch_tasks;
  std::erase_if(m_tracked_tasks, [&](const auto& item) {
    return std::find(running.begin(), running.end(), item.first) ==
           running.end();
  });
  for (const TaskId& task : running) {
    TrackedTask added;
    added.first_seen_at = now;
    m_tracked_tasks.try_emplace(task, added).first->second.interference_score *=
        kScoreDecay;
  }
  if (m_experiment && now >= m_experiment->ends_at) {
    ConcludeExperiment(observation, actions);
  }
  if (m_experiment || !observation.has_traffic) {
    return actions;
  }
  if (observation.latency_ratio < kLowLatencyRatio) {
    RaiseThrottledTasks(actions);
    return actions;
  }
  if (observation.latency_ratio < kHighLatencyRatio) {
    return actions;
  }
  const auto task = ChooseTaskToThrottle(observation);
  if (!task) {
    return actions;
  }
  TrackedTask& tracked = m_tracked_tasks[*task];
  const bool at_min_speed = tracked.percent <= kMinSpeedPercent;
  if (at_min_speed) {
    const bool evict =
        tracked.interference_score > 0.0 && now >= m_next_eviction_at;
    if (evict) {
      m_next_eviction_at = now + kMinEvictionInterval;
      actions.push_back(Evict{*task});
    }
    return actions;
  }
  tracked.percent =
      std::max(kMinSpeedPercent, tracked.percent / kThrottleDivisor);
  m_experiment =
      Experiment{*task, observation.latency_ratio, now + kExperimentDuration};
  actions.push_back(Throttle{*task, tracked.percent});
  return actions;
}

std::optional<TaskId> InterferenceControl::ChooseTaskToThrottle(
    const Observation& observation) const {
  std::optional<TaskId> best;
  for (const TaskId& task : observation.batch_tasks) {
    const TrackedTask& candidate = m_tracked_tasks.at(task);
    if (candidate.ineffective_experiments >= kMaxIneffectiveExperiments) {
      continue;
    }
    if (!best) {
      best = task;
      continue;
    }
    const TrackedTask& current = m_tracked_tasks.at(*best);
    const bool higher_score =
        candidate.interference_score > current.interference_score;
    const bool equal_score =
        candidate.interference_score == current.interference_score;
    const bool fewer_ineffective =
        equal_score &&
        candidate.ineffective_experiments < current.ineffective_experiments;
    // The task that started last is the most likely cause of a new rise.
    const bool newer =
        equal_score &&
        candidate.ineffective_experiments == current.ineffective_experiments &&
        candidate.first_seen_at > current.first_seen_at;
    if (higher_score || fewer_ineffective || newer) {
      best = task;
    }
  }
  return best;
}

void InterferenceControl::ConcludeExperiment(const Observation& observation,
                                             std::vector<Action>& actions) {
  const Experiment experiment = *m_experiment;
  m_experiment.reset();
  const auto found = m_tracked_tasks.find(experiment.task);
  if (found == m_tracked_tasks.end()) {
    return;
  }
  TrackedTask& tracked = found->second;
  const bool effective =
      observation.latency_ratio <=
      experiment.latency_ratio_before * kEffectiveLatencyShare;
  if (effective) {
    tracked.interference_score +=
        1.0 - observation.latency_ratio / experiment.latency_ratio_before;
    tracked.ineffective_experiments = 0;
    return;
  }
  ++tracked.ineffective_experiments;
  if (tracked.interference_score == 0.0) {
    tracked.percent = kFullSpeedPercent;
    actions.push_back(Throttle{experiment.task, kFullSpeedPercent});
  }
}

void InterferenceControl::RaiseThrottledTasks(std::vector<Action>& actions) {
  for (auto& [task, tracked] : m_tracked_tasks) {
    tracked.ineffective_experiments = 0;
    if (tracked.percent < kFullSpeedPercent) {
      const int step = tracked.interference_score > kSlowRecoveryScore
                           ? kSlowRecoveryStepPercent
                           : kRecoveryStepPercent;
      tracked.percent = std::min(kFullSpeedPercent, tracked.percent + step);
      actions.push_back(Throttle{task, tracked.percent});
    }
  }
}

}  // namespace zinniacart
