#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "ordering/stragglers.h"
#include "scheduling/placement.h"
#include "scheduling/scheduler.h"

namespace zinniacart {

void Scheduler::MitigateStragglers() {
  const Instant now = m_clock.Now();
  if (!m_settings.stragglers.enabled ||
      now - m_stragglers_checked_at < m_settings.stragglers.interval) {
    return;
  }
  m_stragglers_checked_at = now;
  std::vector<std::pair<TaskRun, HostId>> stragglers;
  for (const auto& [host_id, host] : m_hosts) {
    if (!host.reachable || host.runs.empty() || IsKnownToBeSound(host)) {
      continue;
    }
    for (const auto& [id, run] : host.runs) {
      if (IsStragglingRun(host, id, run)) {
        stragglers.emplace_back(id, host_id);
      }
    }
  }
  if (stragglers.empty()) {
    return;
  }
  PlacementIndex index = MakeIndex();
  for (const auto& [id, host] : stragglers) {
    Mitigate(id, m_hosts.at(host), index);
  }
}

bool Scheduler::IsKnownToBeSound(const Host& host) const {
  if (!host.health.speed()) {
    return false;
  }
  std::vector<double> others;
  for (const auto& [id, other] : m_hosts) {
    if (&other != &host && other.health.speed()) {
      others.push_back(*other.health.speed());
    }
  }
  const auto usual = MedianSpeed(std::move(others));
  return usual && *host.health.speed() >=
                      m_settings.stragglers.sound_host_speed * *usual;
}

bool Scheduler::IsStragglingRun(const Host& host,
                                const TaskRun& id,
                                const HostedRun& run) {
  Job* job = FindJob(id.task.job);
  if (m_step_times.Find(id.task.First()) == nullptr || job == nullptr ||
      !job->active() || run.stopping || !run.started ||
      MayHaveCrashed(host, run) || run.IsOnTrial(m_clock.Now())) {
    return false;
  }
  const StepSpec& step = job->spec().steps[id.task.step];
  const Task* task = job->Find(id.task);
  if (step.perpetual || step.gang || !(step.speculative || step.checkpoints) ||
      task == nullptr || task->phase != TaskPhase::kPlaced ||
      task->run != id.run || task->suspect() || m_copied.contains(id.task)) {
    return false;
  }
  const QueueId& queue = job->record().queue;
  const RunTimeEstimate usual = m_run_times.Estimate(queue, step.estimate);
  const double within = m_run_times.VarianceWithinStep(queue, usual);
  const StepObservation siblings = m_step_times.SiblingsOf(id.task);
  return IsStraggler(ProgressOfRun(run), siblings,
                     CombineWithSiblings(usual, within, &siblings), within,
                     m_settings.stragglers);
}

void Scheduler::Mitigate(const TaskRun& id, Host& host, PlacementIndex& index) {
  Job& job = *FindJob(id.task.job);
  const StepSpec& step = job.spec().steps[id.task.step];
  Task& task = *job.Find(id.task);
  task.failed_on.push_back(host.id());
  const auto target =
      ChooseHost(index, PlacementRequest{job, id.task, step, task, false});
  const bool copy = step.speculative;
  if (!target || *target == host.id() ||
      (copy && !MayCopy(job.policy().service, step))) {
    task.failed_on.pop_back();
    return;
  }
  HostedRun& run = host.runs.at(id);
  m_log({copy ? "run copied" : "run moved", id, host.id(),
         "it takes much longer than its siblings; to be placed at " +
             target->value()});
  if (!copy) {
    ++m_moved_stragglers;
    task.move_target = *target;
    return StopRun(job, id.task, host, run);
  }
  ++m_copied_stragglers;
  m_copied.insert_or_assign(id.task, std::make_pair(id.run, host.id()));
  job.Release(id.task, run.latest.checkpoint, false);
  Host& chosen = m_hosts.at(*target);
  PlaceTask(job, id.task, chosen);
  index.Refresh(chosen);
}

bool Scheduler::MayCopy(const ServiceId& service, const StepSpec& step) {
  std::int64_t capacity = 0;
  for (const auto& [id, host] : m_hosts) {
    if (host.facts && host.facts->service == service) {
      capacity += host.facts->capacity.millicores;
    }
  }
  std::int64_t copies = step.demand.millicores;
  for (const auto& [task, original] : m_copied) {
    const Job* job = FindJob(task.job);
    if (job != nullptr && job->policy().service == service) {
      copies += job->spec().steps[task.step].demand.millicores;
    }
  }
  return static_cast<double>(copies) <=
         m_settings.stragglers.max_share_of_copies *
             static_cast<double>(capacity);
}

void Scheduler::StopOriginal(const TaskKey& task, RunNumber finished) {
  const auto copied = m_copied.find(task);
  if (copied == m_copied.end()) {
    return;
  }
  const auto [run_number, host_id] = copied->second;
  m_copied.erase(copied);
  const auto host = m_hosts.find(host_id);
  if (host == m_hosts.end() || run_number == finished) {
    return;
  }
  const auto run = host->second.runs.find(TaskRun{task, run_number});
  if (run != host->second.runs.end()) {
    host->second.OrderStop(run->second);
  }
}

void Scheduler::StopOriginalsOf(const JobId& job) {
  for (auto copied = m_copied.lower_bound(TaskKey{job, 0, 0, 0});
       copied != m_copied.end() && copied->first.job == job;
       copied = m_copied.lower_bound(TaskKey{job, 0, 0, 0})) {
    StopOriginal(TaskKey(copied->first), RunNumber());
  }
}

}  // namespace zinniacart
