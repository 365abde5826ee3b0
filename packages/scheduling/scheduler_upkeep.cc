#include <algorithm>
#include <set>

#include "scheduling/placement.h"
#include "scheduling/scheduler.h"

namespace zinniacart {
namespace {

/// Progress that a perpetual task reports once it is ready.
constexpr int kReadyPercent = 100;
constexpr double kPercent = 100.0;
constexpr double kMillisecondsPerSecond = 1000.0;
/// Seconds of work that the end of a perpetual task counts for: its callers
/// wait while it starts elsewhere, so hosts without such tasks go first.
constexpr double kPerpetualLoss = 60.0;

/// @returns how many tasks of the step may be away at the same time; nothing if
/// it does not limit them. A perpetual step that declares no budget loses one
/// task at a time.
std::optional<std::uint32_t> BudgetOf(const StepSpec& step) {
  if (step.disruption_budget > 0) {
    return step.disruption_budget;
  }
  return step.perpetual ? std::optional<std::uint32_t>(1) : std::nullopt;
}

/// @returns how long the run is expected to work on.
Duration TimeLeft(const HostedRun& run) {
  const double left = (kPercent - run.latest.progress_percent) / kPercent;
  return Duration(static_cast<std::int64_t>(
      static_cast<double>(run.estimate.count()) * std::clamp(left, 0.0, 1.0)));
}

/// @returns the core-seconds of the run that would have to be done again.
double LossOf(const HostedRun& run, bool checkpoints, Instant now) {
  if (run.perpetual) {
    return kPerpetualLoss * run.demand.cores();
  }
  if (!run.started || checkpoints) {
    return 0;
  }
  return run.demand.cores() *
         static_cast<double>((now - run.started_at).count()) /
         kMillisecondsPerSecond;
}

}  // namespace

void Scheduler::SetUpkeep(const std::map<HostId, HostUpkeep>& hosts) {
  for (auto& [id, host] : m_hosts) {
    const auto found = hosts.find(id);
    const HostUpkeep upkeep =
        found == hosts.end() ? HostUpkeep::kNone : found->second;
    if (host.upkeep != upkeep) {
      host.upkeep = upkeep;
      m_log({upkeep == HostUpkeep::kNone       ? "host back in use"
             : upkeep == HostUpkeep::kEmptying ? "host is emptied"
                                               : "host awaits its upkeep",
             {},
             id,
             std::to_string(host.runs.size()) + " runs"});
    }
  }
}

bool Scheduler::HasUpkeep() const {
  return std::any_of(m_hosts.begin(), m_hosts.end(), [](const auto& entry) {
    return entry.second.upkeep != HostUpkeep::kNone;
  });
}

bool Scheduler::IsAtWork(const TaskKey& key,
                         const Task& task,
                         const HostId& host) const {
  const auto found = m_hosts.find(task.placement.host);
  if (task.phase != TaskPhase::kPlaced || found == m_hosts.end()) {
    return false;
  }
  const Host& at = found->second;
  const auto run = at.runs.find(TaskRun{key, task.run});
  if (run == at.runs.end() || !run->second.started || run->second.stopping) {
    return false;
  }
  const bool ready = !run->second.perpetual ||
                     run->second.latest.progress_percent >= kReadyPercent;
  const bool reported = at.reachable && m_clock.Now() - at.last_report_at <=
                                            m_settings.at_work_notice;
  return ready && reported &&
         (at.upkeep != HostUpkeep::kOrdered || at.id() == host);
}

bool Scheduler::MayWorkOn(const TaskKey& key,
                          const Task& task,
                          const Host& host) const {
  const auto run = host.runs.find(TaskRun{key, task.run});
  return run != host.runs.end() && !run->second.stopping &&
         (run->second.ordered || run->second.recovered || run->second.started);
}

Scheduler::StepPresence Scheduler::PresenceOf(const TaskKey& step,
                                              const HostId& host) const {
  StepPresence presence;
  const auto& tasks = m_jobs.at(step.job)->At(step.occurrence, step.step).tasks;
  for (std::uint32_t index = 0; index < tasks.size(); ++index) {
    const Task& task = tasks[index];
    TaskKey key = step;
    key.index = index;
    if (task.phase == TaskPhase::kDone) {
      continue;
    }
    // Without a report, tasks elsewhere count as away, and those here as at
    // work.
    const bool here = MayWorkOn(key, task, m_hosts.at(host));
    const bool sure = IsAtWork(key, task, host);
    presence.here += here ? 1U : 0U;
    presence.unsure_here += here && !sure ? 1U : 0U;
    presence.away += !here && !sure ? 1U : 0U;
  }
  return presence;
}

HostWork Scheduler::WorkOn(const HostId& id) const {
  const Host& host = m_hosts.at(id);
  HostWork work;
  work.empty = host.runs.empty() && host.orphans.empty();
  std::set<TaskKey> steps;
  for (const auto& [run_id, run] : host.runs) {
    const auto job = m_jobs.find(run_id.task.job);
    if (job == m_jobs.end() || !job->second->active()) {
      continue;
    }
    const StepSpec& step = job->second->spec().steps[run_id.task.step];
    work.loss += LossOf(run, step.checkpoints, m_clock.Now());
    if (BudgetOf(step) && job->second->Find(run_id.task) != nullptr) {
      steps.insert(run_id.task.First());
    }
  }
  for (const TaskKey& key : steps) {
    const StepSpec& step = m_jobs.at(key.job)->spec().steps[key.step];
    const StepPresence presence = PresenceOf(key, id);
    // The end of one member of a gang ends all of them.
    const std::uint32_t ended =
        step.gang && presence.here > 0 ? step.count : presence.here;
    work.may_end = work.may_end && (presence.here == 0 ||
                                    presence.away + ended <= *BudgetOf(step));
  }
  return work;
}

bool Scheduler::MayMove(const TaskRun& id, const Host& host) const {
  const StepSpec& step = m_jobs.at(id.task.job)->spec().steps[id.task.step];
  const auto budget = BudgetOf(step);
  if (!budget) {
    return true;
  }
  const StepPresence presence = PresenceOf(id.task.First(), host.id());
  const std::uint32_t away = presence.away + presence.unsure_here;
  return step.perpetual ? away == 0 : away < *budget;
}

bool Scheduler::WithinBudget(const TaskRun& id, const Host& host) const {
  Job& job = *m_jobs.at(id.task.job);
  const StepSpec& step = job.spec().steps[id.task.step];
  if (step.disruption_budget == 0 || job.Find(id.task) == nullptr) {
    return true;
  }
  const StepPresence presence = PresenceOf(id.task.First(), host.id());
  return presence.away + presence.unsure_here < step.disruption_budget;
}

void Scheduler::EmptyHosts(const std::map<HostId, Duration>& spare) {
  const PlacementIndex index = MakeIndex();
  ReservedCapacity reserved;
  // Tasks that are on their way have to be placed first.
  for (const auto& [id, host] : m_hosts) {
    for (const auto& [run_id, run] : host.runs) {
      const auto job = m_jobs.find(run_id.task.job);
      if (!run.stopping || job == m_jobs.end() || !job->second->active()) {
        continue;
      }
      const Task* task = job->second->Find(run_id.task);
      if (task == nullptr || task->run != run_id.run) {
        continue;
      }
      const PlacementRequest request{
          *job->second, run_id.task,
          job->second->spec().steps[run_id.task.step], *task};
      if (const auto to = ChooseHost(index, request, reserved)) {
        reserved[*to] += run.ReservedDemand();
      }
    }
  }
  for (auto& [id, host] : m_hosts) {
    const auto found = spare.find(id);
    if (host.upkeep != HostUpkeep::kEmptying || found == spare.end()) {
      continue;
    }
    for (auto& [run_id, run] : host.runs) {
      MoveOffHost(host, run_id, run, found->second, index, reserved);
    }
  }
}

void Scheduler::MoveOffHost(Host& host,
                            const TaskRun& id,
                            HostedRun& run,
                            Duration spare,
                            const PlacementIndex& index,
                            ReservedCapacity& reserved) {
  Job* job = FindJob(id.task.job);
  if (job == nullptr || !job->active() || !run.started || run.stopping) {
    return;
  }
  const StepSpec& step = job->spec().steps[id.task.step];
  Task* task = job->Find(id.task);
  if (task == nullptr || task->run != id.run || step.gang ||
      (!run.perpetual && (!step.checkpoints || TimeLeft(run) <= spare)) ||
      !MayMove(id, host)) {
    return;
  }
  const auto to =
      ChooseHost(index, PlacementRequest{*job, id.task, step, *task}, reserved);
  if (!to) {
    return;
  }
  reserved[*to] += run.ReservedDemand();
  if (run.perpetual) {
    task->move_target = *to;
  }
  m_log({"run moved", id, host.id(),
         "the host is emptied for its upkeep; room at " + to->value()});
  StopRun(*job, id.task, host, run);
}

}  // namespace zinniacart
