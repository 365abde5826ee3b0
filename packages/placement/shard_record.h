#pragma once

#include <string>
#include <vector>

#include "base/clock.h"
#include "base/error.h"
#include "base/ids.h"
#include "base/resources.h"

namespace zinniacart {

/// The class of a task. Earlier enumerators are scheduled first.
enum class TaskClass { kLatencyCritical, kUrgent, kBatch };

/// The status of a task as stored in the shard's record.
enum class TaskStatus { kPending, kAssigned, kFinished, kFailed, kCancelled };

/// @returns whether the status is final.
bool IsFinal(TaskStatus status);
/// @returns the status's stable name.
const char* ToString(TaskStatus status);
/// @returns the class's stable name.
const char* ToString(TaskClass task_class);

/// The stored state of one task. `generation` and `host` identify its latest
/// placement, which is written before the host is asked to start the task.
struct TaskRecord {
  TaskId task;
  Generation generation;
  HostId host;
  TaskStatus status = TaskStatus::kPending;
  CheckpointId checkpoint;
  int failures = 0;

  bool operator==(const TaskRecord&) const = default;
};

/// The stored state of one job, or of one service and its replicas.
struct JobRecord {
  JobId job;
  TeamId team;
  TaskClass task_class = TaskClass::kBatch;
  int priority = 0;
  Resources demand;
  Duration run_time{0};
  bool cancelled = false;
  bool service = false;
  /// Number of tasks to run; tasks with this index or a higher one are
  /// cancelled.
  int replicas = 0;
  std::vector<TaskRecord> tasks;

  bool operator==(const JobRecord&) const = default;
  /// @returns whether the task is to be stopped.
  /// @param task an element of `tasks`.
  bool IsCancelled(const TaskRecord& task) const;
  /// @returns whether every task has a final status.
  bool IsDone() const;
};

/// The stored state of one shard: its owner and all its jobs, in a single
/// value that is written by compare-and-swap. A write by a former owner fails,
/// because the version has changed since.
struct ShardRecord {
  EntryId owner;
  Incarnation owner_incarnation;
  Epoch epoch;
  /// Identifies the write, so that the owner can tell whether a write whose
  /// response was lost took effect.
  std::string commit_id;
  std::vector<JobRecord> jobs;

  /// @returns the job, or null where the shard has none with this id.
  JobRecord* FindJob(const JobId& job);
  /// @returns the task, or null where the shard has none with this id.
  TaskRecord* FindTask(const TaskId& task);
};

/// @returns the key of the shard's record in the store.
StoreKey ShardKey(ShardId shard);

/// @returns the record encoded for the store.
std::string Serialize(const ShardRecord& record);
/// @returns the record, or `kInternal` where `bytes` can't be parsed.
Result<ShardRecord> ParseShardRecord(const std::string& bytes);

/// @returns the id of a team's job.
JobId MakeJobId(const TeamId& team, const std::string& name);
/// @returns the id of a job's task.
TaskId MakeTaskId(const JobId& job, int index);
/// @returns the job that a task id belongs to.
JobId JobOf(const TaskId& task);

}  // namespace zinniacart
