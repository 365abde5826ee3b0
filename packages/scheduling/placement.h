#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "scheduling/host.h"
#include "scheduling/job.h"
#include "scheduling/placement_index.h"

namespace zinniacart {

/// One task that needs a host.
struct PlacementRequest {
  const Job& job;
  TaskKey key;
  const StepSpec& step;
  const Task& task;
  /// Also accepts hosts where best-effort work has to be throttled. Set for a
  /// job that has waited long without a running task on a site that is not
  /// busy.
  bool relax_best_effort_limits = false;
  std::string rack{};  ///< Only hosts of this rack; empty: any.
  /// The host that consolidation empties: only other hosts that already run
  /// serving tasks qualify. Empty: any host.
  HostId consolidating_from{};
};

/// Capacity already assigned within the current decision, by host.
using ReservedCapacity = std::map<HostId, Resources>;

/// Chooses the host for one task. Tasks with guaranteed processors go to the
/// tightest fit, so that small tasks do not fragment the free capacity that
/// large ones need. Best-effort tasks go where most processors are idle and the
/// predicted interference with serving tasks is low.
/// @param reserved capacity assigned to other tasks by the same decision.
/// @returns the host, nothing if the task fits on none at present.
std::optional<HostId> ChooseHost(const PlacementIndex& index,
                                 const PlacementRequest& request,
                                 const ReservedCapacity& reserved = {});

/// Chooses hosts for all tasks of a gang at once, within one rack if the step
/// asks for it and a rack has enough free capacity.
/// @returns one host per task in index order, nothing if not all of them fit.
std::optional<std::vector<HostId>> ChooseGangHosts(const PlacementIndex& index,
                                                   const Job& job,
                                                   std::uint32_t occurrence,
                                                   std::uint32_t step);

}  // namespace zinniacart
