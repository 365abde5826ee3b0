#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/error.h"
#include "jobs/job_record.h"
#include "jobs/job_state.h"
#include "jobs/task_key.h"
#include "scheduling/host_messages.h"

namespace zinniacart {

enum class TaskPhase {
  kPending,   ///< Not placed.
  kPlaced,    ///< A host has it, or may have it.
  kStopping,  ///< Placed, and told to stop.
  kDone,
};

/// Where a run is.
struct Placement {
  HostId host;
  WorkerIncarnation incarnation;

  bool operator==(const Placement&) const = default;
};

/// One task of a job.
struct Task {
  TaskPhase phase = TaskPhase::kPending;
  std::uint32_t failures = 0;
  RunNumber run;  ///< The newest run; 0 before the first.
  Placement placement;
  CheckpointId checkpoint;
  /// Hosts to avoid, where runs failed or were refused; not persisted.
  std::vector<HostId> failed_on;
  Instant placed_at;  ///< Not persisted.
  /// Where the task is to go next, if it fits; not persisted.
  HostId move_target;

  bool placed() const {
    return phase == TaskPhase::kPlaced || phase == TaskPhase::kStopping;
  }
};

/// The tasks of one step in one occurrence of the job.
struct StepTasks {
  std::vector<Task> tasks;
  std::uint32_t done = 0;
  RunNumber failed_gang_run;  ///< The newest gang run counted as failed.
  std::uint32_t gang_failures = 0;

  bool complete() const { return done == tasks.size(); }
};

/// A job and how far its tasks are. Every change of what must last raises
/// `version`; the caller writes `EncodeProgress` and reports it written.
class Job final {
 public:
  Job(JobRecord record, Instant accepted);

  const JobRecord& record() const { return m_record; }
  const JobSpec& spec() const { return m_record.spec; }
  const JobId& id() const { return m_record.id; }
  const QueuePolicy& policy() const { return m_record.policy; }
  void SetPolicy(const QueuePolicy& policy) { m_record.policy = policy; }
  /// When the job was accepted, on this process's clock.
  Instant accepted() const { return m_accepted; }

  StepTasks& At(std::uint32_t occurrence, std::uint32_t step) {
    return m_steps[occurrence * spec().steps.size() + step];
  }
  const StepTasks& At(std::uint32_t occurrence, std::uint32_t step) const {
    return m_steps[occurrence * spec().steps.size() + step];
  }
  /// @returns the task, nullptr where the job has none of that name.
  Task* Find(const TaskKey& key);

  /// @returns whether the step's dependencies are done.
  bool Unblocked(std::uint32_t occurrence, std::uint32_t step) const;

  /// Records a run of `key` on `placement`.
  void Place(const TaskKey& key,
             RunNumber run,
             const Placement& placement,
             Instant now);
  /// Records that the newest run of `key` has ended or never was.
  /// @param failed counts the end as a failed attempt.
  void Release(const TaskKey& key, const CheckpointId& checkpoint, bool failed);
  /// Counts the failure of a run that is no longer the newest one.
  void CountDuplicateRunFailure(const TaskKey& key);
  /// Records that `key` is done; for a gang, all of its members.
  void Finish(const TaskKey& key);
  /// Records the newest checkpoint of a task that goes on.
  void SaveCheckpoint(const TaskKey& key, const CheckpointId& checkpoint);
  void Cancel();
  void GiveUp();

  /// @returns what callers may see: never ahead of what is written.
  JobState visible_state() const;
  /// @returns the state reached, written or not.
  JobState state() const { return m_state; }
  bool active() const { return !IsTerminal(m_state); }
  /// @returns whether a task has ever been placed.
  bool begun() const { return m_begun; }
  /// @returns the work of the tasks that are not done, in core-seconds.
  double CoreSecondsLeft(const RunTimeEstimator& time) const;
  /// @returns the run number that a new start of `key` takes.
  RunNumber NextRun(const TaskKey& key) const;

  std::uint64_t version() const { return m_version; }
  std::uint64_t written_version() const { return m_written_version; }
  std::uint64_t revision() const { return m_revision; }
  bool dirty() const { return m_version > m_written_version; }
  /// Records that `version` is stored, at `revision` of the store.
  void MarkWritten(std::uint64_t version, std::uint64_t revision);
  /// Records the store's revision of the progress without writing it.
  void SetRevision(std::uint64_t revision) { m_revision = revision; }

  std::string EncodeProgress() const;
  /// Restores what `EncodeProgress` gave.
  Result<void> RestoreProgress(const std::string& bytes,
                               std::uint64_t revision);

  /// Calls `visit` for each task with its key.
  void ForEachTask(const std::function<void(const TaskKey&, Task&)>& visit);

 private:
  void FinishOne(StepTasks& step, Task& task);
  void CountFailure(const TaskKey& key, StepTasks& step, Task& task);
  void Touch() { ++m_version; }

  JobRecord m_record;
  const Instant m_accepted;
  std::vector<StepTasks> m_steps;
  std::size_t m_open_steps = 0;
  JobState m_state = JobState::kQueued;
  JobState m_written_state = JobState::kQueued;
  bool m_begun = false;
  std::uint64_t m_version = 0;
  std::uint64_t m_written_version = 0;
  std::uint64_t m_ended_version = 0;  ///< Of the change that ended the job.
  std::uint64_t m_revision = 0;
};

}  // namespace zinniacart
