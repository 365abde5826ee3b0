#pragma once

#include <string>
#include <vector>

#include "base/clock.h"
#include "base/error.h"
#include "base/ids.h"
#include "base/resources.h"

namespace zinniacart {

/// What a task is worth; earlier ones go first.
enum class TaskClass { kLatencyCritical, kUrgent, kBatch };

/// How a task stands, durably.
enum class TaskStatus { kPending, kAssigned, kFinished, kFailed, kCancelled };

/// @returns whether the status is final.
bool IsFinal(TaskStatus status);
/// @returns the status's stable name.
const char* ToString(TaskStatus status);
/// @returns the class's stable name.
const char* ToString(TaskClass task_class);

/// One task as the store holds it. `generation` and `host` name the latest
/// placement; it is written before the host is told to start.
struct TaskRecord {
  TaskId task;
  Generation generation;
  HostId host;
  TaskStatus status = TaskStatus::kPending;
  CheckpointId checkpoint;
  int failures = 0;

  bool operator==(const TaskRecord&) const = default;
};

/// One job, or one service's replicas, as the store holds it.
struct JobRecord {
  JobId job;
  TeamId team;
  TaskClass task_class = TaskClass::kBatch;
  int priority = 0;
  Resources demand;
  Duration run_time{0};
  bool cancelled = false;
  bool service = false;
  /// Tasks with an index from here on are cancelled.
  int replicas = 0;
  std::vector<TaskRecord> tasks;

  bool operator==(const JobRecord&) const = default;
  /// @returns whether the task with this position is to be stopped.
  bool IsCancelled(const TaskRecord& task) const;
  /// @returns whether every task has a final status.
  bool IsDone() const;
};

/// One shard: who owns it and all its work, in one compare-and-swapped
/// value. A write by a deposed owner fails, because the version has moved.
struct ShardRecord {
  EntryId owner;
  Incarnation owner_incarnation;
  Epoch epoch;
  std::string commit_id;  ///< Names the write, to resolve a lost answer.
  std::vector<JobRecord> jobs;

  /// @returns the job or null.
  JobRecord* FindJob(const JobId& job);
  /// @returns the task's record or null.
  TaskRecord* FindTask(const TaskId& task);
};

/// @returns the store's key of a shard.
StoreKey ShardKey(ShardId shard);

/// @returns the record as the store's bytes.
std::string Serialize(const ShardRecord& record);
/// @returns the record, or `kInternal` where `bytes` is not one.
Result<ShardRecord> ParseShardRecord(const std::string& bytes);

/// @returns the id of a team's job.
JobId MakeJobId(const TeamId& team, const std::string& name);
/// @returns the id of a job's task.
TaskId MakeTaskId(const JobId& job, int index);
/// @returns the job that a task id belongs to.
JobId JobOf(const TaskId& task);

}  // namespace zinniacart
