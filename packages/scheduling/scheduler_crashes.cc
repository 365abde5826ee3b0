#include <algorithm>
#include <set>
#include <string>

#include "scheduling/scheduler.h"

namespace zinniacart {

std::optional<WorkerCrash> Scheduler::CrashShownBy(const Host& host,
                                                   const HostReport& report) {
  if (report.crash) {
    return report.crash->incarnation > host.crashed ? report.crash
                                                    : std::nullopt;
  }
  const bool restarted = host.incarnation != WorkerIncarnation() &&
                         report.incarnation &&
                         *report.incarnation > host.incarnation;
  if (!restarted || report.agent == host.agent || !host.facts ||
      host.facts->draining) {
    return std::nullopt;
  }
  // The agent was restarted too and does not know what its worker had begun.
  WorkerCrash crash{host.incarnation, {}, {}};
  for (const auto& [id, run] : host.runs) {
    if (run.ordered && !run.proven && !run.recovered) {
      crash.suspects.push_back(id);
    }
  }
  return crash;
}

void Scheduler::HandleCrash(Host& host, const WorkerCrash& crash) {
  host.crashed = crash.incarnation;
  std::set<JobId> jobs;
  for (const TaskRun& id : crash.suspects) {
    jobs.insert(id.task.job);
  }
  // Tasks of one job stand or fall together.
  const bool sole = jobs.size() == 1 && !IsDoubtful(host);
  m_log({"worker crashed",
         {},
         host.id(),
         "worker " + std::to_string(crash.incarnation.value()) + ", " +
             std::to_string(crash.suspects.size()) + " runs of " +
             std::to_string(jobs.size()) + " jobs are suspected"});
  if (crash.suspects.empty()) {
    host.failed_by_itself_at = m_clock.Now();
  }
  for (const TaskRun& id : crash.suspects) {
    SuspectOf(crash, id, host, sole);
  }
}

void Scheduler::SuspectOf(const WorkerCrash& crash,
                          const TaskRun& id,
                          Host& host,
                          bool sole) {
  Job* job = FindJob(id.task.job);
  Task* task = job == nullptr ? nullptr : job->Find(id.task);
  // A newer run, if there is one, tells more about the task.
  if (task == nullptr || !job->active() || task->run != id.run) {
    return;
  }
  job->Suspect(id.task, SuspectedCrash{host.id(), crash.incarnation, sole});
  MarkDirty(*job);
  host.suspects[crash.incarnation].insert(id.task);
  m_log({"task suspected of crashing its worker", id, host.id(),
         Describe(task->crashes)});
  GiveUpIfGuilty(*job, id, host);
}

bool Scheduler::MayHaveCrashed(const Host& host, const HostedRun& run) {
  return !host.reachable && run.ordered && !run.proven && !run.recovered;
}

bool Scheduler::IsDoubtful(const Host& host) const {
  return host.failed_by_itself_at &&
         m_clock.Now() - *host.failed_by_itself_at < m_settings.host_doubt;
}

void Scheduler::ClearSuspicion(Job& job, const TaskKey& key) {
  for (const SuspectedCrash& crash : job.Find(key)->crashes) {
    const auto host = m_hosts.find(crash.host);
    if (host == m_hosts.end()) {
      continue;
    }
    const auto suspects = host->second.suspects.find(crash.incarnation);
    if (suspects == host->second.suspects.end() ||
        suspects->second.erase(key) == 0) {
      continue;
    }
    if (suspects->second.empty()) {
      host->second.suspects.erase(suspects);
      host->second.failed_by_itself_at = m_clock.Now();
    } else if (!IsDoubtful(host->second)) {
      NarrowSuspects(host->second, crash.incarnation);
    }
  }
  job.ClearSuspicion(key);
  MarkCheckpointDirty(job);
}

void Scheduler::NarrowSuspects(const Host& host,
                               const WorkerIncarnation& crashed) {
  const std::set<TaskKey>& left = host.suspects.at(crashed);
  if (left.begin()->job != left.rbegin()->job) {
    return;
  }
  Job* job = FindJob(left.begin()->job);
  if (job == nullptr || !job->active()) {
    return;
  }
  for (const TaskKey& key : left) {
    job->BecomeSoleSuspect(key, host.id(), crashed);
    const TaskRun newest{key, job->Find(key)->run};
    m_log({"task is the only suspect left of a crash", newest, host.id(),
           Describe(job->Find(key)->crashes)});
    GiveUpIfGuilty(*job, newest, host);
  }
  MarkDirty(*job);
}

void Scheduler::GiveUpIfGuilty(Job& job, const TaskRun& id, const Host& host) {
  const Task& task = *job.Find(id.task);
  if (!job.active() || Judge(task.crashes) != CrashVerdict::kGuilty) {
    return;
  }
  job.MarkFailed();
  m_log({"job failed", id, host.id(),
         "the task crashes the workers that start it: " +
             Describe(task.crashes)});
  StopTasksOf(job);
}

void Scheduler::MarkVanished(const Host& host) {
  for (const auto& [id, run] : host.runs) {
    Job* job = FindJob(id.task.job);
    Task* task = job == nullptr ? nullptr : job->Find(id.task);
    if (task != nullptr && task->run == id.run && run.ordered && !run.proven &&
        !run.recovered) {
      task->vanished = true;
    }
  }
}

void Scheduler::OnProven(const Host& host, const TaskRun& id, HostedRun& run) {
  if (run.proven) {
    return;
  }
  run.proven = true;
  Job* job = FindJob(id.task.job);
  Task* task = job == nullptr ? nullptr : job->Find(id.task);
  if (task == nullptr || task->run != id.run || !task->suspect() ||
      !job->active()) {
    return;
  }
  m_log({"task cleared of suspicion", id, host.id(),
         "it has survived its start"});
  ClearSuspicion(*job, id.task);
}

}  // namespace zinniacart
