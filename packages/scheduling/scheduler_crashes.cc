#include <algorithm>
#include <map>
#include <set>
#include <string>

#include "scheduling/scheduler.h"

namespace zinniacart {

std::optional<WorkerCrash> Scheduler::CrashShownBy(Host& host,
                                                   const HostReport& report) {
  if (report.crash && report.crash->incarnation > host.examined) {
    return report.crash;
  }
  const bool restarted = host.incarnation != WorkerIncarnation() &&
                         report.incarnation &&
                         *report.incarnation > host.incarnation;
  if (!restarted || host.incarnation <= host.examined) {
    return std::nullopt;
  }
  if (!host.facts || host.facts->draining) {
    host.examined = host.incarnation;
    return std::nullopt;
  }
  // The agent was restarted too and does not know what its worker had begun.
  WorkerCrash crash{host.incarnation, {}, {}, {}};
  for (const auto& [id, run] : host.runs) {
    if (run.MayCrashItsWorker()) {
      (run.started ? crash.suspects : crash.unconfirmed).push_back(id);
    } else if (run.started) {
      crash.interrupted.push_back(
          InterruptedRun{id, host.last_report_at - run.started_at});
    }
  }
  return crash;
}

void Scheduler::HandleCrash(Host& host, WorkerCrash crash) {
  host.examined = crash.incarnation;
  if (host.upkeep == HostUpkeep::kOrdered) {
    return;  // Its upkeep has ended the worker.
  }
  for (auto* runs : {&crash.suspects, &crash.unconfirmed}) {
    std::erase_if(*runs, [&](const TaskRun& id) {
      return IsExonerated(id, crash.incarnation);
    });
  }
  std::set<JobId> jobs;
  for (const auto* runs : {&crash.suspects, &crash.unconfirmed}) {
    for (const TaskRun& id : *runs) {
      jobs.insert(id.task.job);
    }
  }
  m_log({"worker crashed",
         {},
         host.id(),
         "worker " + std::to_string(crash.incarnation.value()) + ", " +
             std::to_string(crash.suspects.size()) + " runs and " +
             std::to_string(crash.unconfirmed.size()) +
             " unconfirmed starts of " + std::to_string(jobs.size()) +
             " jobs are suspected, " +
             std::to_string(crash.interrupted.size()) +
             " other runs were interrupted"});
  const InterruptedSuspects interrupted = HandleInterrupted(host, crash);
  if (interrupted == InterruptedSuspects::kGuilty) {
    return;
  }
  const bool others = interrupted == InterruptedSuspects::kSome;
  if (jobs.empty() && !others) {
    host.failed_by_itself_at = m_clock.Now();
  }
  if (!others) {
    m_crashes.Add(host.id(), crash.incarnation, m_clock.Now());
  }
  // Tasks of one job stand or fall together.
  SuspectStarts(host, crash,
                jobs.size() == 1 && !others && !IsDoubtful(host)
                    ? CrashEvidence::kSole
                    : CrashEvidence::kShared);
}

void Scheduler::SuspectStarts(const Host& host,
                              const WorkerCrash& crash,
                              CrashEvidence evidence) {
  for (const auto* runs : {&crash.suspects, &crash.unconfirmed}) {
    for (const TaskRun& id : *runs) {
      m_suspects[{host.id(), crash.incarnation}].insert(id.task);
    }
  }
  for (const TaskRun& id : crash.suspects) {
    SuspectOf(id,
              SuspectedCrash{host.id(), crash.incarnation, id.run, evidence});
  }
  for (const TaskRun& id : crash.unconfirmed) {
    SuspectOf(id, SuspectedCrash{host.id(), crash.incarnation, id.run,
                                 CrashEvidence::kUnconfirmed});
  }
}

Scheduler::InterruptedSuspects Scheduler::HandleInterrupted(
    const Host& host,
    const WorkerCrash& crash) {
  const bool beside_starts =
      !crash.suspects.empty() || !crash.unconfirmed.empty();
  bool any_on_trial = false;
  std::map<JobId, TaskRun> guilty;
  for (const InterruptedRun& run : crash.interrupted) {
    Job* job = FindJob(run.id.task.job);
    if (job == nullptr || !job->active() ||
        !job->SuspectLate(run.id.task,
                          LateCrash{host.id(), crash.incarnation, run.id.run,
                                    run.worked, beside_starts})) {
      continue;
    }
    MarkDirty(*job);
    const CrashRecord& crashes = job->Find(run.id.task)->crashes;
    if (crashes.NeedsTrial()) {
      any_on_trial = true;
      m_log({"task suspected of crashing its worker", run.id, host.id(),
             Describe(crashes)});
    }
    if (IsGuilty(crashes)) {
      guilty.emplace(job->id(), run.id);
    }
  }
  if (guilty.size() == 1) {
    const TaskRun& id = guilty.begin()->second;
    GiveUpIfGuilty(*FindJob(id.task.job), id, host.id());
    return InterruptedSuspects::kGuilty;
  }
  for (const auto& [job, id] : guilty) {
    // They have crashed together each time: trials tell them apart.
    FindJob(job)->RequireTrial(id.task);
  }
  return any_on_trial || !guilty.empty() ? InterruptedSuspects::kSome
                                         : InterruptedSuspects::kNone;
}

bool Scheduler::IsGuilty(const CrashRecord& crashes) const {
  const CrashesPerSecond usual = m_crashes.Rate(m_hosts.size(), m_clock.Now());
  return Judge(crashes, usual) == CrashVerdict::kGuilty;
}

void Scheduler::ExplainCrash(const HostId& host,
                             const WorkerIncarnation& incarnation) {
  m_crashes.Remove(host, incarnation);
  for (auto& [id, job] : m_jobs) {
    if (job->active() && job->ForgetLateCrash(host, incarnation)) {
      MarkCheckpointDirty(*job);
    }
  }
}

std::optional<Duration> Scheduler::AcquittalOf(const Task& task) {
  return task.crashes.late.empty()
             ? std::nullopt
             : std::optional(task.crashes.AcquittedAfter());
}

void Scheduler::AcquitIfDue(const TaskRun& id, HostedRun& run) {
  if (!run.acquits_after || !run.started ||
      m_clock.Now() - run.started_at <= *run.acquits_after) {
    return;
  }
  Acquit(id, run);
}

void Scheduler::Acquit(const TaskRun& id, HostedRun& run) {
  run.acquits_after.reset();
  if (Job* job = FindJob(id.task.job); job != nullptr && job->active()) {
    job->Acquit(id.task, id.run);
    MarkCheckpointDirty(*job);
  }
}

bool Scheduler::IsExonerated(const TaskRun& id,
                             const WorkerIncarnation& incarnation) {
  Job* job = FindJob(id.task.job);
  if (job == nullptr || !job->Has(id.task)) {
    return false;
  }
  const Task* task = job->Find(id.task);
  return task == nullptr || task->phase == TaskPhase::kDone ||
         id.run <= task->proven_run ||
         std::any_of(task->crashes.early.begin(), task->crashes.early.end(),
                     [&](const SuspectedCrash& crash) {
                       return crash.run == id.run &&
                              crash.incarnation != incarnation;
                     });
}

void Scheduler::SuspectOf(const TaskRun& id, const SuspectedCrash& crash) {
  Job* job = FindJob(id.task.job);
  Task* task = job == nullptr ? nullptr : job->Find(id.task);
  if (task == nullptr || !job->active()) {
    return;
  }
  if (!job->Suspect(id.task, crash)) {
    return;
  }
  MarkDirty(*job);
  m_log({"task suspected of crashing its worker", id, crash.host,
         Describe(task->crashes)});
  GiveUpIfGuilty(*job, id, crash.host);
}

bool Scheduler::MayHaveCrashed(const Host& host, const HostedRun& run) {
  return !host.reachable && run.MayCrashItsWorker();
}

bool Scheduler::IsDoubtful(const Host& host) const {
  return host.failed_by_itself_at &&
         m_clock.Now() - *host.failed_by_itself_at < m_settings.host_doubt;
}

void Scheduler::ClearSuspicion(Job& job, const TaskRun& proven) {
  const TaskKey& key = proven.task;
  // A verdict on another task may change the record.
  const auto crashes = job.Find(key)->crashes.early;
  for (const SuspectedCrash& crash : crashes) {
    const auto suspects = m_suspects.find({crash.host, crash.incarnation});
    if (suspects == m_suspects.end() || suspects->second.erase(key) == 0) {
      continue;
    }
    const auto host = m_hosts.find(crash.host);
    if (suspects->second.empty()) {
      m_suspects.erase(suspects);
      if (host != m_hosts.end()) {
        host->second.failed_by_itself_at = m_clock.Now();
      }
    } else if (host == m_hosts.end() || !IsDoubtful(host->second)) {
      NarrowSuspects(crash.host, crash.incarnation);
    }
  }
  job.ClearSuspicion(key, proven.run);
  MarkCheckpointDirty(job);
}

void Scheduler::NarrowSuspects(const HostId& host,
                               const WorkerIncarnation& crashed) {
  const std::set<TaskKey> left = m_suspects.at({host, crashed});
  if (left.begin()->job != left.rbegin()->job) {
    return;
  }
  Job* job = FindJob(left.begin()->job);
  if (job == nullptr || !job->active()) {
    return;
  }
  for (const TaskKey& key : left) {
    if (job->Find(key) == nullptr) {
      continue;
    }
    job->BecomeSoleSuspect(key, host, crashed);
    const TaskRun newest{key, job->Find(key)->run};
    m_log({"task is the only suspect left of a crash", newest, host,
           Describe(job->Find(key)->crashes)});
    GiveUpIfGuilty(*job, newest, host);
  }
  MarkDirty(*job);
}

void Scheduler::GiveUpIfGuilty(Job& job,
                               const TaskRun& id,
                               const HostId& host) {
  const CrashRecord crashes = job.Find(id.task)->crashes;
  if (!job.active() || !IsGuilty(crashes)) {
    return;
  }
  const double usual = m_crashes.Rate(m_hosts.size(), m_clock.Now());
  job.MarkFailed();
  m_log({"job failed", id, host,
         "the task crashes the workers that start it: " + Describe(crashes) +
             "; a host usually crashes each " +
             std::to_string(static_cast<std::int64_t>(1 / usual)) + " s"});
  StopTasksOf(job);
  for (const SuspectedCrash& crash : crashes.early) {
    ExplainCrash(crash.host, crash.incarnation);
  }
  for (const LateCrash& crash : crashes.late) {
    ExplainCrash(crash.host, crash.incarnation);
  }
}

void Scheduler::ForgetSuspectsOf(const JobId& job) {
  for (auto& [crash, tasks] : m_suspects) {
    std::erase_if(tasks, [&job](const TaskKey& key) { return key.job == job; });
  }
  std::erase_if(m_suspects,
                [](const auto& entry) { return entry.second.empty(); });
}

void Scheduler::MarkVanished(const Host& host) {
  if (host.upkeep == HostUpkeep::kOrdered) {
    return;
  }
  for (const auto& [id, run] : host.runs) {
    Job* job = FindJob(id.task.job);
    Task* task = job == nullptr ? nullptr : job->Find(id.task);
    if (task != nullptr && task->run == id.run && run.MayCrashItsWorker()) {
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
  ClearSuspicion(*job, id);
}

}  // namespace zinniacart
