#pragma once

#include <functional>
#include <map>
#include <set>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "jobs/job_record.h"
#include "scheduling/host_messages.h"

namespace zinniacart::simulation {

/// A guarantee of the placement protocol was violated.
class Violation final : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// Payload of jobs whose tasks crash each worker that starts them.
inline const std::string kCrashingPayload = "crashing";

/// Observes what the workers run and throws `Violation` at the first run that
/// violates a guarantee: a task that runs twice at the same time, after its end
/// was recorded, before the steps that it depends on, after its last attempt,
/// or on more than a few workers that it has crashed.
class TaskOracle final {
 public:
  /// @param in_touch returns whether the host's agent and the store have been
  ///                 undisturbed for a while.
  TaskOracle(const Clock& clock, std::function<bool(const HostId&)> in_touch)
      : m_clock(clock), m_in_touch(std::move(in_touch)) {}

  void AddJob(const JobRecord& record) { m_jobs[record.id] = record; }

  void OnStarted(const TaskRun& id, const HostId& host);
  /// Called after a start that the worker did not check itself.
  /// @param tasks      all tasks at work on the worker.
  /// @param settled_at when a change of the capacity begins to count.
  void CheckCapacity(const std::vector<TaskKey>& tasks,
                     const HostId& host,
                     std::int64_t millicores,
                     Instant settled_at) const;
  void OnEnded(const TaskRun& id, const HostId& host, EndKind how);
  /// The run's worker has crashed under it.
  /// @param guilty whether the run was the cause.
  void OnCrashed(const TaskRun& id, bool guilty);
  /// @returns whether the job may be given up: an attempt of one of its tasks
  /// has failed, or two workers have crashed under one of them.
  bool MayBeGivenUp(const JobId& job) const;
  /// @returns whether an attempt of one of the job's tasks has failed.
  bool AnyFailure(const JobId& job) const { return m_failed.contains(job); }
  /// Called when the worker learns that the owner has recorded the end.
  void OnEndRecorded(const TaskRun& id, EndKind how);

  const StepSpec& StepOf(const TaskKey& task) const {
    return m_jobs.at(task.job).spec.steps.at(task.step);
  }
  bool IsRunning(const TaskKey& task) const;
  bool HasRun(const TaskKey& task) const { return m_running.contains(task); }
  Instant now() const { return m_clock.Now(); }
  std::size_t starts() const { return m_starts; }
  /// @returns whether each task of the job has completed successfully.
  bool AllTasksDone(const JobId& job) const;

 private:
  void CheckDependencies(const TaskKey& task) const;

  const Clock& m_clock;
  const std::function<bool(const HostId&)> m_in_touch;
  std::map<JobId, JobRecord> m_jobs;
  std::map<TaskKey, std::set<HostId>> m_running;
  std::set<TaskKey> m_done;
  std::set<TaskKey> m_recorded_done;
  std::map<TaskKey, std::uint32_t> m_recorded_failures;
  std::set<JobId> m_failed;
  std::map<TaskKey, int> m_lost_workers;  ///< That crashed under the task.
  std::map<TaskKey, int> m_crashes;       ///< That the task has caused.
  /// Starts of the task after its third crash.
  std::map<TaskKey, int> m_starts_after_crashes;
  std::size_t m_starts = 0;
};

}  // namespace zinniacart::simulation
