#pragma once

#include <map>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>

#include "base/clock.h"
#include "base/ids.h"
#include "base/resources.h"

namespace zinniacart::simulation {

/// A guarantee of the placement protocol was violated; the text says which and
/// by which task.
class Violation final : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// Observes every start and end of a task on all fake workers, independently of
/// what owners and agents know, and throws `Violation` when a guarantee is
/// violated:
/// - a task never runs twice at the same time;
/// - a generation is started at most once;
/// - a task resumes only from one of its own checkpoints;
/// - the running tasks of a host fit into its capacity;
/// - no task starts in a drained domain after `kDrainedDomainStartLimit`.
class Oracle final {
 public:
  /// No task starts in a domain more than this long after the domain was
  /// drained, in milliseconds of simulated time.
  static constexpr Duration kDrainedDomainStartLimit{3'000};

  /// Handles the start of a task on a worker.
  /// @param resume_from the checkpoint, or empty for a start from the
  /// beginning.
  /// @param host_use the demand of all running tasks of the host, including
  /// this one.
  void OnStarted(const TaskId& task,
                 Generation generation,
                 const HostId& host,
                 const DomainId& domain,
                 const std::string& resume_from,
                 const Resources& host_use,
                 const Resources& host_capacity,
                 Instant now);
  void OnEnded(const TaskId& task, Generation generation, const HostId& host);
  void OnCheckpoint(const TaskId& task, const std::string& checkpoint);
  /// Handles the end of a task that reached its run time.
  void OnFinished(const TaskId& task);
  /// Handles an operator draining or restoring a domain.
  void OnDomainAvailability(const DomainId& domain,
                            bool available,
                            Instant now);

  /// @returns how many times the task ran to its end.
  int FinishCount(const TaskId& task) const;
  /// @returns the number of starts of all tasks.
  std::uint64_t start_count() const { return m_started_generations.size(); }

 private:
  std::map<TaskId, std::pair<Generation, HostId>> m_running;
  std::set<std::pair<TaskId, Generation>> m_started_generations;
  std::map<TaskId, std::set<std::string>> m_checkpoints;
  std::map<TaskId, int> m_finished;
  std::map<DomainId, Instant> m_drained_since;
};

}  // namespace zinniacart::simulation
