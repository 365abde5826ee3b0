#pragma once

#include <map>
#include <optional>
#include <vector>

#include "base/ids.h"
#include "jobs/task_key.h"

namespace zinniacart {

/// @returns the upper median of `speeds`, empty where there are none.
std::optional<double> MedianSpeed(std::vector<double> speeds);

/// Records the newest speed of each step's tasks on each host. Declared run
/// times may be wrong by a large factor, but all tasks of a step share that
/// error: if a step is slow on one host only, the host is the cause.
class SiblingSpeeds final {
 public:
  /// Records the speed of a task on `host`.
  /// @param step  named by its first task.
  /// @param speed in the same unit for all tasks of the step.
  void Observe(const TaskKey& step, const HostId& host, double speed);

  /// @returns the median speed of the step's tasks on other hosts than `host`,
  /// empty where none is recorded.
  std::optional<double> MedianOnOtherHosts(const TaskKey& step,
                                           const HostId& host) const;

  /// Drops the speeds of an occurrence that is complete.
  void Forget(const JobId& job, std::uint32_t occurrence);
  /// Drops the speeds of a job that has ended.
  void Forget(const JobId& job);
  void Clear() { m_speeds.clear(); }

 private:
  /// By step; the newest speed of each host.
  std::map<TaskKey, std::map<HostId, double>> m_speeds;
};

}  // namespace zinniacart
