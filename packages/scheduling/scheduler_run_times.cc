#include <algorithm>

#include "ordering/run_time_record.h"
#include "scheduling/scheduler.h"

namespace zinniacart {
namespace {

/// @returns whether the run time of the run is known from its start.
bool FromBeginning(const HostedRun& run) {
  return run.started && !run.recovered && run.start_deliveries == 1 &&
         run.order.resume_from == CheckpointId();
}

/// @returns whether its run time tells that of other tasks.
bool IsRepresentative(const HostedRun& run) {
  return FromBeginning(run) && run.never_slowed && !run.perpetual;
}

}  // namespace

Result<void> Scheduler::RestoreRunTimes(const std::string& bytes) {
  return zinniacart::RestoreRunTimes(bytes, m_run_times);
}

const StepRunTimes* Scheduler::Siblings() const {
  return m_settings.sibling_run_times ? &m_step_times : nullptr;
}

Duration Scheduler::ExpectedTime(const Job& job, const TaskKey& task) const {
  const Duration declared = job.spec().steps[task.step].estimate;
  return declared.count() <= 0
             ? declared
             : EstimateStep(job, task.First(), m_run_times, Siblings())
                   .Median();
}

Duration Scheduler::AgeOf(const Job& job, std::uint32_t occurrence) const {
  const Schedule& schedule = job.spec().schedule;
  const Duration since_accepted = m_clock.Now() - job.accepted();
  if (schedule.occurrences == 0) {
    return since_accepted;
  }
  const std::int64_t due =
      schedule.first_at_ms + schedule.interval.count() * occurrence;
  return std::clamp(Duration(WallClockMilliseconds() - due), Duration(0),
                    std::max(Duration(0), since_accepted));
}

void Scheduler::ObserveProgress(const HostedRun& run) {
  const TaskRun& id = run.latest.id;
  Job* job = FindJob(id.task.job);
  if (job == nullptr || !job->active() || run.perpetual || run.stopping ||
      !job->Has(id.task) || job->occurrences().IsComplete(id.task.occurrence)) {
    return;
  }
  const Duration declared = job->spec().steps[id.task.step].estimate;
  m_step_times.OnRunning(id.task, ProgressOfRun(run), declared, run.estimate,
                         m_clock.Now());
}

TaskProgress Scheduler::ProgressOfRun(const HostedRun& run) const {
  return {m_clock.Now() - run.began_at, run.latest.progress_percent,
          FromBeginning(run), IsRepresentative(run)};
}

void Scheduler::LearnRunTime(const Job& job, const HostedRun& run) {
  const TaskKey& task = run.order.id.task;
  if (!IsRepresentative(run) || task.job != job.id()) {
    return;
  }
  const Duration declared = job.spec().steps[task.step].estimate;
  const Duration taken = m_clock.Now() - run.began_at;
  const QueueId& queue = job.record().queue;
  m_run_times.Learn(queue, declared, taken);
  const auto deviation = m_step_times.OnFinished(task, taken, declared);
  if (deviation) {
    m_run_times.LearnDeviation(queue, *deviation);
  }
}

void Scheduler::LogOrder() {
  m_log({"order of work",
         {},
         {},
         std::to_string(m_preempted_runs) + " runs preempted, " +
             std::to_string(m_copied_stragglers) + " stragglers copied, " +
             std::to_string(m_moved_stragglers) + " moved so far; " +
             std::to_string(m_copied.size()) + " copies, " +
             std::to_string(m_step_times.size()) + " steps with known tasks, " +
             m_run_times.Describe()});
}

}  // namespace zinniacart
