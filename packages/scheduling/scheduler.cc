#include "scheduling/scheduler.h"

#include <algorithm>
#include <array>
#include <utility>

#include "colocation/interference_record.h"
#include "scheduling/placement.h"

namespace zinniacart {

Scheduler::Scheduler(SchedulerSettings settings,
                     const Clock& clock,
                     DecisionLog log)
    : m_settings(settings), m_clock(clock), m_log(std::move(log)) {}

void Scheduler::Begin(Epoch epoch, EntryId owner) {
  m_epoch = epoch;
  m_owner = std::move(owner);
  m_ownership_began = m_clock.Now();
  m_polling_since.reset();
  m_jobs.clear();
  m_finished_work.clear();
  m_hosts.clear();
  m_dirty = {};
  m_checkpoint_dirty = {};
  m_ended_jobs.clear();
  m_pinned.clear();
  m_held_back.clear();
  m_suspects.clear();
  m_crashes.Clear(m_ownership_began);
  m_serving_loads.clear();
  m_siblings.Clear();
  m_step_times.Clear();
  m_copied.clear();
}

void Scheduler::SetConfiguration(SiteConfiguration configuration) {
  m_configuration = std::move(configuration);
  for (auto& [id, job] : m_jobs) {
    if (const Queue* queue = FindNewerQueue(job->record())) {
      job->SetPolicy(queue->policy);
    }
  }
}

const Queue* Scheduler::FindNewerQueue(const JobRecord& record) const {
  return m_configuration.version < record.policy_version
             ? nullptr
             : m_configuration.Find(record.queue);
}

void Scheduler::SetDrainedDomains(std::set<DomainId> domains) {
  m_drained_domains = std::move(domains);
}

void Scheduler::AddJob(JobRecord record, Duration age) {
  if (m_jobs.contains(record.id) || m_held_back.contains(record.id)) {
    return;
  }
  if (const Queue* queue = FindNewerQueue(record)) {
    record.policy = queue->policy;
  }
  const JobId id = record.id;
  m_jobs.emplace(id,
                 std::make_unique<Job>(std::move(record), m_clock.Now() - age));
}

Result<void> Scheduler::RestoreProgress(const JobId& id,
                                        const std::string& bytes,
                                        std::uint64_t revision) {
  Job* job = FindJob(id);
  if (job == nullptr) {
    HoldBack(id, "its progress is stored without the job");
    return Fail(ErrorCode::kNotFound, "job " + id.value() + " is not stored");
  }
  auto restored = job->RestoreProgress(bytes, revision);
  if (!restored) {
    HoldBack(id, restored.error().detail);
    return restored;
  }
  job->ForEachTask([&](const TaskKey& key, Task& task) {
    if (!task.placed()) {
      return;
    }
    Host& host = m_hosts.try_emplace(task.placement.host, task.placement.host)
                     .first->second;
    HostedRun run = MakeRun(job->spec().steps[key.step]);
    run.recovered = true;
    run.acquits_after = AcquittalOf(task);
    run.incarnation = task.placement.incarnation;
    host.runs.emplace(TaskRun{key, task.run}, std::move(run));
    task.placed_at = m_clock.Now();
  });
  job->ForEachTask([&](const TaskKey& key, Task& task) {
    for (const SuspectedCrash& crash : task.crashes.early) {
      m_suspects[{crash.host, crash.incarnation}].insert(key);
      m_crashes.Add(crash.host, crash.incarnation, m_clock.Now());
    }
    for (const LateCrash& crash : task.crashes.late) {
      m_crashes.Add(crash.host, crash.incarnation, m_clock.Now());
    }
  });
  if (!job->active()) {
    StopTasksOf(*job);
    m_ended_jobs.emplace_back(m_clock.Now(), id);
  }
  return {};
}

Result<void> Scheduler::RestoreInterference(const std::string& bytes) {
  return zinniacart::RestoreInterference(bytes, m_interference, m_clock.Now(),
                                         WallClockMilliseconds());
}

void Scheduler::Pin(const JobId& id) {
  if (m_jobs.contains(id)) {
    m_pinned.insert(id);
  }
}

void Scheduler::Unpin(const JobId& id) {
  m_pinned.erase(id);
}

void Scheduler::CancelJob(const JobId& id) {
  Job* job = FindJob(id);
  if (job == nullptr || !job->active()) {
    return;
  }
  job->Cancel();
  m_ended_jobs.emplace_back(m_clock.Now(), id);
  m_log({"job cancelled", TaskRun{TaskKey{id}, {}}, {}, {}});
  StopTasksOf(*job);
}

void Scheduler::StopTasksOf(Job& job) {
  StopOriginalsOf(job.id());
  job.ForEachTask([&](const TaskKey& key, Task& task) {
    if (!task.placed()) {
      return;
    }
    task.phase = TaskPhase::kStopping;
    Host& host = m_hosts.at(task.placement.host);
    const TaskRun id{key, task.run};
    const auto found = host.runs.find(id);
    if (found == host.runs.end()) {
      return;
    }
    HostedRun& run = found->second;
    if (!run.ordered && !run.recovered) {
      DropRun(host, id, {}, false,
              "the job was cancelled before the start was ordered");
      return;
    }
    host.OrderStop(run);
  });
}

void Scheduler::AddHost(const HostId& id) {
  m_hosts.try_emplace(id, id);
}

void Scheduler::OnTick() {
  const Instant now = m_clock.Now();
  m_polling_since = m_polling_since.value_or(now);
  for (auto& [id, host] : m_hosts) {
    if (host.reachable &&
        now - host.last_report_at > m_settings.report_timeout) {
      host.reachable = false;
    }
    const bool overdue = now - host.last_report_at > m_settings.report_timeout;
    if (!host.runs.empty() && (overdue || host.without_worker) &&
        now > host.granted_stamp_received.value_or(m_ownership_began) +
                  LeaseExpiryBound(host)) {
      ExpireRuns(
          host,
          "no report of its runs from the host and its lease has expired");
    }
    for (auto& [run_id, run] : host.runs) {
      const bool unconfirmed = (run.ordered && !run.started) || run.stopping;
      if (unconfirmed && run.delivered_to != Incarnation() &&
          now - run.delivered_at > m_settings.redelivery_delay) {
        run.delivered_to = {};
        host.has_orders = true;
      }
    }
    if (!host.orphans.empty()) {
      host.has_orders = true;
    }
  }
  DuplicateRunsOfUnresponsiveHosts();
  MoveHaltedRuns();
  MitigateStragglers();
  if (now - m_checkpoints_saved_at > m_settings.checkpoint_interval) {
    m_checkpoints_saved_at = now;
    SaveCheckpoints();
  }
  if (now - m_consolidated_at > m_settings.consolidation_interval) {
    m_consolidated_at = now;
    Consolidate();
  }
  if (now - m_load_logged_at > m_settings.load_log_interval) {
    m_load_logged_at = now;
    LogLoad();
    LogOrder();
  }
  ForgetEndedJobs();
}

void Scheduler::ForgetEndedJobs() {
  const Instant now = m_clock.Now();
  while (!m_ended_jobs.empty() &&
         now - m_ended_jobs.front().first > m_settings.ended_job_retention) {
    const JobId ended = std::move(m_ended_jobs.front().second);
    m_ended_jobs.pop_front();
    if (m_pinned.contains(ended)) {
      m_ended_jobs.emplace_back(now, ended);
    } else {
      Forget(ended);
    }
  }
}

void Scheduler::Forget(const JobId& id) {
  std::erase_if(m_serving_loads,
                [&id](const auto& entry) { return entry.first.job == id; });
  m_siblings.Forget(id);
  m_step_times.Forget(id);
  StopOriginalsOf(id);
  ForgetSuspectsOf(id);
  m_pinned.erase(id);
  m_jobs.erase(id);
}

void Scheduler::HoldBack(const JobId& id, const std::string& reason) {
  if (Job* job = FindJob(id)) {
    StopTasksOf(*job);
    Forget(id);
  }
  m_held_back.insert(id);
  m_log({"job held back", TaskRun{TaskKey{id}, {}}, {}, reason});
}

void Scheduler::LogLoad() {
  std::int64_t free = 0;
  std::int64_t idle = 0;
  std::int64_t best_effort_use = 0;
  std::size_t halted = 0;
  for (const auto& [id, host] : m_hosts) {
    if (!host.IsSchedulable(m_clock.Now())) {
      continue;
    }
    free += host.Free().millicores;
    idle += host.IdleMillicores();
    for (const auto& [run_id, run] : host.runs) {
      best_effort_use += run.best_effort ? run.latest.measure : 0;
      halted += run.halted_at ? 1 : 0;
    }
  }
  std::size_t waiting = 0;
  std::array<std::size_t, 3> waiting_by_tier{};
  for (const ReadyStep& ready : ReadySteps()) {
    if (ready.overdue) {
      continue;  // Its tasks are also counted with the other ones of the step.
    }
    const auto& tasks = ready.job->At(ready.occurrence, ready.step).tasks;
    const auto pending = static_cast<std::size_t>(std::count_if(
        tasks.begin(), tasks.end(),
        [](const Task& task) { return task.phase == TaskPhase::kPending; }));
    waiting += pending;
    if (ready.tier) {
      waiting_by_tier.at(static_cast<std::size_t>(*ready.tier)) += pending;
    }
  }
  m_log({"load",
         {},
         {},
         std::to_string(waiting) + " tasks pending (" +
             std::to_string(waiting_by_tier[0]) + " in time, " +
             std::to_string(waiting_by_tier[1]) + " within three objectives, " +
             std::to_string(waiting_by_tier[2]) + " later), " +
             std::to_string(free) + " millicores free, " +
             std::to_string(idle) + " idle millicores, " +
             std::to_string(best_effort_use) + " used by best-effort tasks, " +
             std::to_string(halted) + " best-effort tasks halted, " +
             std::to_string(CountHeldTasks()) + " tasks held of " +
             std::to_string(m_jobs.size()) + " jobs"});
}

void Scheduler::SaveCheckpoints() {
  for (auto& [host_id, host] : m_hosts) {
    for (auto& [id, run] : host.runs) {
      Job* job = FindJob(id.task.job);
      if (job == nullptr || !job->active() ||
          run.latest.checkpoint.value().empty() ||
          !job->spec().steps[id.task.step].checkpoints) {
        continue;
      }
      const Task* task = job->Find(id.task);
      if (task != nullptr && task->run == id.run &&
          task->checkpoint != run.latest.checkpoint) {
        job->SaveCheckpoint(id.task, run.latest.checkpoint);
        MarkCheckpointDirty(*job);
      }
    }
  }
}

Duration Scheduler::LeaseExpiryBound(const Host& host) const {
  const Duration max_lease = m_settings.times.MaxLeaseDuration();
  // Until this owner grants a stamp, the previous owner may have granted one
  // while its own ownership was confirmed recently enough.
  return host.granted_stamp_received
             ? max_lease
             : max_lease + m_settings.times.max_confirmation_age;
}

std::vector<ProgressWrite> Scheduler::TakeWrites(std::size_t limit) {
  std::vector<ProgressWrite> writes;
  for (JobQueue* queue : {&m_dirty, &m_checkpoint_dirty}) {
    while (writes.size() < limit) {
      const auto id = queue->TakeFirst();
      if (!id) {
        break;
      }
      Job* job = FindJob(*id);
      const bool taken =
          std::any_of(writes.begin(), writes.end(),
                      [&](const auto& write) { return write.job == *id; });
      if (job != nullptr && job->dirty() && !taken) {
        writes.push_back(ProgressWrite{*id, job->EncodeProgress(),
                                       job->version(), job->revision()});
        job->NoteAttempt(writes.back().bytes);
      }
    }
  }
  return writes;
}

void Scheduler::OnWritten(const std::vector<ProgressWrite>& writes,
                          std::uint64_t revision) {
  for (const ProgressWrite& write : writes) {
    Job* job = FindJob(write.job);
    if (job == nullptr) {
      continue;
    }
    const bool was_visible = IsTerminal(job->visible_state());
    job->MarkWritten(write.version, revision);
    if (!was_visible && IsTerminal(job->visible_state())) {
      m_ended_jobs.emplace_back(m_clock.Now(), write.job);
      m_log({"job ended",
             TaskRun{TaskKey{write.job}, {}},
             {},
             ToString(job->visible_state())});
    }
    ReleaseOrders(*job);
  }
  for (auto& [id, host] : m_hosts) {
    AdvanceRecordedEnds(host);
  }
}

void Scheduler::OnWriteFailed(const std::vector<ProgressWrite>& writes) {
  for (const ProgressWrite& write : writes) {
    if (Job* job = FindJob(write.job)) {
      MarkDirty(*job);
    }
  }
}

void Scheduler::OnWriteConflict(const std::map<JobId, StoredProgress>& stored) {
  for (const auto& [id, progress] : stored) {
    Job* job = FindJob(id);
    if (job == nullptr) {
      continue;
    }
    const bool known = progress.revision == 0 ||
                       progress.revision == job->revision() ||
                       job->HasAttempted(progress.bytes);
    if (!known) {
      HoldBack(id, "its progress is stored at revision " +
                       std::to_string(progress.revision) +
                       " and was not read; the last known revision is " +
                       std::to_string(job->revision()));
      continue;
    }
    job->SetRevision(progress.revision);
    MarkDirty(*job);
  }
}

void Scheduler::ReleaseOrders(Job& job) {
  job.ForEachTask([&](const TaskKey& key, Task& task) {
    if (task.phase != TaskPhase::kPlaced) {
      return;
    }
    Host& host = m_hosts.at(task.placement.host);
    const auto found = host.runs.find(TaskRun{key, task.run});
    if (found == host.runs.end()) {
      return;
    }
    HostedRun& run = found->second;
    if (!run.ordered && !run.recovered &&
        run.job_version <= job.written_version()) {
      run.ordered = true;
      host.has_orders = true;
    }
  });
}

void Scheduler::AdvanceRecordedEnds(Host& host) {
  while (!host.pending_ends.empty()) {
    const auto& [number, end] = *host.pending_ends.begin();
    const Job* job = FindJob(end.job);
    if (job != nullptr && job->written_version() < end.job_version) {
      return;
    }
    host.recorded_ends = number;
    host.pending_ends.erase(host.pending_ends.begin());
  }
}

std::vector<HostId> Scheduler::HostsWithOrders() const {
  std::vector<HostId> hosts;
  for (const auto& [id, host] : m_hosts) {
    if (host.has_orders && host.listed && !host.without_worker) {
      hosts.push_back(id);
    }
  }
  return hosts;
}

HostOrders Scheduler::TakeOrders(const HostId& id, bool grant) {
  Host& host = m_hosts.at(id);
  HostOrders orders;
  orders.epoch = m_epoch;
  orders.owner = m_owner;
  orders.incarnation = host.incarnation;
  orders.recorded_ends = host.recorded_ends;
  if (grant && host.listed && !host.without_worker) {
    host.granted_stamp_received = host.stamp_received;
    orders.granted_stamp = host.stamp;
  }
  for (const TaskRun& withdrawn : host.WithdrawStartsBeyondCapacity()) {
    m_log({"run stopped", withdrawn, host.id(),
           "the worker's capacity has shrunk before it was started"});
  }
  host.has_orders = false;
  if (host.without_worker) {
    return orders;
  }
  const Instant now = m_clock.Now();
  for (auto& [run_id, run] : host.runs) {
    if (run.started && run.pace_pending) {
      orders.paces.push_back(PaceOrder{run_id, run.wanted_percent});
      run.pace_pending = false;
    }
    if (run.delivered_to == host.agent && host.agent != Incarnation()) {
      continue;
    }
    if (run.stopping) {
      orders.stops.push_back(run_id);
    } else if (run.ordered && !run.started) {
      if (run.first_delivered_to == Incarnation()) {
        run.first_delivered_to = host.agent;
      }
      orders.starts.push_back(run.order);
      ++run.start_deliveries;
      run.start_delivered_at = now;
    } else {
      continue;
    }
    run.delivered_to = host.agent;
    run.delivered_at = now;
  }
  orders.stops.insert(orders.stops.end(), host.orphans.begin(),
                      host.orphans.end());
  host.orphans.clear();
  return orders;
}

void Scheduler::OnOrdersLost(const HostId& id) {
  const auto found = m_hosts.find(id);
  if (found == m_hosts.end()) {
    return;
  }
  Host& host = found->second;
  for (auto& [run_id, run] : host.runs) {
    if (!run.started || run.stopping) {
      run.delivered_to = {};
      host.has_orders = true;
    }
    if (run.best_effort && run.started) {
      run.pace_pending = true;
    }
  }
}

std::optional<JobState> Scheduler::StateOf(const JobId& id) const {
  const auto found = m_jobs.find(id);
  if (found == m_jobs.end()) {
    return std::nullopt;
  }
  return found->second->visible_state();
}

std::size_t Scheduler::CountWaiting(const QueueId& queue) const {
  return static_cast<std::size_t>(
      std::count_if(m_jobs.begin(), m_jobs.end(), [&](const auto& entry) {
        const Job& job = *entry.second;
        return job.record().queue == queue && job.active() && !job.begun();
      }));
}

std::size_t Scheduler::CountHeldTasks() const {
  std::size_t held = 0;
  for (const auto& [id, job] : m_jobs) {
    std::size_t tasks = 0;
    for (const StepSpec& step : job->spec().steps) {
      tasks += step.count;
    }
    held += tasks * job->occurrences().open().size();
  }
  return held;
}

void Scheduler::MarkDirty(Job& job) {
  m_dirty.Add(job.id());
}

void Scheduler::MarkCheckpointDirty(Job& job) {
  m_checkpoint_dirty.Add(job.id());
}

void Scheduler::JobQueue::Add(const JobId& job) {
  if (members.insert(job).second) {
    order.push_back(job);
  }
}

std::optional<JobId> Scheduler::JobQueue::TakeFirst() {
  if (order.empty()) {
    return std::nullopt;
  }
  JobId job = std::move(order.front());
  order.pop_front();
  members.erase(job);
  return job;
}

Job* Scheduler::FindJob(const JobId& id) {
  const auto found = m_jobs.find(id);
  return found == m_jobs.end() ? nullptr : found->second.get();
}

}  // namespace zinniacart
