#include <algorithm>
#include <cmath>
#include <map>
#include <vector>

#include "ordering/sibling_speeds.h"
#include "scheduling/failure_verdict.h"
#include "scheduling/scheduler.h"

namespace zinniacart {
namespace {

constexpr double kPercent = 100.0;

/// @returns whether the run's speed reflects the speed of its host. Best-effort
/// tasks are also slow when they lack processors, and perpetual tasks never
/// finish.
bool ShowsHostSpeed(const HostedRun& run) {
  return run.started && !run.best_effort && !run.perpetual && !run.stopping;
}

/// @returns the completed fraction of the run's work, from 0 to 1.
double ProgressOf(const HostedRun& run) {
  return run.latest.progress_percent / kPercent;
}

/// @returns the speed of a run in tasks per ms. The estimates of a step change
/// while its tasks run, so that only rates are comparable between hosts.
/// @param speed 1 where the run takes as long as estimated.
double RateOf(const HostedRun& run, double speed) {
  return speed / static_cast<double>(run.estimate.count());
}

/// @returns the run time of the task at the rate.
Duration TimeAtRate(const HostedRun& run, double rate) {
  constexpr double kMinSpeed = 0.01;
  return Duration(std::llround(1 / std::max(rate, RateOf(run, kMinSpeed))));
}

}  // namespace

bool Scheduler::ObserveRunningTasks(Host& host) {
  const Instant now = m_clock.Now();
  // All tasks of a step share the error of its estimate. Where no other host
  // reveals that error, only the fastest task of the step is used.
  std::map<TaskKey, const HostedRun*> without_peers;
  bool compared = false;
  for (const auto& [id, run] : host.runs) {
    if (!ShowsHostSpeed(run)) {
      continue;
    }
    const TaskKey step = id.task.First();
    const Duration elapsed = now - run.started_at;
    if (const auto shown =
            host.health.ObservedSpeed(run.estimate, elapsed, ProgressOf(run))) {
      m_siblings.Observe(step, host.id(), RateOf(run, *shown));
    }
    if (const auto usual = m_siblings.MedianOnOtherHosts(step, host.id())) {
      compared = true;
      host.health.OnRunning(TimeAtRate(run, *usual), elapsed, ProgressOf(run));
      continue;
    }
    const HostedRun*& best = without_peers[step];
    if (best == nullptr || ProgressOf(run) > ProgressOf(*best)) {
      best = &run;
    }
  }
  for (const auto& [step, run] : without_peers) {
    host.health.OnRunning(run->estimate, now - run->started_at,
                          ProgressOf(*run));
  }
  return compared;
}

void Scheduler::ObserveFinishedTask(Host& host, const HostedRun& run) {
  const Instant now = m_clock.Now();
  const Duration elapsed = now - run.started_at;
  const TaskKey step = run.order.id.task.First();
  if (const auto shown =
          host.health.ObservedSpeed(run.estimate, elapsed, 1.0)) {
    m_siblings.Observe(step, host.id(), RateOf(run, *shown));
  }
  if (const auto usual = m_siblings.MedianOnOtherHosts(step, host.id())) {
    host.health.OnFinished(TimeAtRate(run, *usual), elapsed, now);
  }
}

void Scheduler::UpdateHealth(Host& host) {
  const Instant now = m_clock.Now();
  host.health.BeginEvaluation();
  const bool compared = ObserveRunningTasks(host);
  std::vector<double> other_speeds;
  for (const auto& [id, other] : m_hosts) {
    if (other.health.speed() && &other != &host) {
      other_speeds.push_back(*other.health.speed());
    }
  }
  const bool was_unhealthy = host.health.unhealthy();
  auto usual = MedianSpeed(std::move(other_speeds));
  if (!usual && compared) {
    usual = 1.0;
  }
  host.health.FinishEvaluation(usual, now);
  if (host.health.unhealthy() != was_unhealthy) {
    m_log({host.health.unhealthy() ? "host judged unhealthy"
                                   : "host no longer judged unhealthy",
           {},
           host.id(),
           "speed relative to estimates " +
               std::to_string(host.health.speed().value_or(0))});
  }
  if (host.health.unhealthy()) {
    StopRunsOfUnhealthyHost(host);
  }
}

void Scheduler::CountOutcome(Host& host, const TaskRun& id, bool failed) {
  if (!failed) {
    host.failures_in_row.clear();
    return;
  }
  Job* job = FindJob(id.task.job);
  if (job == nullptr || job->Find(id.task) == nullptr) {
    return;
  }
  StepTasks& step = job->At(id.task.occurrence, id.task.step);
  const Instant now = m_clock.Now();
  const Instant oldest = now - m_settings.failure_memory;
  std::erase_if(step.failed_on,
                [&](const auto& entry) { return entry.second < oldest; });
  std::erase_if(host.failures_in_row, [&](const auto& entry) {
    return entry.second.newest < oldest;
  });
  step.failed_on[host.id()] = now;
  Host::FailuresInRow& in_row = host.failures_in_row[id.task.First()];
  ++in_row.failures;
  in_row.newest = now;
  for (const auto& [other, failed_at] : step.failed_on) {
    ReviseQuarantine(m_hosts.at(other));
  }
  const bool tells = !in_row.judged || step.done > 0;
  if (tells && CountFailuresOf(host) >= m_settings.failures_to_quarantine &&
      MayQuarantine(host)) {
    Quarantine(host, id);
  }
}

std::uint32_t Scheduler::CountFailuresOf(const Host& host) {
  std::vector<StepFailures> in_row;
  for (const auto& [key, failures] : host.failures_in_row) {
    Job* job = FindJob(key.job);
    if (job == nullptr) {
      continue;
    }
    StepFailures& step = in_row.emplace_back();
    step.failures = failures.failures;
    if (job->Find(key) == nullptr) {
      step.step_succeeds = true;  // Its occurrence is complete.
      continue;
    }
    const StepTasks& tasks = job->At(key.occurrence, key.step);
    step.step_succeeds = tasks.done > 0;
    step.hosts = tasks.failed_on.size();
  }
  return FailuresOfHost(in_row);
}

bool Scheduler::MayQuarantine(const Host& host) const {
  const Instant now = m_clock.Now();
  std::size_t hosts = 0;
  std::size_t quarantined = 0;
  for (const auto& [id, other] : m_hosts) {
    if (other.facts && other.facts->service == host.facts->service) {
      ++hosts;
      quarantined += other.IsQuarantined(now) && id != host.id() ? 1 : 0;
    }
  }
  return static_cast<double>(quarantined + 1) <=
         m_settings.max_hosts_in_quarantine * static_cast<double>(hosts);
}

void Scheduler::Quarantine(Host& host, const TaskRun& id) {
  std::uint32_t failures = 0;
  for (auto& [step, in_row] : host.failures_in_row) {
    in_row.judged = true;
    failures += in_row.failures;
  }
  host.quarantined_until = m_clock.Now() + m_settings.quarantine;
  m_log({"host quarantined", id, host.id(),
         std::to_string(failures) + " runs of " +
             std::to_string(host.failures_in_row.size()) +
             " steps failed one after the other; no new tasks for now"});
}

void Scheduler::ReviseQuarantine(Host& host) {
  if (!host.IsQuarantined(m_clock.Now()) ||
      CountFailuresOf(host) >= m_settings.failures_to_quarantine) {
    return;
  }
  host.quarantined_until.reset();
  m_log({"host released from quarantine",
         {},
         host.id(),
         "the steps that failed there fail on other hosts too"});
}

void Scheduler::BackOff(Job& job, const HostedRun& run) {
  const TaskRun& id = run.order.id;
  Task* task = job.Find(id.task);
  if (task == nullptr || task->run != id.run) {
    return;
  }
  const Instant now = m_clock.Now();
  const bool early =
      !run.started || now - run.started_at < m_settings.early_failure;
  task->early_failures = early ? task->early_failures + 1 : 0;
  if (task->early_failures < m_settings.failures_to_back_off) {
    return;
  }
  const std::uint32_t doublings =
      std::min(task->early_failures - m_settings.failures_to_back_off,
               m_settings.most_back_off_doublings);
  const Duration delay = m_settings.first_back_off * (1U << doublings);
  task->backs_off_until = now + delay;
  m_log({"task backs off",
         id,
         {},
         "it failed " + std::to_string(task->early_failures) +
             " times soon after its start; not placed for " +
             std::to_string(delay.count()) + " ms"});
}

void Scheduler::StopRunsOfUnhealthyHost(Host& host) {
  for (auto& [id, run] : host.runs) {
    if (!run.started || run.stopping || run.perpetual) {
      continue;
    }
    Job* job = FindJob(id.task.job);
    if (job == nullptr || job->spec().steps[id.task.step].gang ||
        !WithinBudget(id, host)) {
      continue;
    }
    m_log({"run moved", id, host.id(),
           "the host is unhealthy; the task is placed again"});
    StopRun(*job, id.task, host, run);
  }
}

void Scheduler::StopRun(Job& job,
                        const TaskKey& key,
                        Host& host,
                        HostedRun& run) {
  host.OrderStop(run);
  Task* task = job.Find(key);
  const auto copied = m_copied.find(key);
  const bool copies = copied != m_copied.end();
  if (task == nullptr ||
      (copies && run.order.id == TaskRun{key, copied->second.first})) {
    return;
  }
  if (copies || !job.active() || !job.spec().steps[key.step].speculative ||
      MayHaveCrashed(host, run)) {
    task->phase = TaskPhase::kStopping;
    return;
  }
  // A duplicate run is allowed, so the task can be placed again at once.
  task->worked_until = m_clock.Now();
  job.Release(key, run.latest.checkpoint, false);
  MarkDirty(job);
}

void Scheduler::StopDuplicateRun(Job& job, const TaskRun& finished) {
  StopOriginal(finished.task, finished.run);
  const Task* task = job.Find(finished.task);
  if (task == nullptr || task->run == finished.run) {
    return;
  }
  const TaskRun newest{finished.task, task->run};
  const auto host = m_hosts.find(task->placement.host);
  if (host == m_hosts.end()) {
    return;
  }
  const auto run = host->second.runs.find(newest);
  if (run != host->second.runs.end()) {
    host->second.OrderStop(run->second);
  }
}

void Scheduler::DuplicateRunsOfUnresponsiveHosts() {
  const Instant now = m_clock.Now();
  for (auto& [host_id, host] : m_hosts) {
    // A new owner has not received any report yet.
    const Instant last_report =
        std::max(host.last_report_at, m_polling_since.value_or(now));
    const bool overdue = now - last_report > m_settings.report_timeout;
    const bool unreachable = host.listed && !host.reachable;
    if (!overdue && !unreachable) {
      continue;
    }
    for (auto& [id, run] : host.runs) {
      Job* job = FindJob(id.task.job);
      if (job == nullptr || !job->active() || run.stopping ||
          MayHaveCrashed(host, run) || m_copied.contains(id.task) ||
          !job->spec().steps[id.task.step].speculative) {
        continue;
      }
      m_log({"run duplicated", id, host.id(),
             "the host is unresponsive; the task is also placed elsewhere"});
      StopRun(*job, id.task, host, run);
    }
  }
}

}  // namespace zinniacart
