#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "ordering/preemption.h"
#include "scheduling/scheduler.h"

namespace zinniacart {
namespace {

constexpr double kPercent = 100.0;

/// @returns the work done since the last checkpoint, in core-seconds.
double UnsavedWork(const HostedRun& run) {
  const int unsaved = run.latest.progress_percent - run.saved_percent;
  return std::max(0, unsaved) / kPercent * run.demand.cores() *
         std::chrono::duration<double>(run.estimate).count();
}

const char* ToString(OrderTier tier) {
  return tier == OrderTier::kLater ? "later than three objectives"
                                   : "within three objectives";
}

/// Adds what the end of the run releases to `room`.
void AddReleased(const HostedRun& run, PreemptionHost& room) {
  room.free += run.ReservedDemand();
  room.idle_millicores +=
      run.best_effort ? run.demand.millicores * run.wanted_percent / kFullSpeed
                      : run.demand.millicores;
}

/// @returns the host as it is once the stops that are ordered have taken
/// effect.
Host AfterStops(const Host& host) {
  Host after = host;
  std::erase_if(after.runs,
                [](const auto& entry) { return entry.second.stopping; });
  return after;
}

}  // namespace

/// The hosts of one service as they would be after the stops that were chosen
/// so far, and the tasks that wait for them.
struct Scheduler::PreemptionRound {
  /// A pending task that stands for all those of its step.
  struct Waiting {
    const ReadyStep* step;
    std::uint32_t index;
  };
  std::vector<WaitingDemand> demands;
  std::vector<Waiting> waiting;  ///< One for each of `demands`.
  std::vector<PreemptionHost> hosts;
  std::vector<HostId> ids;                 ///< One for each of `hosts`.
  std::vector<std::vector<TaskRun>> runs;  ///< By host and candidate.
  std::map<std::size_t, Host> after;       ///< By host, where it has changed.
};

void Scheduler::PreemptLateWork(const std::vector<ReadyStep>& ready_steps) {
  const Instant now = m_clock.Now();
  if (!m_settings.preempt_late_work ||
      now - m_preempted_at < m_settings.preemption_interval) {
    return;
  }
  std::map<ServiceId, PreemptionRound> rounds;
  for (const ReadyStep& ready : ready_steps) {
    AddWaiting(ready, rounds[ready.job->policy().service]);
  }
  for (auto& entry : rounds) {
    PreemptionRound& round = entry.second;
    if (round.demands.empty()) {
      continue;
    }
    m_preempted_at = now;
    AddCandidates(entry.first, round);
    const auto chosen = ChoosePreemptions(
        round.demands, round.hosts, [&](const Preemption& proposed) {
          return AcceptsAfterPreemption(round, proposed);
        });
    for (const Preemption& preemption : chosen) {
      Preempt(round, preemption);
    }
  }
}

void Scheduler::AddWaiting(const ReadyStep& ready,
                           PreemptionRound& round) const {
  const StepSpec& step = ready.job->spec().steps[ready.step];
  if (ready.tier != OrderTier::kInTime || ready.overdue || step.gang) {
    return;
  }
  const auto& tasks = ready.job->At(ready.occurrence, ready.step).tasks;
  WaitingDemand demand{ready.job->policy().priority, 0, step.demand,
                       step.best_effort};
  std::uint32_t first = 0;
  for (std::uint32_t index = 0; index < tasks.size(); ++index) {
    const Task& task = tasks[index];
    if (task.phase == TaskPhase::kPending && !task.suspect() &&
        m_clock.Now() >= task.backs_off_until) {
      first = demand.tasks == 0 ? index : first;
      ++demand.tasks;
    }
  }
  if (demand.tasks > 0) {
    round.demands.push_back(demand);
    round.waiting.push_back({&ready, first});
  }
}

bool Scheduler::IsPreemptible(Job* job,
                              const TaskRun& id,
                              const HostedRun& run) const {
  if (job == nullptr || !job->active() || !run.started || run.stopping ||
      run.recovered || run.perpetual ||
      m_clock.Now() - run.started_at < m_settings.min_run_before_preemption) {
    return false;
  }
  const StepSpec& step = job->spec().steps[id.task.step];
  const Task* task = job->Find(id.task);
  return step.checkpoints && !step.gang && task != nullptr &&
         task->phase == TaskPhase::kPlaced && task->run == id.run &&
         !task->suspect() && !run.IsOnTrial(m_clock.Now());
}

void Scheduler::AddCandidates(const ServiceId& service,
                              PreemptionRound& round) {
  std::map<std::pair<const Job*, std::uint32_t>, OrderTier> tiers;
  const auto tier_of = [&](const Job& job, const TaskKey& task) {
    const auto [known, added] =
        tiers.try_emplace({&job, task.occurrence}, OrderTier::kInTime);
    if (added) {
      const JobForecast forecast(job, m_run_times, Siblings(), m_clock.Now());
      known->second = TierOf(forecast.InputsFor(task.occurrence, task.step,
                                                AgeOf(job, task.occurrence)));
    }
    return known->second;
  };
  for (const auto& [host_id, host] : m_hosts) {
    if (!host.IsSchedulable(m_clock.Now()) || host.facts->service != service ||
        m_drained_domains.contains(host.facts->domain)) {
      continue;
    }
    PreemptionHost entry;
    std::vector<TaskRun> ids;
    PreemptionHost stopping;
    bool stops = false;
    Job* job = nullptr;
    for (const auto& [id, run] : host.runs) {
      if (run.stopping) {
        stops = true;
        AddReleased(run, stopping);
        continue;
      }
      if (job == nullptr || job->id() != id.task.job) {
        job = FindJob(id.task.job);
      }
      if (!IsPreemptible(job, id, run)) {
        continue;
      }
      const OrderTier tier = tier_of(*job, id.task);
      if (tier != OrderTier::kInTime) {
        entry.candidates.push_back({job->policy().priority, tier, run.demand,
                                    run.best_effort, UnsavedWork(run)});
        ids.push_back(id);
      }
    }
    if (entry.candidates.empty() && !stops) {
      continue;
    }
    entry.free = host.Free() + stopping.free;
    entry.idle_millicores = host.IdleMillicores() + stopping.idle_millicores;
    round.hosts.push_back(std::move(entry));
    round.ids.push_back(host_id);
    round.runs.push_back(std::move(ids));
  }
}

bool Scheduler::AcceptsAfterPreemption(PreemptionRound& round,
                                       const Preemption& proposed) const {
  const HostId& host_id = round.ids[proposed.host];
  const auto known = round.after.find(proposed.host);
  std::map<HostId, Host> hosts;
  Host& host = hosts
                   .emplace(host_id, known == round.after.end()
                                         ? AfterStops(m_hosts.at(host_id))
                                         : known->second)
                   .first->second;
  for (const std::size_t run : proposed.runs) {
    host.runs.erase(round.runs[proposed.host][run]);
  }
  const PreemptionRound::Waiting& waiting = round.waiting[proposed.demand];
  const ReadyStep& ready = *waiting.step;
  const Job& job = *ready.job;
  const StepSpec& step = job.spec().steps[ready.step];
  const TaskKey key{job.id(), ready.occurrence, ready.step, waiting.index};
  const PlacementIndex index(hosts, m_drained_domains, m_interference,
                             m_clock.Now());
  const Task& task = job.At(ready.occurrence, ready.step).tasks[waiting.index];
  if (!ChooseHost(index, PlacementRequest{job, key, step, task, false})) {
    return false;
  }
  // Run numbers only have to differ here.
  host.runs.emplace(TaskRun{key, RunNumber(~host.runs.size())}, MakeRun(step));
  round.after.insert_or_assign(proposed.host, std::move(host));
  return true;
}

void Scheduler::Preempt(const PreemptionRound& round,
                        const Preemption& preemption) {
  Host& host = m_hosts.at(round.ids[preemption.host]);
  const PreemptionRound::Waiting& waiting = round.waiting[preemption.demand];
  for (const std::size_t number : preemption.runs) {
    const TaskRun& id = round.runs[preemption.host][number];
    const PreemptionCandidate& candidate =
        round.hosts[preemption.host].candidates[number];
    m_log({"run preempted", id, host.id(),
           std::string("its job ends ") + ToString(candidate.tier) + "; " +
               std::to_string(candidate.unsaved_core_seconds) +
               " core-seconds since its checkpoint; for job " +
               waiting.step->job->id().value()});
    StopRun(*FindJob(id.task.job), id.task, host, host.runs.at(id));
    ++m_preempted_runs;
  }
}

}  // namespace zinniacart
