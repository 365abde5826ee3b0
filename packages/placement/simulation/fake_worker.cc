#include "placement/simulation/fake_worker.h"

#include <algorithm>
#include <cstdlib>

namespace zinniacart::simulation {
namespace {

/// Interval at which tasks are updated, in milliseconds.
constexpr Duration kAdvanceInterval{20};

}  // namespace

FakeWorker::FakeWorker(EventQueue& events,
                       Oracle& oracle,
                       const HostClock& clock,
                       HostId host,
                       DomainId domain,
                       Resources capacity)
    : m_events(events),
      m_oracle(oracle),
      m_clock(clock),
      m_host(std::move(host)),
      m_domain(std::move(domain)),
      m_capacity(capacity) {}

Result<void> FakeWorker::Attach(Incarnation incarnation) {
  m_incarnation = std::max(m_incarnation, incarnation);
  return {};
}

std::vector<WorkerTaskStatus> FakeWorker::List() {
  Advance();
  std::vector<WorkerTaskStatus> statuses;
  for (const auto& [id, task] : m_tasks) {
    statuses.push_back(task.status);
  }
  return statuses;
}

Result<void> FakeWorker::Start(Incarnation incarnation,
                               const WorkerTask& task,
                               Instant not_after,
                               Instant lease_until) {
  Advance();
  const auto found = m_tasks.find(task.task);
  const bool is_running =
      found != m_tasks.end() &&
      found->second.status.state == WorkerTaskState::kRunning;
  if (incarnation != m_incarnation || is_running || m_clock.Now() > not_after) {
    return Fail(ErrorCode::kPreconditionFailed, "refused by the worker");
  }
  Task started;
  started.status.task = task;
  started.status.lease_until = lease_until;
  started.status.checkpoint = task.resume_from;
  const std::string& resume = task.resume_from.value();
  started.progress =
      Duration(resume.empty() ? 0 : std::strtoll(resume.c_str(), nullptr, 10));
  started.progress_at = m_clock.Now();
  m_tasks[task.task] = started;
  m_oracle.OnStarted(task.task, task.generation, m_host, m_domain, resume,
                     UsedResources(), m_capacity, m_events.now());
  if (m_fails_everything) {
    EndTask(task.task, m_tasks[task.task], WorkerTaskState::kFailed);
  }
  return {};
}

Result<void> FakeWorker::Renew(Incarnation incarnation,
                               const TaskId& task,
                               Generation generation,
                               Instant lease_until) {
  Advance();
  const auto found = m_tasks.find(task);
  const bool matches = incarnation == m_incarnation && found != m_tasks.end() &&
                       found->second.status.task.generation == generation &&
                       found->second.status.state == WorkerTaskState::kRunning;
  if (!matches) {
    return Fail(ErrorCode::kPreconditionFailed, "refused by the worker");
  }
  Instant& until = found->second.status.lease_until;
  until = std::max(until, lease_until);
  return {};
}

Result<CheckpointId> FakeWorker::Stop(Incarnation incarnation,
                                      const TaskId& task,
                                      Generation generation) {
  Advance();
  const auto found = m_tasks.find(task);
  const bool matches = incarnation == m_incarnation && found != m_tasks.end() &&
                       found->second.status.task.generation == generation;
  if (!matches) {
    return Fail(ErrorCode::kPreconditionFailed, "refused by the worker");
  }
  if (found->second.status.state == WorkerTaskState::kRunning) {
    EndTask(task, found->second, WorkerTaskState::kStopped);
  }
  return found->second.status.checkpoint;
}

void FakeWorker::Forget(Incarnation incarnation,
                        const TaskId& task,
                        Generation generation) {
  const auto found = m_tasks.find(task);
  const bool matches = incarnation == m_incarnation && found != m_tasks.end() &&
                       found->second.status.task.generation == generation &&
                       found->second.status.state != WorkerTaskState::kRunning;
  if (matches) {
    m_tasks.erase(found);
  }
}

void FakeWorker::LosePower() {
  Advance();
  for (auto& [id, task] : m_tasks) {
    if (task.status.state == WorkerTaskState::kRunning) {
      m_oracle.OnEnded(id, task.status.task.generation, m_host);
    }
  }
  m_tasks.clear();
}

void FakeWorker::AdvancePeriodically() {
  Advance();
  m_events.ScheduleAfter(kAdvanceInterval, [this] { AdvancePeriodically(); });
}

void FakeWorker::Advance() {
  for (auto& [id, task] : m_tasks) {
    if (task.status.state == WorkerTaskState::kRunning) {
      Advance(id, task);
    }
  }
}

void FakeWorker::Advance(const TaskId& id, Task& task) {
  const Instant now = m_clock.Now();
  const Instant until =
      m_ignores_leases ? now : std::min(now, task.status.lease_until);
  task.progress += std::max(Duration(0), until - task.progress_at);
  task.progress_at = until;
  const Duration work = task.status.task.run_time;
  if (work.count() > 0 && task.progress >= work) {
    EndTask(id, task, WorkerTaskState::kFinished);
  } else if (!m_ignores_leases && now >= task.status.lease_until) {
    EndTask(id, task, WorkerTaskState::kStopped);
  }
}

void FakeWorker::EndTask(const TaskId& id, Task& task, WorkerTaskState state) {
  task.status.state = state;
  if (state == WorkerTaskState::kStopped) {
    const std::string checkpoint = std::to_string(task.progress.count());
    task.status.checkpoint = CheckpointId(checkpoint);
    m_oracle.OnCheckpoint(id, checkpoint);
  }
  if (state == WorkerTaskState::kFinished) {
    m_oracle.OnFinished(id);
  }
  m_oracle.OnEnded(id, task.status.task.generation, m_host);
}

Resources FakeWorker::UsedResources() const {
  Resources used;
  for (const auto& [id, task] : m_tasks) {
    if (task.status.state == WorkerTaskState::kRunning) {
      used += task.status.task.demand;
    }
  }
  return used;
}

}  // namespace zinniacart::simulation
