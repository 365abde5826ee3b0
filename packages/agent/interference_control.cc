#include "agent/interference_control.h"

#include <algorithm>

namespace zinniacart {
namespace {

constexpr double kHighPressure = 1.0;
constexpr double kLowPressure = 0.7;
/// An experiment helped where pressure fell to this share of what it was.
constexpr double kHelped = 0.85;
constexpr double kBlameDecay = 0.998;
constexpr int kRecoveryStep = 10;
/// A task that is to blame gets its speed back this much more slowly.
constexpr int kBlamedRecoveryStep = 1;
constexpr double kBlamed = 0.05;
constexpr Duration kExperimentTime{1'000};
/// An experiment divides a task's speed by this.
constexpr int kThrottleFactor = 4;
constexpr Duration kEvictionInterval{60'000};
/// Fruitless rounds over all tasks before one is evicted.
constexpr int kFruitlessBeforeEviction = 3;

}  // namespace

std::vector<InterferenceControl::Action> InterferenceControl::Observe(
    const Observation& observation,
    Instant now) {
  std::vector<Action> actions;
  const auto& running = observation.batch_tasks;
  std::erase_if(m_suspects, [&](const auto& row) {
    return std::find(running.begin(), running.end(), row.first) ==
           running.end();
  });
  for (const TaskId& task : running) {
    Suspect fresh;
    fresh.seen_at = now;
    m_suspects.try_emplace(task, fresh).first->second.blame *= kBlameDecay;
  }
  if (m_experiment && now >= m_experiment->ends) {
    Conclude(observation, actions);
  }
  if (m_experiment || !observation.has_traffic) {
    return actions;
  }
  if (observation.pressure < kLowPressure) {
    Recover(actions);
    return actions;
  }
  if (observation.pressure < kHighPressure) {
    return actions;
  }
  const auto task = NextSuspect(observation);
  if (!task) {
    return actions;
  }
  Suspect& suspect = m_suspects[*task];
  const bool at_floor = suspect.percent <= kFloor;
  if (at_floor) {
    const bool evict = suspect.blame > 0.0 && now >= m_evict_not_before;
    if (evict) {
      m_evict_not_before = now + kEvictionInterval;
      actions.push_back(Evict{*task});
    }
    return actions;
  }
  suspect.percent = std::max(kFloor, suspect.percent / kThrottleFactor);
  m_experiment = Experiment{*task, observation.pressure, now + kExperimentTime};
  actions.push_back(Throttle{*task, suspect.percent});
  return actions;
}

std::optional<TaskId> InterferenceControl::NextSuspect(
    const Observation& observation) const {
  std::optional<TaskId> best;
  for (const TaskId& task : observation.batch_tasks) {
    const Suspect& candidate = m_suspects.at(task);
    if (candidate.fruitless >= kFruitlessBeforeEviction) {
      continue;
    }
    if (!best) {
      best = task;
      continue;
    }
    const Suspect& current = m_suspects.at(*best);
    const bool more_blame = candidate.blame > current.blame;
    const bool as_much_blame = candidate.blame == current.blame;
    const bool less_tried =
        as_much_blame && candidate.fruitless < current.fruitless;
    // What came last has most likely brought the pressure.
    const bool newer = as_much_blame &&
                       candidate.fruitless == current.fruitless &&
                       candidate.seen_at > current.seen_at;
    if (more_blame || less_tried || newer) {
      best = task;
    }
  }
  return best;
}

void InterferenceControl::Conclude(const Observation& observation,
                                   std::vector<Action>& actions) {
  const Experiment experiment = *m_experiment;
  m_experiment.reset();
  const auto found = m_suspects.find(experiment.task);
  if (found == m_suspects.end()) {
    return;
  }
  Suspect& suspect = found->second;
  const bool helped =
      observation.pressure <= experiment.pressure_before * kHelped;
  if (helped) {
    suspect.blame += 1.0 - observation.pressure / experiment.pressure_before;
    suspect.fruitless = 0;
    return;
  }
  ++suspect.fruitless;
  if (suspect.blame == 0.0) {
    suspect.percent = kFullSpeed;
    actions.push_back(Throttle{experiment.task, kFullSpeed});
  }
}

void InterferenceControl::Recover(std::vector<Action>& actions) {
  for (auto& [task, suspect] : m_suspects) {
    suspect.fruitless = 0;
    if (suspect.percent < kFullSpeed) {
      const int step =
          suspect.blame > kBlamed ? kBlamedRecoveryStep : kRecoveryStep;
      suspect.percent = std::min(kFullSpeed, suspect.percent + step);
      actions.push_back(Throttle{task, suspect.percent});
    }
  }
}

}  // namespace zinniacart
