#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/error.h"
#include "base/ids.h"
#include "base/resources.h"

namespace zinniacart {

/// The state of a task on the worker.
enum class WorkerTaskState { kRunning, kFinished, kFailed, kStopped };

/// What the worker needs to run one task.
struct WorkerTask {
  TaskId task;
  Generation generation;
  ShardId shard;
  Resources demand;
  int task_class = 0;
  Duration run_time{0};
  CheckpointId resume_from;
};

/// One task in the list that the worker returns.
struct WorkerTaskStatus {
  WorkerTask task;
  WorkerTaskState state = WorkerTaskState::kRunning;
  Instant lease_until;
  CheckpointId checkpoint;
};

/// The worker on this host. All instants are on the host's monotonic clock, so
/// a call that arrives late is harmless: it starts no task after `not_after`
/// and extends no lease beyond the requested instant. Calls block; any thread
/// may call them.
class Worker {
 public:
  virtual ~Worker() = default;

  /// Makes `incarnation` the only agent incarnation whose calls the worker
  /// accepts.
  virtual Result<void> Attach(Incarnation incarnation) = 0;

  /// @returns the host's total capacity.
  virtual Result<Resources> Capacity() = 0;

  /// @returns every task that `Forget` has not removed.
  virtual Result<std::vector<WorkerTaskStatus>> List() = 0;

  /// Starts a task unless the clock is past `not_after`. The worker itself ends
  /// the task at `lease_until` if the lease is not extended.
  virtual Result<void> Start(const WorkerTask& task,
                             Instant not_after,
                             Instant lease_until) = 0;

  /// Extends a running task's lease to `lease_until`.
  virtual Result<void> Renew(const TaskId& task,
                             Generation generation,
                             Instant lease_until) = 0;

  /// Checkpoints and stops a task. @returns the checkpoint to resume from.
  virtual Result<CheckpointId> Stop(const TaskId& task,
                                    Generation generation) = 0;

  /// Limits a task to `percent` of its processor time.
  virtual Result<void> Throttle(const TaskId& task, int percent) = 0;

  /// Removes an ended task from the worker's list.
  virtual Result<void> Forget(const TaskId& task, Generation generation) = 0;
};

}  // namespace zinniacart
