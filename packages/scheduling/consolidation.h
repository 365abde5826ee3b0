#pragma once

#include <map>
#include <memory>
#include <optional>

#include "scheduling/placement.h"

namespace zinniacart {

/// A serving task that should go elsewhere.
struct ServingMove {
  TaskRun run;
  HostId from;
  HostId to;
};

/// What consolidation may look at besides hosts.
struct ConsolidationView {
  const PlacementIndex& placement;
  const std::map<HostId, Host>& hosts;
  const std::map<JobId, std::unique_ptr<Job>>& jobs;
};

/// Chooses a serving task whose move brings the site closer to fewer hosts
/// with serving tasks: the host with the least of them is emptied if all of
/// them fit beside other serving tasks. Load it answers: serving tasks that
/// came while hosts came and went, spread over all hosts, so that best-effort
/// work that disturbs them finds no host of its own.
/// A step loses one task at a time, and only while all others are at work.
/// @returns nothing where no host can be emptied, or where that has to wait.
std::optional<ServingMove> ChooseServingMove(const ConsolidationView& view);

}  // namespace zinniacart
