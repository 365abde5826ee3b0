#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/error.h"
#include "jobs/job_record.h"
#include "jobs/job_state.h"
#include "jobs/task_key.h"
#include "scheduling/crash_verdict.h"
#include "scheduling/host_messages.h"

namespace zinniacart {

enum class TaskPhase {
  kPending,   ///< Not placed.
  kPlaced,    ///< Running on a host, or possibly running.
  kStopping,  ///< Placed, with a stop ordered.
  kDone,
};

/// The host and the worker incarnation that have a run.
struct Placement {
  HostId host;
  WorkerIncarnation incarnation;

  bool operator==(const Placement&) const = default;
};

/// One task of a job.
struct Task {
  TaskPhase phase = TaskPhase::kPending;
  std::uint32_t failures = 0;
  RunNumber run;  ///< The newest run; 0 if never placed.
  Placement placement;
  CheckpointId checkpoint;
  /// Hosts to avoid because they failed or refused a run of the task, once per
  /// occasion; not persisted.
  std::vector<HostId> failed_on;
  Instant placed_at;  ///< Not persisted.
  /// When a run of it was last known to be at work; not persisted.
  Instant worked_until;
  /// The crashes that the task is suspected of, since a run last survived its
  /// start.
  std::vector<SuspectedCrash> crashes;
  /// The run that last cleared the task of a suspicion by surviving its start.
  RunNumber proven_run;
  /// Its last run vanished with its host just after it was started: it may or
  /// may not have been the cause. Not persisted.
  bool vanished = false;
  /// The host to which the task is being moved; its next placement prefers it.
  /// Empty while no move is in progress; not persisted.
  HostId move_target;

  /// @returns whether the next run must be watched apart from other suspects.
  bool suspect() const { return vanished || !crashes.empty(); }
  bool placed() const {
    return phase == TaskPhase::kPlaced || phase == TaskPhase::kStopping;
  }
};

/// The tasks of one step in one occurrence of the job.
struct StepTasks {
  std::vector<Task> tasks;
  std::uint32_t done = 0;
  RunNumber failed_gang_run;  ///< Newest gang run counted as failed.
  std::uint32_t gang_failures = 0;

  bool complete() const { return done == tasks.size(); }
};

/// A job and the progress of its tasks. Every change that must be persisted
/// increments `version`. The caller then stores `EncodeProgress` and confirms
/// the write with `MarkWritten`; until then a final state stays invisible to
/// callers.
class Job final {
 public:
  Job(JobRecord record, Instant accepted);

  const JobRecord& record() const { return m_record; }
  const JobSpec& spec() const { return m_record.spec; }
  const JobId& id() const { return m_record.id; }
  const QueuePolicy& policy() const { return m_record.policy; }
  void SetPolicy(const QueuePolicy& policy) { m_record.policy = policy; }
  /// When the job was accepted, on the clock of this process.
  Instant accepted() const { return m_accepted; }

  StepTasks& At(std::uint32_t occurrence, std::uint32_t step) {
    return m_steps[occurrence * spec().steps.size() + step];
  }
  const StepTasks& At(std::uint32_t occurrence, std::uint32_t step) const {
    return m_steps[occurrence * spec().steps.size() + step];
  }
  /// @returns the task, nullptr if the job has no such task.
  Task* Find(const TaskKey& key);

  /// @returns whether all steps that the step depends on are done.
  bool Unblocked(std::uint32_t occurrence, std::uint32_t step) const;

  /// Records that run `run` of the task was placed on `placement`.
  void Place(const TaskKey& key,
             RunNumber run,
             const Placement& placement,
             Instant now);
  /// Makes the task pending again because its newest run has ended, or never
  /// started. Does nothing for a task that is done.
  /// @param checkpoint the newest checkpoint; if empty, the known one is kept.
  /// @param failed whether to count a failed attempt and avoid the host.
  void Release(const TaskKey& key, const CheckpointId& checkpoint, bool failed);
  /// Counts the failure of a duplicate run that is no longer the newest run of
  /// the task.
  void CountDuplicateRunFailure(const TaskKey& key);
  /// Records that the task is done; for a gang, that all its members are.
  void Finish(const TaskKey& key);
  /// Records the newest checkpoint of a task that keeps running.
  void SaveCheckpoint(const TaskKey& key, const CheckpointId& checkpoint);
  /// Records a crash that the task is suspected of.
  /// @returns false if a crash of that run is recorded already, or if the run
  /// or a newer one has survived its start.
  bool Suspect(const TaskKey& key, const SuspectedCrash& crash);
  /// The other suspects of a recorded crash have been cleared.
  void BecomeSoleSuspect(const TaskKey& key,
                         const HostId& host,
                         const WorkerIncarnation& incarnation);
  /// The run `proven` of the task has survived its start: nothing is left of
  /// suspicions.
  void ClearSuspicion(const TaskKey& key, RunNumber proven);
  /// Ends the job as cancelled.
  void Cancel();
  /// Ends the job as failed.
  void MarkFailed();

  /// @returns the state that callers may see; a final state is visible only
  /// once it is stored.
  JobState visible_state() const;
  /// @returns the current state, stored or not.
  JobState state() const { return m_state; }
  bool active() const { return !IsTerminal(m_state); }
  /// @returns whether a task has ever been placed.
  bool begun() const { return m_begun; }
  /// @returns the work of the tasks that are not done, in core-seconds, with
  /// the run times that `estimate_time` gives.
  double CoreSecondsLeft(const RunTimeEstimator& estimate_time) const;
  /// @returns the run number for the next start of the task.
  RunNumber NextRun(const TaskKey& key) const;

  std::uint64_t version() const { return m_version; }
  std::uint64_t written_version() const { return m_written_version; }
  std::uint64_t revision() const { return m_revision; }
  bool dirty() const { return m_version > m_written_version; }
  /// Records that `version` is stored, at store revision `revision`.
  void MarkWritten(std::uint64_t version, std::uint64_t revision);
  /// Sets the store revision of the progress without marking a version written.
  void SetRevision(std::uint64_t revision);
  /// Records that a write of `bytes` is attempted.
  void NoteAttempt(const std::string& bytes) { m_attempts.insert(bytes); }
  /// @returns whether a write of `bytes` was attempted since the revision last
  /// changed.
  bool HasAttempted(const std::string& bytes) const {
    return m_attempts.contains(bytes);
  }

  /// @returns the progress as the JSON text that is stored.
  std::string EncodeProgress() const;
  /// Restores progress that `EncodeProgress` produced.
  /// @returns `kInvalidArgument` if `bytes` is malformed; the progress may then
  /// be partly restored.
  Result<void> RestoreProgress(const std::string& bytes,
                               std::uint64_t revision);

  /// Calls `visit` for each task with its key.
  void ForEachTask(const std::function<void(const TaskKey&, Task&)>& visit);

 private:
  void FinishOne(StepTasks& step, Task& task);
  void CountFailure(const TaskKey& key, StepTasks& step, Task& task);
  void IncrementVersion() { ++m_version; }

  JobRecord m_record;
  const Instant m_accepted;
  std::vector<StepTasks> m_steps;
  std::size_t m_open_steps = 0;
  JobState m_state = JobState::kQueued;
  JobState m_written_state = JobState::kQueued;
  bool m_begun = false;
  std::uint64_t m_version = 0;
  std::uint64_t m_written_version = 0;
  std::uint64_t m_ended_version = 0;  ///< Version in which the job ended.
  std::uint64_t m_revision = 0;
  /// The progress that was sent to the store since the revision last changed.
  std::set<std::string> m_attempts;
};

}  // namespace zinniacart
