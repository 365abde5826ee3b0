#include <algorithm>
#include <set>

#include "scheduling/scheduler.h"

namespace zinniacart {
namespace {

/// Pace, in percent, set for best-effort tasks that a previous owner started.
constexpr int kRecoveredPercent = 50;

/// A start takes effect within this time after it was sent, unless it is lost.
/// A report that shows it later was late itself: a run time counted from that
/// report would be too short, down to almost nothing.
constexpr Duration kMaxStartDelay{150};

const char* ToString(EndKind how) {
  switch (how) {
    case EndKind::kDone:
      return "done";
    case EndKind::kFailed:
      return "failed";
    case EndKind::kStopped:
      return "stopped";
    case EndKind::kLeaseExpired:
      return "the worker's lease expired";
    case EndKind::kGangBroken:
      return "another member of the gang ended";
    case EndKind::kGangIncomplete:
      return "the other members of the gang did not start in time";
  }
  return "unknown";
}

/// @returns whether the worker lists the run as running or ended.
bool IsListed(const HostReport& report, const TaskRun& id) {
  const auto matches = [&id](const auto& row) { return row.id == id; };
  return std::any_of(report.running.begin(), report.running.end(), matches) ||
         std::any_of(report.ended.begin(), report.ended.end(), matches);
}

}  // namespace

void Scheduler::OnReport(const HostId& id, const HostReport& report) {
  if (report.epoch != m_epoch) {
    return;
  }
  Host& host = m_hosts.try_emplace(id, id).first->second;
  if (report.agent == host.agent && report.sequence <= host.sequence) {
    return;
  }
  const auto crash = CrashShownBy(host, report);
  AdoptAgent(host, report);
  if (!report.incarnation) {
    return;
  }
  if (crash) {
    HandleCrash(host, *crash);
  }
  AdoptIncarnation(host, report);
  if (report.lease_expired) {
    ExpireRunsAtAgent(host);
  }
  if (!report.listed) {
    return;
  }
  host.listed = true;
  HandleEnds(host, report);
  HandleResults(host, report);
  HandleRunning(host, report);
  HandleAbsent(host, report);
  AdvanceRecordedEnds(host);
  if (host.reachable) {
    // An agent that has lost its worker repeats the last list, in which tasks
    // only seem to stand still.
    UpdateHealth(host);
  }
  UpdatePacing(host, report.list_number);
}

void Scheduler::AdoptAgent(Host& host, const HostReport& report) {
  const Instant now = m_clock.Now();
  if (report.agent != host.agent) {
    host.agent = report.agent;
    host.orphans_from_list = 0;
    host.has_orders = true;
  }
  host.sequence = report.sequence;
  host.last_report_at = now;
  host.stamp = report.stamp;
  host.stamp_received = now;
  host.reachable = report.worker_reachable;
  host.has_orders =
      host.has_orders || (host.without_worker && report.incarnation);
  host.without_worker = !report.incarnation;
  if (report.facts) {
    if (!host.facts || host.facts->capacity != report.facts->capacity) {
      host.refused_capacity_at.reset();
    }
    host.facts = report.facts;
  }
}

void Scheduler::AdoptIncarnation(Host& host, const HostReport& report) {
  if (host.incarnation == *report.incarnation) {
    return;
  }
  host.incarnation = *report.incarnation;
  host.pending_ends.clear();
  host.processed_ends = 0;
  host.recorded_ends = 0;
  host.orphans.clear();
  const auto runs = host.runs;
  for (const auto& [id, run] : runs) {
    // A verdict on an earlier one may have released it.
    if (run.incarnation != host.incarnation && host.runs.contains(id)) {
      ResolveRunOfOldIncarnation(host, id, IsListed(report, id));
    }
  }
}

void Scheduler::ResolveRunOfOldIncarnation(Host& host,
                                           const TaskRun& id,
                                           bool listed) {
  HostedRun& run = host.runs.at(id);
  if (!listed && run.incarnation != host.examined &&
      (run.recovered || run.MayCrashItsWorker())) {
    // Nobody has seen how that incarnation ended.
    SuspectOf(id, SuspectedCrash{host.id(), run.incarnation, id.run,
                                 CrashEvidence::kUnconfirmed});
  }
  if (listed || run.recovered) {
    // The run started in the new worker incarnation, or it is recovered and the
    // worker's list under this epoch will show whether it runs.
    run.incarnation = host.incarnation;
    return;
  }
  if (!run.ordered || run.started) {
    return DropRun(host, id, run.latest.checkpoint, false,
                   "the worker restarted");
  }
  // A start in transit may still be executed by the new worker incarnation.
  run.incarnation = host.incarnation;
  host.OrderStop(run);
  m_log({"run stopped", id, host.id(),
         "the worker restarted and may still receive the start"});
}

void Scheduler::HandleEnds(Host& host, const HostReport& report) {
  for (const EndedTask& ended : report.ended) {
    if (ended.number <= host.processed_ends) {
      continue;
    }
    host.processed_ends = ended.number;
    ApplyEnd(host, ended);
    Job* job = FindJob(ended.id.task.job);
    host.pending_ends[ended.number] =
        Host::PendingEnd{ended.id.task.job, job ? job->version() : 0};
    if (job != nullptr && job->dirty()) {
      // The worker keeps all ends from this one on until the version is stored.
      MarkDirty(*job);
    }
  }
}

void Scheduler::ApplyEnd(Host& host, const EndedTask& ended) {
  const auto found = host.runs.find(ended.id);
  if (found == host.runs.end()) {
    return ApplyUnexpectedEnd(ended);
  }
  const HostedRun& run = found->second;
  if (ended.kind == EndKind::kDone && run.started && !run.best_effort) {
    ObserveFinishedTask(host, run);
  }
  m_log({"run ended", ended.id, host.id(), ToString(ended.kind)});
  if (ended.kind == EndKind::kDone || ended.kind == EndKind::kFailed) {
    OnProven(host, ended.id, found->second);
    Acquit(ended.id, found->second);
  }
  Job* job = FindJob(ended.id.task.job);
  if (Task* task = job == nullptr ? nullptr : job->Find(ended.id.task)) {
    task->worked_until = m_clock.Now();
  }
  if (job == nullptr || ended.kind != EndKind::kDone) {
    const bool failed = ended.kind == EndKind::kFailed;
    if (failed && job != nullptr) {
      BackOff(*job, run);
    }
    DropRun(host, ended.id, ended.checkpoint, failed, ToString(ended.kind));
    CountOutcome(host, ended.id, failed);
    return;
  }
  LearnRunTime(*job, run);
  host.runs.erase(ended.id);
  CountOutcome(host, ended.id, false);
  const StepSpec& step = job->spec().steps[ended.id.task.step];
  if (step.perpetual) {
    job->Release(ended.id.task, ended.checkpoint, false);
  } else {
    FinishTask(*job, ended.id);
  }
}

void Scheduler::ApplyUnexpectedEnd(const EndedTask& ended) {
  // Either a duplicate run that only the previous owner knew, or a run that
  // this owner had released. The task is done all the same, and must not start
  // again once the end is recorded.
  Job* job = FindJob(ended.id.task.job);
  Task* task = job == nullptr ? nullptr : job->Find(ended.id.task);
  if (task == nullptr || ended.kind != EndKind::kDone || !job->active() ||
      task->phase == TaskPhase::kDone ||
      job->spec().steps[ended.id.task.step].perpetual) {
    return;
  }
  FinishTask(*job, ended.id);
}

void Scheduler::FinishTask(Job& job, const TaskRun& finished) {
  StopDuplicateRun(job, finished);
  FinishAndCount(job, finished.task);
  m_step_times.Remove(finished.task);
  const std::uint32_t occurrence = finished.task.occurrence;
  if (!job.occurrences().IsComplete(occurrence)) {
    return;
  }
  m_siblings.Forget(job.id(), occurrence);
  m_step_times.Forget(job.id(), occurrence);
  std::erase_if(m_serving_loads, [&](const auto& entry) {
    return entry.first.job == job.id() && entry.first.occurrence == occurrence;
  });
}

void Scheduler::HandleResults(Host& host, const HostReport& report) {
  for (const OrderResult& result : report.results) {
    const auto found = host.runs.find(result.id);
    if (found == host.runs.end()) {
      continue;
    }
    HostedRun& run = found->second;
    switch (result.outcome) {
      case OrderOutcome::kStarted:
        MarkStarted(host, run);
        break;
      case OrderOutcome::kStopped:
        break;
      case OrderOutcome::kRefused:
      case OrderOutcome::kNoCapacity:
      case OrderOutcome::kNoTicket:
        // The worker may have begun it on an earlier call.
        if (!run.started && !run.refused && !IsListed(report, result.id)) {
          HandleRefusal(host, result, run);
        }
        break;
    }
  }
}

void Scheduler::HandleRefusal(Host& host,
                              const OrderResult& result,
                              HostedRun& run) {
  if (result.outcome == OrderOutcome::kNoCapacity) {
    host.refused_capacity_at = m_clock.Now();
  }
  AvoidHost(result, host);
  if (run.first_delivered_to == Incarnation() ||
      run.first_delivered_to == host.agent) {
    return DropRun(host, result.id, {}, false, "the worker refused the start");
  }
  run.refused = true;
  host.OrderStop(run);
  m_log({"run stopped", result.id, host.id(),
         "the worker refused the start and may still receive an earlier one"});
}

void Scheduler::MarkStarted(Host& host, HostedRun& run) {
  if (run.started) {
    return;
  }
  run.started = true;
  run.started_at = m_clock.Now();
  run.began_at =
      run.start_deliveries == 1
          ? std::min(run.started_at, run.start_delivered_at + kMaxStartDelay)
          : run.started_at;
  host.has_orders = host.has_orders || run.pace_pending;
}

void Scheduler::AvoidHost(const OrderResult& result, const Host& host) {
  // A lack of capacity is temporary; a worker that refuses orders may not
  // recover.
  if (result.outcome != OrderOutcome::kRefused) {
    return;
  }
  Job* job = FindJob(result.id.task.job);
  if (Task* task = job == nullptr ? nullptr : job->Find(result.id.task)) {
    task->failed_on.push_back(host.id());
  }
}

Resources Scheduler::DemandOf(const TaskKey& task) {
  Job* job = FindJob(task.job);
  if (job == nullptr || !job->Has(task)) {
    return {};
  }
  return MakeRun(job->spec().steps[task.step]).ReservedDemand();
}

void Scheduler::HandleRunning(Host& host, const HostReport& report) {
  // An agent that has lost its worker repeats the worker's last list.
  const bool new_list = host.orphans_from_list != report.list_number;
  host.orphans_from_list = report.list_number;
  const std::set<TaskRun> unproven(report.unproven.begin(),
                                   report.unproven.end());
  host.orphan_demand = {};
  for (const RunningTask& running : report.running) {
    const auto found = host.runs.find(running.id);
    if (found == host.runs.end()) {
      host.orphan_demand += DemandOf(running.id.task);
      if (new_list) {
        host.orphans.insert(running.id);
        host.has_orders = true;
        m_log({"orphaned run", running.id, host.id(),
               "not placed on this host by the owner; the worker is ordered to "
               "stop it"});
      }
      continue;
    }
    HostedRun& run = found->second;
    MarkStarted(host, run);
    if (run.recovered && run.best_effort) {
      // Its pace is unknown: the previous owner may have set any.
      run.wanted_percent = kRecoveredPercent;
      run.pace_pending = true;
    }
    run.recovered = false;
    run.ordered = true;
    if (run.latest.checkpoint != running.checkpoint) {
      run.saved_percent = running.progress_percent;
    }
    run.latest = running;
    if (new_list) {
      ObserveProgress(run);
    }
    if (!unproven.contains(running.id)) {
      OnProven(host, running.id, run);
    }
    if (new_list && host.reachable) {
      AcquitIfDue(running.id, run);
    }
  }
}

void Scheduler::HandleAbsent(Host& host, const HostReport& report) {
  if (report.more_ends) {
    return;
  }
  std::set<TaskRun> listed;
  for (const RunningTask& running : report.running) {
    listed.insert(running.id);
  }
  std::set<TaskRun> stopped;
  for (const OrderResult& result : report.results) {
    if (result.outcome == OrderOutcome::kStopped) {
      stopped.insert(result.id);
    }
  }
  const auto runs = host.runs;
  for (const auto& [id, run] : runs) {
    if (listed.contains(id)) {
      continue;
    }
    if (run.recovered) {
      // The list is fenced by this epoch: no order of a previous owner can
      // reach the worker any more.
      DropRun(host, id, run.latest.checkpoint, false,
              "the worker does not list the recovered run");
    } else if (run.started) {
      DropRun(host, id, run.latest.checkpoint, false,
              "the worker no longer lists it");
    } else if (run.stopping && stopped.contains(id)) {
      DropRun(host, id, run.latest.checkpoint, false,
              "the worker was told to stop it and has not listed it since");
    }
  }
}

void Scheduler::ExpireRunsAtAgent(Host& host) {
  MarkVanished(host);
  const auto runs = host.runs;
  for (const auto& [id, run] : runs) {
    // The agent may still send a start that it holds as soon as the worker
    // answers again. The result of that order decides.
    const bool unresolved = run.ordered && !run.started && !run.recovered &&
                            !run.refused && run.delivered_to == host.agent;
    if (!unresolved) {
      DropRun(host, id, run.latest.checkpoint, false,
              "the agent reports that the worker's lease has expired");
    }
  }
}

void Scheduler::ExpireRuns(Host& host, const char* reason) {
  MarkVanished(host);
  const auto runs = host.runs;
  for (const auto& [id, run] : runs) {
    DropRun(host, id, run.latest.checkpoint, false, reason);
  }
}

void Scheduler::DropRun(Host& host,
                        const TaskRun& id,
                        CheckpointId checkpoint,
                        bool failed,
                        const char* reason) {
  const auto run = host.runs.find(id);
  const bool worked = run != host.runs.end() && run->second.started;
  host.runs.erase(id);
  if (const auto copied = m_copied.find(id.task);
      copied != m_copied.end() && copied->second.first == id.run) {
    m_copied.erase(copied);
  }
  m_step_times.Remove(id.task);
  m_log({"run released", id, host.id(), reason});
  Job* job = FindJob(id.task.job);
  if (job == nullptr) {
    return;
  }
  Task* task = job->Find(id.task);
  if (task == nullptr) {
    return;
  }
  if (!task->placed() || task->run != id.run) {
    // A duplicate run that is no longer the newest run of the task.
    if (failed && job->active()) {
      job->CountDuplicateRunFailure(id.task);
      MarkDirty(*job);
    }
    return;
  }
  const bool was_active = job->active();
  if (worked) {
    task->worked_until = m_clock.Now();
  }
  job->Release(id.task, checkpoint, failed);
  MarkDirty(*job);
  if (was_active && !job->active()) {
    m_log({"job failed", id, host.id(), "a task has used up its attempts"});
    StopTasksOf(*job);
  }
}

}  // namespace zinniacart
