#include <algorithm>
#include <map>
#include <vector>

#include "scheduling/scheduler.h"

namespace zinniacart {
namespace {

constexpr double kPercent = 100.0;

/// @returns whether the run's speed tells about its host: best-effort work is
/// also slow for want of processors, and perpetual work has no end.
bool TellsSpeed(const HostedRun& run) {
  return run.started && !run.best_effort && !run.perpetual && !run.stopping;
}

/// @returns the part of the run's work that is done, from 0 to 1.
double ProgressOf(const HostedRun& run) {
  return run.latest.progress_percent / kPercent;
}

/// @returns the run time that tasks have which get on at `speed` times what was
/// estimated.
Duration TimeAtSpeed(Duration estimate, double speed) {
  constexpr double kLeastSpeed = 0.01;
  return Duration(static_cast<std::int64_t>(
      static_cast<double>(estimate.count()) / std::max(speed, kLeastSpeed)));
}

}  // namespace

/// @returns whether other hosts have shown how fast the tasks should be.
bool Scheduler::LookAtRunning(Host& host) {
  const Instant now = m_clock.Now();
  // Tasks of one step share the error of its estimate: where no other host
  // shows that error, only the best of them tells something.
  std::map<TaskKey, const HostedRun*> alone;
  bool compared = false;
  for (const auto& [id, run] : host.runs) {
    if (!TellsSpeed(run)) {
      continue;
    }
    const TaskKey step = id.task.First();
    const Duration elapsed = now - run.started_at;
    if (const auto shown =
            host.health.ObservedSpeed(run.estimate, elapsed, ProgressOf(run))) {
      m_siblings.Observe(step, host.id(), *shown);
    }
    if (const auto usual = m_siblings.MedianOnOtherHosts(step, host.id())) {
      compared = true;
      host.health.OnRunning(TimeAtSpeed(run.estimate, *usual), elapsed,
                            ProgressOf(run));
      continue;
    }
    const HostedRun*& best = alone[step];
    if (best == nullptr || ProgressOf(run) > ProgressOf(*best)) {
      best = &run;
    }
  }
  for (const auto& [step, run] : alone) {
    host.health.OnRunning(run->estimate, now - run->started_at,
                          ProgressOf(*run));
  }
  return compared;
}

void Scheduler::NoteFinished(Host& host, const HostedRun& run) {
  const Instant now = m_clock.Now();
  const Duration elapsed = now - run.started_at;
  const TaskKey step = run.order.id.task.First();
  if (const auto shown =
          host.health.ObservedSpeed(run.estimate, elapsed, 1.0)) {
    m_siblings.Observe(step, host.id(), *shown);
  }
  if (const auto usual = m_siblings.MedianOnOtherHosts(step, host.id())) {
    host.health.OnFinished(TimeAtSpeed(run.estimate, *usual), elapsed, now);
  }
}

void Scheduler::UpdateHealth(Host& host) {
  const Instant now = m_clock.Now();
  host.health.BeginEvaluation();
  const bool compared = LookAtRunning(host);
  std::vector<double> others;
  for (const auto& [id, other] : m_hosts) {
    if (other.health.speed() && &other != &host) {
      others.push_back(*other.health.speed());
    }
  }
  const bool was_sick = host.health.unhealthy();
  auto usual = MedianSpeed(std::move(others));
  if (!usual && compared) {
    usual = 1.0;
  }
  host.health.FinishEvaluation(usual, now);
  if (host.health.unhealthy() != was_sick) {
    m_log({host.health.unhealthy() ? "host judged sick" : "host tried again",
           {},
           host.id(),
           "speed " + std::to_string(host.health.speed().value_or(0))});
  }
  if (host.health.unhealthy()) {
    LeaveSickHost(host);
  }
}

void Scheduler::LeaveSickHost(Host& host) {
  for (auto& [id, run] : host.runs) {
    if (!run.started || run.stopping || run.perpetual) {
      continue;
    }
    Job* job = FindJob(id.task.job);
    if (job == nullptr || job->spec().steps[id.task.step].gang) {
      continue;
    }
    m_log({"run moved", id, host.id(), "the host is sick"});
    StopRun(*job, id.task, host, run);
  }
}

void Scheduler::StopRun(Job& job,
                        const TaskKey& key,
                        Host& host,
                        HostedRun& run) {
  host.OrderStop(run);
  Task& task = *job.Find(key);
  if (!job.active() || !job.spec().steps[key.step].speculative) {
    task.phase = TaskPhase::kStopping;
    return;
  }
  // A copy may run beside it, so its place is taken at once.
  job.Release(key, run.latest.checkpoint, false);
  Touched(job);
}

void Scheduler::StopOtherCopy(Job& job, const TaskRun& finished) {
  const Task& task = *job.Find(finished.task);
  const TaskRun newest{finished.task, task.run};
  const auto host = m_hosts.find(task.placement.host);
  if (newest == finished || host == m_hosts.end()) {
    return;
  }
  const auto run = host->second.runs.find(newest);
  if (run != host->second.runs.end()) {
    host->second.OrderStop(run->second);
  }
}

void Scheduler::CopyRunsOfSilentHosts() {
  const Instant now = m_clock.Now();
  for (auto& [host_id, host] : m_hosts) {
    // A new owner has not heard any host yet.
    const Instant heard =
        std::max(host.last_report_at, m_asking_since.value_or(now));
    const bool silent = now - heard > m_settings.silence;
    const bool lost = host.listed && !host.reachable;
    if (!silent && !lost) {
      continue;
    }
    for (auto& [id, run] : host.runs) {
      Job* job = FindJob(id.task.job);
      if (job == nullptr || !job->active() || run.stopping ||
          !job->spec().steps[id.task.step].speculative) {
        continue;
      }
      m_log({"run copied", id, host.id(), "the host does not answer"});
      StopRun(*job, id.task, host, run);
    }
  }
}

}  // namespace zinniacart
