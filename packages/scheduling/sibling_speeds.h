#pragma once

#include <map>
#include <optional>

#include "base/ids.h"
#include "jobs/task_key.h"

namespace zinniacart {

/// How fast the tasks of each step got on lately, host by host. Load it
/// answers: declared run times that are off by many times. All tasks of a step
/// share that error, so what is slow on one host only is the host's doing.
class SiblingSpeeds final {
 public:
  /// A task got on at `speed` times what was estimated.
  /// @param step named by its first task.
  void Observe(const TaskKey& step, const HostId& host, double speed);

  /// @returns the usual speed of the step's tasks on other hosts than `host`,
  /// nothing where none has shown one.
  std::optional<double> MedianOnOtherHosts(const TaskKey& step,
                                           const HostId& host) const;

  /// The job is over.
  void Forget(const JobId& job);
  void Clear() { m_speeds.clear(); }

 private:
  /// By step; the newest speed of each host.
  std::map<TaskKey, std::map<HostId, double>> m_speeds;
};

}  // namespace zinniacart
