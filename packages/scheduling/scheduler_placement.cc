#include <algorithm>

#include "ordering/job_order.h"
#include "scheduling/job_forecast.h"
#include "scheduling/placement.h"
#include "scheduling/scheduler.h"

namespace zinniacart {
namespace {

/// Larger than every urgency, so that each priority level precedes the next one
/// whatever the urgencies.
constexpr double kPriorityWeight = 1e9;
/// Perpetual tasks are placed after finite ones, which free their capacity
/// again.
constexpr double kPerpetualUrgency = 1e8;
/// Slower tasks reveal too little about the interference they cause.
constexpr int kMinInitialPace = 25;

/// @returns whether a task of the occurrence was ever placed.
bool HasBegun(const OccurrenceTable::Steps& steps) {
  return std::any_of(steps.begin(), steps.end(), [](const StepTasks& step) {
    return std::any_of(
        step.tasks.begin(), step.tasks.end(),
        [](const Task& task) { return task.run != RunNumber(); });
  });
}

/// @returns the processors that a perpetual step asks for. After a power loss
/// all perpetual tasks are placed at once, on fewer hosts than before. The
/// largest go first; otherwise the small ones would fragment the capacity that
/// they need.
double SizeOf(const Job& job, std::uint32_t step) {
  const StepSpec& declared = job.spec().steps[step];
  return static_cast<double>(declared.count) *
         static_cast<double>(declared.demand.millicores);
}

}  // namespace

void Scheduler::Place() {
  for (auto& [id, job] : m_jobs) {
    if (job->active()) {
      OpenDueOccurrences(*job);
    }
  }
  ObserveHeadroom();
  const auto ready_steps = ReadySteps();
  if (ready_steps.empty()) {
    return;
  }
  PlacementIndex index = MakeIndex();
  for (const ReadyStep& ready : ready_steps) {
    if (ready.job->spec().steps[ready.step].gang) {
      PlaceGang(ready, index);
    } else {
      PlaceStep(ready, index);
    }
  }
  PreemptLateWork(ready_steps);
}

std::vector<Scheduler::ReadyStep> Scheduler::ReadySteps() {
  std::vector<ReadyStep> ready;
  for (auto& [id, job] : m_jobs) {
    if (job->active()) {
      CollectReadySteps(*job, ready);
    }
  }
  std::stable_sort(ready.begin(), ready.end(),
                   [](const ReadyStep& left, const ReadyStep& right) {
                     return left.urgency < right.urgency;
                   });
  return ready;
}

void Scheduler::OpenDueOccurrences(Job& job) {
  std::size_t not_begun = 0;
  for (const auto& [k, steps] : job.occurrences().open()) {
    not_begun += HasBegun(steps) ? 0 : 1;
  }
  for (; not_begun < m_settings.max_waiting_occurrences; ++not_begun) {
    const auto next = job.FirstUnopenedOccurrence();
    if (!next || !IsDue(job, *next)) {
      return;
    }
    job.OpenOccurrence(*next);
  }
}

void Scheduler::CollectReadySteps(Job& job, std::vector<ReadyStep>& ready) {
  std::optional<JobForecast> forecast;
  for (const auto& [k, steps] : job.occurrences().open()) {
    if (!IsDue(job, k)) {
      return;
    }
    for (std::uint32_t step = 0; step < steps.size(); ++step) {
      const auto& tasks = steps[step].tasks;
      const bool pending = std::any_of(
          tasks.begin(), tasks.end(),
          [](const Task& task) { return task.phase == TaskPhase::kPending; });
      if (!pending || !job.Unblocked(k, step)) {
        continue;
      }
      if (!forecast) {
        forecast.emplace(job, m_run_times, Siblings(), m_clock.Now());
      }
      ready.push_back(RankStep(job, k, step, *forecast));
      const StepSpec& declared = job.spec().steps[step];
      if (std::any_of(tasks.begin(), tasks.end(), [&](const Task& task) {
            return IsOverdue(job, declared, task);
          })) {
        ready.push_back(
            ReadyStep{&job, k, step, OverdueUrgencyOf(job, step), true});
      }
    }
  }
}

bool Scheduler::IsDue(const Job& job, std::uint32_t occurrence) const {
  const Schedule& schedule = job.spec().schedule;
  if (schedule.occurrences == 0) {
    return true;
  }
  const std::int64_t due =
      schedule.first_at_ms + schedule.interval.count() * occurrence;
  return WallClockMilliseconds() >= due + m_settings.occurrence_delay.count();
}

bool Scheduler::IsOverdue(const Job& job,
                          const StepSpec& step,
                          const Task& task) const {
  // A new owner does not know when the task last ran. It may have waited under
  // the previous one already.
  const Instant waits_since = std::max(job.accepted(), task.worked_until);
  return step.perpetual && task.phase == TaskPhase::kPending &&
         task.run != RunNumber() &&
         m_clock.Now() - waits_since > m_settings.max_perpetual_wait;
}

double Scheduler::OverdueUrgencyOf(const Job& job, std::uint32_t step) {
  return kPriorityWeight * job.policy().priority - SizeOf(job, step);
}

Scheduler::ReadyStep Scheduler::RankStep(Job& job,
                                         std::uint32_t occurrence,
                                         std::uint32_t step,
                                         const JobForecast& forecast) const {
  const double priority = kPriorityWeight * job.policy().priority;
  if (job.spec().steps[step].perpetual) {
    return {&job, occurrence, step,
            priority + kPerpetualUrgency - SizeOf(job, step), false};
  }
  const RankingInputs inputs =
      forecast.InputsFor(occurrence, step, AgeOf(job, occurrence));
  return {&job,  occurrence,
          step,  priority + RankOf(inputs, m_settings.order),
          false, TierOf(inputs)};
}

void Scheduler::ObserveHeadroom() {
  std::map<ServiceId, std::pair<std::int64_t, std::int64_t>> wanted_and_used;
  for (const auto& [id, job] : m_jobs) {
    if (!job->active()) {
      continue;
    }
    auto& [wanted, used] = wanted_and_used[job->policy().service];
    job->ForEachTask([&, &counted = *job](const TaskKey& key, Task& task) {
      const StepSpec& step = counted.spec().steps[key.step];
      if (step.perpetual || step.best_effort) {
        return;
      }
      const bool waits = task.phase == TaskPhase::kPending &&
                         IsDue(counted, key.occurrence) &&
                         counted.Unblocked(key.occurrence, key.step);
      wanted += task.placed() || waits ? step.demand.millicores : 0;
      used += task.placed() ? step.demand.millicores : 0;
    });
  }
  for (const auto& [service, sums] : wanted_and_used) {
    m_headroom[service].Observe(sums.first, sums.second, m_clock.Now());
  }
}

bool Scheduler::LeavesHeadroom(const PlacementIndex& index,
                               const Job& job,
                               const StepSpec& step) const {
  std::int64_t free = 0;
  std::int64_t fitting_tasks = 0;
  for (const HostCapacity& room : index.usable_hosts()) {
    if (room.host->facts->service == job.policy().service) {
      free += std::max<std::int64_t>(0, room.free.millicores);
      fitting_tasks +=
          step.demand.FitsIn(room.free) && step.demand.millicores > 0
              ? room.free.millicores / step.demand.millicores
              : 0;
    }
  }
  // While the free capacity fits the task twice, no reserve is held back from
  // it.
  if (fitting_tasks >= 2) {
    return true;
  }
  const auto headroom = m_headroom.find(job.policy().service);
  const std::int64_t reserve =
      headroom == m_headroom.end() ? 0 : headroom->second.Reserve();
  return free - step.demand.millicores >= reserve;
}

bool Scheduler::MayStartSlowed(const PlacementIndex& index,
                               const Job& job) const {
  if (m_clock.Now() - job.accepted() <= m_settings.max_wait_for_full_speed) {
    return false;
  }
  std::int64_t capacity = 0;
  std::int64_t free = 0;
  for (const HostCapacity& room : index.usable_hosts()) {
    if (room.host->facts->service == job.policy().service) {
      capacity += room.host->facts->capacity.millicores;
      free += std::max<std::int64_t>(0, room.free.millicores);
    }
  }
  return static_cast<double>(capacity - free) <
         m_settings.max_reserved_to_start_slowed *
             static_cast<double>(capacity);
}

bool Scheduler::MayTry(const PlacementIndex& index, const Job& job) const {
  std::size_t on_trial = 0;
  for (const HostCapacity& capacity : index.usable_hosts()) {
    if (capacity.trial_job == job.id()) {
      return true;
    }
    on_trial += capacity.trial_job ? 1 : 0;
  }
  const auto most = static_cast<std::size_t>(
      m_settings.max_hosts_on_trial *
      static_cast<double>(index.usable_hosts().size()));
  return on_trial < std::max<std::size_t>(1, most);
}

PlacementIndex Scheduler::MakeIndex() const {
  return PlacementIndex(m_hosts, m_drained_domains, m_interference,
                        m_clock.Now());
}

void Scheduler::PlaceStep(const ReadyStep& ready, PlacementIndex& index) {
  Job& job = *ready.job;
  const StepSpec& step = job.spec().steps[ready.step];
  StepTasks& tasks = job.At(ready.occurrence, ready.step);
  bool idle = std::none_of(tasks.tasks.begin(), tasks.tasks.end(),
                           [](const Task& task) { return task.placed(); });
  bool headroom = true;
  for (std::uint32_t number = 0; number < tasks.tasks.size(); ++number) {
    Task& task = tasks.tasks[number];
    if (task.phase != TaskPhase::kPending ||
        m_clock.Now() < task.backs_off_until ||
        (ready.overdue && !IsOverdue(job, step, task))) {
      continue;
    }
    // A task that is being moved already had its capacity.
    if (step.perpetual && !ready.overdue && task.move_target == HostId()) {
      headroom = headroom && LeavesHeadroom(index, job, step);
      if (!headroom) {
        continue;
      }
    }
    if (task.suspect() && !MayTry(index, job)) {
      continue;
    }
    const TaskKey key{job.id(), ready.occurrence, ready.step, number};
    const auto host =
        ChooseHost(index, PlacementRequest{job, key, step, task,
                                           idle && MayStartSlowed(index, job)});
    if (!host && task.suspect()) {
      continue;  // Other tasks of the step have more hosts to choose from.
    }
    if (!host) {
      return;
    }
    Host& chosen = m_hosts.at(*host);
    PlaceTask(job, key, chosen);
    index.Refresh(chosen);
    idle = false;
  }
}

void Scheduler::PlaceGang(const ReadyStep& ready, PlacementIndex& index) {
  Job& job = *ready.job;
  const StepTasks& tasks = job.At(ready.occurrence, ready.step);
  const Instant now = m_clock.Now();
  const bool may_start = std::all_of(
      tasks.tasks.begin(), tasks.tasks.end(), [now](const Task& task) {
        return task.phase == TaskPhase::kPending && now >= task.backs_off_until;
      });
  if (!may_start) {
    return;
  }
  const auto hosts = ChooseGangHosts(index, job, ready.occurrence, ready.step);
  if (!hosts) {
    return;
  }
  for (std::uint32_t number = 0; number < hosts->size(); ++number) {
    Host& host = m_hosts.at((*hosts)[number]);
    PlaceTask(job, TaskKey{job.id(), ready.occurrence, ready.step, number},
              host);
    index.Refresh(host);
  }
}

HostedRun Scheduler::MakeRun(const StepSpec& step) {
  HostedRun run;
  run.demand = step.demand;
  run.image = step.image;
  run.best_effort = step.best_effort;
  run.serves = step.serves();
  run.perpetual = step.perpetual;
  run.estimate = step.estimate;
  run.latency_target = step.latency_target;
  return run;
}

int Scheduler::InitialPace(const Host& host, const StepSpec& step) const {
  const double pressure = host.PredictSpareMarginUse(
      m_interference, step.image, step.demand.cores(), m_clock.Now());
  const int percent =
      pressure > 1 ? static_cast<int>(kFullSpeed / pressure) : kFullSpeed;
  return std::max(percent, kMinInitialPace);
}

void Scheduler::PlaceTask(Job& job, const TaskKey& key, Host& host) {
  const StepSpec& step = job.spec().steps[key.step];
  const RunNumber number =
      step.gang && job.At(key.occurrence, key.step).tasks[0].placed()
          ? job.At(key.occurrence, key.step).tasks[0].run
          : job.NextRun(key);
  Task& task = *job.Find(key);
  job.Place(key, number, Placement{host.id(), host.incarnation}, m_clock.Now());
  task.move_target = {};
  HostedRun run = MakeRun(step);
  run.estimate = ExpectedTime(job, key);
  run.incarnation = host.incarnation;
  run.job_version = job.version();
  if (step.best_effort) {
    run.wanted_percent = InitialPace(host, step);
    run.pace_pending = run.wanted_percent < kFullSpeed;
    run.never_slowed = !run.pace_pending;
  }
  run.order = StartOrder{TaskRun{key, number},
                         job.spec().payload,
                         step.checkpoints ? task.checkpoint : CheckpointId(),
                         {},
                         task.suspect()};
  if (task.suspect()) {
    run.trial_until = m_clock.Now() + m_settings.max_trial;
  }
  run.acquits_after = AcquittalOf(task);
  const Duration run_estimate = run.estimate;
  host.runs.emplace(TaskRun{key, number}, std::move(run));
  m_log({"run placed", TaskRun{key, number}, host.id(),
         std::to_string(step.demand.millicores) + " millicores" +
             (step.best_effort ? " best-effort" : "") + ", estimate " +
             std::to_string(run_estimate.count()) + " ms, declared " +
             std::to_string(step.estimate.count()) + " ms, age " +
             std::to_string((m_clock.Now() - job.accepted()).count()) + " ms"});
  MarkDirty(job);
}

}  // namespace zinniacart
