#pragma once

#include <map>
#include <memory>
#include <optional>

#include "scheduling/placement.h"

namespace zinniacart {

/// The move of one serving task to another host.
struct ServingMove {
  TaskRun run;
  HostId from;
  HostId to;
};

/// The scheduler state from which consolidation decides.
struct ConsolidationView {
  const PlacementIndex& placement;
  const std::map<HostId, Host>& hosts;
  const std::map<JobId, std::unique_ptr<Job>>& jobs;
};

/// Chooses the next move that concentrates serving tasks on fewer hosts.
/// Serving tasks that were placed while hosts joined and left end up spread
/// over all hosts, which leaves no host for best-effort work that interferes
/// with them.
///
/// Hosts are tried in order of the processors that their serving tasks use, the
/// smallest amount first. The first host is emptied whose serving tasks all fit
/// on other hosts with serving tasks. A step loses one task at a time, and only
/// while all its tasks are ready.
/// @returns the next move, nothing if no host can be emptied or a move has to
/// wait for others.
std::optional<ServingMove> ChooseServingMove(const ConsolidationView& view);

}  // namespace zinniacart
