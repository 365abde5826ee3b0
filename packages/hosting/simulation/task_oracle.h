#pragma once

#include <map>
#include <set>
#include <stdexcept>
#include <string>

#include "jobs/job_record.h"
#include "scheduling/host_messages.h"

namespace zinniacart::simulation {

/// A broken promise.
class Violation final : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// Sees what workers really run and throws `Violation` at the first broken
/// promise: a task twice at the same time or after its recorded end, a step
/// before the one it waits for, a task beyond its attempts.
class TaskOracle final {
 public:
  void AddJob(const JobRecord& record) { m_jobs[record.id] = record; }

  void OnStarted(const TaskRun& id, const HostId& host);
  void OnEnded(const TaskRun& id, const HostId& host, EndKind how);
  /// The worker was told that the end is recorded.
  void OnEndNoted(const TaskRun& id, EndKind how);

  std::size_t starts() const { return m_starts; }
  /// @returns whether all tasks of the job have ended done.
  bool Done(const JobId& job) const;

 private:
  void CheckOrder(const TaskKey& task) const;

  std::map<JobId, JobRecord> m_jobs;
  std::map<TaskKey, std::set<HostId>> m_running;
  std::set<TaskKey> m_done;
  std::set<TaskKey> m_done_noted;
  std::map<TaskKey, std::uint32_t> m_failures_noted;
  std::size_t m_starts = 0;
};

}  // namespace zinniacart::simulation
