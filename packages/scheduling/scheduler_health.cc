#include <algorithm>
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

}  // namespace

void Scheduler::UpdateHealth(Host& host) {
  const Instant now = m_clock.Now();
  host.health.BeginLook();
  for (const auto& [id, run] : host.runs) {
    if (TellsSpeed(run)) {
      host.health.OnRunning(run.estimate, now - run.started_at,
                            run.latest.progress_percent / kPercent);
    }
  }
  std::vector<double> others;
  for (const auto& [id, other] : m_hosts) {
    if (other.health.speed() && &other != &host) {
      others.push_back(*other.health.speed());
    }
  }
  const bool was_sick = host.health.sick();
  host.health.EndLook(MedianSpeed(std::move(others)), now);
  if (host.health.sick() != was_sick) {
    m_log({host.health.sick() ? "host judged sick" : "host tried again",
           {},
           host.id(),
           "speed " + std::to_string(host.health.speed().value_or(0))});
  }
  if (host.health.sick()) {
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
    const Instant heard = std::max(host.heard_at, m_asking_since.value_or(now));
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
