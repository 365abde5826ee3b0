#include "hosting/simulation/task_oracle.h"

#include <algorithm>

namespace zinniacart::simulation {
namespace {

/// After this many crashes a task may be started only a few times more by
/// agents that are in touch: while agents and the store fail, not every crash
/// is seen at once.
constexpr int kCrashesOfGuilty = 3;
constexpr int kStartsTooMany = 3;
/// A task under which this many workers have crashed may be given up.
constexpr int kLostWorkersOfGuilty = 2;

}  // namespace

void TaskOracle::OnStarted(const TaskRun& id, const HostId& host) {
  ++m_starts;
  const std::string name = id.task.ToString() + " run " +
                           std::to_string(id.run.value()) + " at " +
                           host.value();
  const JobRecord& job = m_jobs.at(id.task.job);
  const StepSpec& step = job.spec.steps.at(id.task.step);
  auto& hosts = m_running[id.task];
  if (!hosts.empty() && !step.speculative) {
    throw Violation(name + " started while it runs on " +
                    hosts.begin()->value());
  }
  if (m_recorded_done.contains(id.task) && !step.perpetual) {
    throw Violation(name + " started after its end was recorded");
  }
  if (m_recorded_failures[id.task] >= job.policy.max_attempts &&
      !step.perpetual) {
    throw Violation(name + " started after its last attempt failed");
  }
  if (m_crashes[id.task] >= kCrashesOfGuilty && m_in_touch(host) &&
      ++m_starts_after_crashes[id.task] >= kStartsTooMany) {
    throw Violation(name + " started again and again after it has crashed " +
                    std::to_string(m_crashes[id.task]) + " workers");
  }
  CheckDependencies(id.task);
  hosts.insert(host);
}

void TaskOracle::CheckCapacity(const std::vector<TaskKey>& tasks,
                               const HostId& host,
                               std::int64_t millicores,
                               Instant settled_at) const {
  std::int64_t used = 0;
  for (const TaskKey& task : tasks) {
    used += StepOf(task).best_effort ? 0 : StepOf(task).demand.millicores;
  }
  if (used > millicores && m_clock.Now() > settled_at && m_in_touch(host)) {
    throw Violation(tasks.front().ToString() + " started at " + host.value() +
                    " brings it to " + std::to_string(used) + " of " +
                    std::to_string(millicores) + " millicores");
  }
}

void TaskOracle::CheckDependencies(const TaskKey& task) const {
  const JobSpec& spec = m_jobs.at(task.job).spec;
  for (const std::uint32_t earlier : spec.steps.at(task.step).after) {
    for (std::uint32_t index = 0; index < spec.steps.at(earlier).count;
         ++index) {
      if (!m_done.contains(
              TaskKey{task.job, task.occurrence, earlier, index})) {
        throw Violation(task.ToString() + " started before step " +
                        std::to_string(earlier) + " was done");
      }
    }
  }
}

void TaskOracle::OnEnded(const TaskRun& id, const HostId& host, EndKind how) {
  m_running[id.task].erase(host);
  if (how == EndKind::kDone) {
    m_done.insert(id.task);
  } else if (how == EndKind::kFailed) {
    m_failed.insert(id.task.job);
  }
}

bool TaskOracle::IsRunning(const TaskKey& task) const {
  const auto running = m_running.find(task);
  return running != m_running.end() && !running->second.empty();
}

void TaskOracle::OnCrashed(const TaskRun& id, bool guilty) {
  ++m_lost_workers[id.task];
  m_crashes[id.task] += guilty ? 1 : 0;
}

bool TaskOracle::MayBeGivenUp(const JobId& job) const {
  return m_failed.contains(job) ||
         std::any_of(m_lost_workers.begin(), m_lost_workers.end(),
                     [&job](const auto& entry) {
                       return entry.first.job == job &&
                              entry.second >= kLostWorkersOfGuilty;
                     });
}

void TaskOracle::OnEndRecorded(const TaskRun& id, EndKind how) {
  if (how == EndKind::kDone) {
    m_recorded_done.insert(id.task);
  } else if (how == EndKind::kFailed) {
    ++m_recorded_failures[id.task];
  }
}

bool TaskOracle::AllTasksDone(const JobId& job) const {
  const JobSpec& spec = m_jobs.at(job).spec;
  for (std::uint32_t step = 0; step < spec.steps.size(); ++step) {
    for (std::uint32_t index = 0; index < spec.steps[step].count; ++index) {
      if (!m_done.contains(TaskKey{job, 0, step, index})) {
        return false;
      }
    }
  }
  return true;
}

}  // namespace zinniacart::simulation
