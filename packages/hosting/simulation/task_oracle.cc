#include "hosting/simulation/task_oracle.h"

namespace zinniacart::simulation {

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
  if (m_recorded_failures[id.task] >= job.policy.max_attempts) {
    throw Violation(name + " started after its last attempt failed");
  }
  CheckDependencies(id.task);
  hosts.insert(host);
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
  }
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
