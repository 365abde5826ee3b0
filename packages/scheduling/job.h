#pragma once

#include <cstdint>
#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/error.h"
#include "jobs/job_record.h"
#include "jobs/job_state.h"
#include "jobs/task_key.h"
#include "scheduling/occurrence_table.h"
#include "scheduling/task.h"

namespace zinniacart {

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

  /// @returns the tasks of a step in an open occurrence.
  StepTasks& At(std::uint32_t occurrence, std::uint32_t step) {
    return m_occurrences.At(occurrence)[step];
  }
  const StepTasks& At(std::uint32_t occurrence, std::uint32_t step) const {
    return m_occurrences.At(occurrence)[step];
  }
  /// The occurrences. The job is held in memory by those that are open.
  const OccurrenceTable& occurrences() const { return m_occurrences; }
  /// @returns the first occurrence that is neither open nor complete.
  std::optional<std::uint32_t> FirstUnopenedOccurrence() {
    return m_occurrences.FirstUnopened();
  }
  /// Opens an occurrence that has come due. It must not be complete.
  void OpenOccurrence(std::uint32_t occurrence) {
    m_occurrences.Open(occurrence);
  }
  /// @returns whether the job has such a task, in whatever occurrence.
  bool Has(const TaskKey& key) const;
  /// Opens the task's occurrence if it is not complete.
  /// @returns the task; nullptr if the job has no such task, or if all tasks of
  /// its occurrence are done.
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
  /// Records a crash that came while a run of the task was at work.
  /// @returns false if a crash of that run is recorded already, or if a newer
  /// run has acquitted the task.
  bool SuspectLate(const TaskKey& key, const LateCrash& crash);
  /// Lets the task's next run be a trial whatever was started beside its last
  /// ones.
  void RequireTrial(const TaskKey& key);
  /// Forgets a crash that came while tasks of the job were at work, as a task
  /// of another job has caused it.
  /// @returns whether a task was suspected of it.
  bool ForgetLateCrash(const HostId& host,
                       const WorkerIncarnation& incarnation);
  /// The run has ended by itself or worked for long enough: no late crash
  /// speaks against the task any more.
  void Acquit(const TaskKey& key, RunNumber run);
  /// The other suspects of a recorded crash have been cleared.
  void BecomeSoleSuspect(const TaskKey& key,
                         const HostId& host,
                         const WorkerIncarnation& incarnation);
  /// The run `proven` of the task has survived its start: the task does not
  /// crash its workers at once. It may still do so later on.
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

  /// Calls `visit` for each task of the open occurrences with its key.
  void ForEachTask(const std::function<void(const TaskKey&, Task&)>& visit);

 private:
  static void FinishOne(StepTasks& step, Task& task);
  /// Decodes the stored tasks.
  /// @throws std::exception if a row is malformed or of no task of the job.
  std::vector<std::pair<TaskKey, Task>> DecodeTasks(
      const nlohmann::json& rows) const;
  /// Decodes which occurrences are complete.
  /// @throws std::exception if a range is malformed or of no occurrence.
  std::vector<OccurrenceTable::Range> DecodeComplete(
      const nlohmann::json& progress) const;
  void CountFailure(const TaskKey& key, StepTasks& step, Task& task);
  void IncrementVersion() { ++m_version; }

  JobRecord m_record;
  const Instant m_accepted;
  OccurrenceTable m_occurrences;
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
