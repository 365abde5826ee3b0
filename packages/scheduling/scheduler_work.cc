#include <algorithm>
#include <chrono>

#include "scheduling/scheduler.h"

namespace zinniacart {
namespace {

/// @returns the core-seconds of the step's pending tasks.
double PendingWork(const StepTasks& tasks,
                   const StepSpec& step,
                   Duration expected) {
  const auto pending = std::count_if(
      tasks.tasks.begin(), tasks.tasks.end(),
      [](const Task& task) { return task.phase == TaskPhase::kPending; });
  return static_cast<double>(pending) * step.demand.cores() *
         std::chrono::duration<double>(expected).count();
}

}  // namespace

std::map<QueueId, QueueWork> Scheduler::SummarizeWork() const {
  std::map<std::pair<ServiceId, int>, WaitingWork> waiting;
  std::map<QueueId, QueueWork> summary;
  for (const Queue& queue : m_configuration.queues) {
    summary[queue.id] = QueueWork{};
  }
  for (const auto& [id, job] : m_jobs) {
    const QueuePolicy& policy = job->policy();
    if (job->active()) {
      const WaitingWork of_job = WaitingWorkOf(*job);
      WaitingWork& sum = waiting[{policy.service, policy.priority}];
      sum.all += of_job.all;
      sum.in_time += of_job.in_time;
    }
    const auto own = summary.find(job->record().queue);
    if (own != summary.end() && job->begun()) {
      auto& newest = own->second.newest_begun_age;
      const Duration age = m_clock.Now() - job->accepted();
      newest = std::min(newest.value_or(age), age);
    }
  }
  for (const Queue& queue : m_configuration.queues) {
    QueueWork& work = summary[queue.id];
    for (const auto& [group, sum] : waiting) {
      if (group.first == queue.policy.service &&
          group.second <= queue.policy.priority) {
        const bool own = group.second == queue.policy.priority;
        work.waiting_core_seconds += own ? sum.in_time : sum.all;
      }
    }
    for (const auto& [group, finished] : m_finished_work) {
      if (group.first == queue.policy.service &&
          group.second <= queue.policy.priority) {
        work.finished_core_seconds += finished;
      }
    }
  }
  return summary;
}

RunTimeEstimator Scheduler::QueueEstimate(const Job& job) const {
  return [this, queue = job.record().queue](const StepSpec& step) {
    return m_run_times.ExpectedRunTime(queue, step.estimate);
  };
}

Scheduler::WaitingWork Scheduler::WaitingWorkOf(const Job& job) const {
  WaitingWork waiting;
  const RunTimeEstimator estimate = QueueEstimate(job);
  const JobForecast forecast(job, m_run_times, Siblings(), m_clock.Now());
  for (const auto& [occurrence, steps] : job.occurrences().open()) {
    if (!IsDue(job, occurrence)) {
      continue;
    }
    for (std::uint32_t step = 0; step < steps.size(); ++step) {
      const StepSpec& declared = job.spec().steps[step];
      if (declared.perpetual || !job.Unblocked(occurrence, step)) {
        continue;
      }
      const double work =
          PendingWork(steps[step], declared, estimate(declared));
      const OrderTier tier =
          TierOf(forecast.InputsFor(occurrence, step, AgeOf(job, occurrence)));
      waiting.all += work;
      waiting.in_time += tier == OrderTier::kInTime ? work : 0;
    }
  }
  return waiting;
}

void Scheduler::FinishAndCount(Job& job, const TaskKey& task) {
  if (job.Find(task) == nullptr) {
    return;  // A duplicate run has ended after its occurrence was complete.
  }
  const StepSpec& step = job.spec().steps[task.step];
  const std::uint32_t done_before = job.At(task.occurrence, task.step).done;
  const double core_seconds =
      step.demand.cores() *
      std::chrono::duration<double>(QueueEstimate(job)(step)).count();
  job.Finish(task);
  // The occurrence is dropped with its last task.
  const std::uint32_t done = job.Find(task) == nullptr
                                 ? step.count
                                 : job.At(task.occurrence, task.step).done;
  m_finished_work[{job.policy().service, job.policy().priority}] +=
      core_seconds * (done - done_before);
}

}  // namespace zinniacart
