#include "placement/shard_change.h"

#include <algorithm>

namespace zinniacart {
namespace {

bool SameSpecification(const JobRecord& a, const JobRecord& b) {
  return a.team == b.team && a.task_class == b.task_class &&
         a.priority == b.priority && a.demand == b.demand &&
         a.run_time == b.run_time && a.service == b.service;
}

Result<void> Apply(const AssignChange& change, ShardRecord& record) {
  TaskRecord* task = record.FindTask(change.task);
  if (task == nullptr || IsFinal(task->status)) {
    return Fail(ErrorCode::kPreconditionFailed, "cancelled meanwhile");
  }
  task->generation = task->generation.Next();
  task->host = change.host;
  task->status = TaskStatus::kAssigned;
  return {};
}

TaskStatus StatusAfter(const FinishChange& change,
                       const JobRecord& job,
                       TaskRecord& task) {
  const bool finished = change.state == ReportedState::kFinished;
  if (finished && !job.service) {
    return TaskStatus::kFinished;
  }
  if (job.IsCancelled(task)) {
    return TaskStatus::kCancelled;
  }
  if (finished || change.state == ReportedState::kFailed) {
    ++task.failures;
  }
  const bool given_up = !job.service && task.failures >= kMaxTaskFailures;
  return given_up ? TaskStatus::kFailed : TaskStatus::kPending;
}

Result<void> Apply(const FinishChange& change, ShardRecord& record) {
  TaskRecord* task = record.FindTask(change.task);
  const bool current = task != nullptr && !IsFinal(task->status) &&
                       task->generation == change.generation;
  if (!current) {
    return Fail(ErrorCode::kPreconditionFailed, "superseded");
  }
  const JobRecord& job = *record.FindJob(JobOf(change.task));
  if (!change.checkpoint.value().empty()) {
    task->checkpoint = change.checkpoint;
  }
  task->status = StatusAfter(change, job, *task);
  return {};
}

void SetReplicas(const AddJobChange& change, JobRecord& job) {
  job.replicas = change.job.replicas;
  job.cancelled = false;
  while (static_cast<int>(job.tasks.size()) < job.replicas) {
    const int index = static_cast<int>(job.tasks.size());
    TaskRecord task;
    task.task = MakeTaskId(job.job, index);
    job.tasks.push_back(task);
  }
  for (TaskRecord& task : job.tasks) {
    const bool reactivated = !job.IsCancelled(task) && job.service &&
                             task.status == TaskStatus::kCancelled;
    if (reactivated) {
      task.status = TaskStatus::kPending;
    }
  }
}

Result<void> Apply(const AddJobChange& change, ShardRecord& record) {
  JobRecord* existing = record.FindJob(change.job.job);
  if (existing == nullptr) {
    record.jobs.push_back(change.job);
    JobRecord& added = record.jobs.back();
    added.tasks.clear();
    SetReplicas(change, added);
    return {};
  }
  if (existing->service && change.job.service) {
    existing->demand = change.job.demand;
    SetReplicas(change, *existing);
    return {};
  }
  const bool same = SameSpecification(*existing, change.job) &&
                    existing->replicas == change.job.replicas;
  if (!same) {
    return Fail(ErrorCode::kConflict,
                "another job has this name: " + change.job.job.value());
  }
  return {};
}

Result<void> Apply(const CancelJobChange& change, ShardRecord& record) {
  JobRecord* job = record.FindJob(change.job);
  if (job == nullptr) {
    return Fail(ErrorCode::kNotFound, change.job.value());
  }
  job->cancelled = true;
  for (TaskRecord& task : job->tasks) {
    if (task.status == TaskStatus::kPending) {
      task.status = TaskStatus::kCancelled;
    }
  }
  return {};
}

Result<void> Apply(const ChangeOwnerChange&, ShardRecord&) {
  return {};
}

}  // namespace

Result<void> ApplyChange(const ShardChange& change, ShardRecord& record) {
  return std::visit(
      [&](const auto& kind) -> Result<void> { return Apply(kind, record); },
      change);
}

void DropOldestDoneJobs(ShardRecord& record) {
  const auto done = std::count_if(
      record.jobs.begin(), record.jobs.end(),
      [](const JobRecord& job) { return job.IsDone() && !job.service; });
  auto excess = done - static_cast<std::ptrdiff_t>(kMaxDoneJobs);
  std::erase_if(record.jobs, [&](const JobRecord& job) {
    const bool drop = excess > 0 && job.IsDone() && !job.service;
    excess -= drop ? 1 : 0;
    return drop;
  });
}

}  // namespace zinniacart
