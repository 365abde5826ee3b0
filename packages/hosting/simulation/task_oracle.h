#pragma once

#include <map>
#include <set>
#include <stdexcept>
#include <string>

#include "jobs/job_record.h"
#include "scheduling/host_messages.h"

namespace zinniacart::simulation {

/// A guarantee of the placement protocol was violated.
class Violation final : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// Observes what the workers run and throws `Violation` at the first run that
/// violates a guarantee: a task that runs twice at the same time, after its end
/// was recorded, before the steps that it depends on, or after its last
/// attempt.
class TaskOracle final {
 public:
  void AddJob(const JobRecord& record) { m_jobs[record.id] = record; }

  void OnStarted(const TaskRun& id, const HostId& host);
  void OnEnded(const TaskRun& id, const HostId& host, EndKind how);
  /// Called when the worker learns that the owner has recorded the end.
  void OnEndRecorded(const TaskRun& id, EndKind how);

  std::size_t starts() const { return m_starts; }
  /// @returns whether each task of the job has completed successfully.
  bool AllTasksDone(const JobId& job) const;

 private:
  void CheckDependencies(const TaskKey& task) const;

  std::map<JobId, JobRecord> m_jobs;
  std::map<TaskKey, std::set<HostId>> m_running;
  std::set<TaskKey> m_done;
  std::set<TaskKey> m_recorded_done;
  std::map<TaskKey, std::uint32_t> m_recorded_failures;
  std::size_t m_starts = 0;
};

}  // namespace zinniacart::simulation
