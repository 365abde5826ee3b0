#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

#include "base/resources.h"
#include "ordering/job_order.h"

namespace zinniacart {

/// Pending tasks of one step of a job of the first tier that fit nowhere.
struct WaitingDemand {
  int priority = 0;  ///< Of the job; smaller values come first.
  std::size_t tasks = 0;
  Resources demand;  ///< Of each task.
  bool best_effort = false;
};

/// A run that may be stopped in favour of others.
struct PreemptionCandidate {
  int priority = 0;
  OrderTier tier = OrderTier::kLater;
  Resources demand;
  bool best_effort = false;
  /// Work done since the last checkpoint, in core-seconds.
  double unsaved_core_seconds = 0;
};

/// A host with candidates.
struct PreemptionHost {
  Resources free;                    ///< Not reserved, as for placement.
  std::int64_t idle_millicores = 0;  ///< For best-effort tasks.
  std::vector<PreemptionCandidate> candidates;
};

/// The runs to stop on one host so that one more task of a demand can start.
struct Preemption {
  std::size_t demand = 0;         ///< Index into the demands.
  std::size_t host = 0;           ///< Index into the hosts.
  std::vector<std::size_t> runs;  ///< Indices into the host's candidates.
};

struct PreemptionLimits {
  std::size_t max_stops = 24;  ///< Runs stopped in one round.
  /// Calls of the acceptance check in one round, each of which sums up a host.
  std::size_t max_checks = 96;
};

/// @returns whether a task of demand `demand` may start on the host once `runs`
/// of its candidates, and those stopped there by earlier results, have ended.
/// Called only where the capacity suffices. If it returns true, the result is
/// used: the callee must count the task as started there in later calls.
using AcceptsAfterStops = std::function<bool(const Preemption& proposed)>;

/// Decides which runs are stopped for tasks of jobs that can still be in time.
/// It answers bursts after which late work holds the capacity that jobs need
/// which are still worth their full value.
///
/// Only runs of the same or lower priority and of a later tier are stopped,
/// those of the last tier first, then those with the least unsaved work. Each
/// host gives up as few runs as one waiting task needs; the host with the least
/// unsaved work is taken.
/// @param demands in the order in which they are served.
std::vector<Preemption> ChoosePreemptions(
    const std::vector<WaitingDemand>& demands,
    const std::vector<PreemptionHost>& hosts,
    const AcceptsAfterStops& accepts,
    const PreemptionLimits& limits = {});

}  // namespace zinniacart
