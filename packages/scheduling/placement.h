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
  /// Best-effort work of a job that has waited long without a task at work
  /// goes even where it must be slowed.
  bool relax_best_effort_limits = false;
  std::string rack{};  ///< Only hosts of this rack; empty: any.
  /// Only other hosts than this one on which tasks serve; empty: any.
  HostId consolidating_from{};
};

/// Room already promised within one decision, by host.
using ReservedCapacity = std::map<HostId, Resources>;

/// Chooses the host for one task. Load it answers: mixed sizes on hosts of
/// uneven size, where small tasks must not break up the room that large ones
/// need: the tightest fit wins. Best-effort tasks go where most processors
/// are idle and no task with a latency target is disturbed.
/// @param taken room promised to other members of a gang.
/// @returns the host, nothing where none fits now.
std::optional<HostId> ChooseHost(const PlacementIndex& index,
                                 const PlacementRequest& request,
                                 const ReservedCapacity& taken = {});

/// Chooses hosts for all tasks of a gang at once.
/// @returns one host a task in index order, nothing where they do not all fit.
std::optional<std::vector<HostId>> ChooseGangHosts(const PlacementIndex& index,
                                                   const Job& job,
                                                   std::uint32_t occurrence,
                                                   std::uint32_t step);

}  // namespace zinniacart
