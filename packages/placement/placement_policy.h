#pragma once

#include <map>
#include <random>
#include <set>
#include <variant>
#include <vector>

#include "base/ids.h"
#include "base/resources.h"
#include "membership/host_announcement.h"
#include "placement/shard.h"
#include "placement/shard_record.h"

namespace zinniacart {

/// One host as the scheduler sees it.
struct HostView {
  HostId host;
  DomainId domain;
  Resources capacity;
  Resources free;
  bool allowed = true;
  bool quarantined = false;
  /// Latency-critical services that announce backend servers here.
  std::vector<ServiceId> services;
  /// The worst latency of those services over their target; 1 is on target.
  double latency_pressure = 0.0;
};

/// What has to be placed.
struct PlacementRequest {
  TaskId task;
  JobId job;
  Resources demand;
  TaskClass task_class = TaskClass::kBatch;
  std::set<HostId> avoid;
};

/// Baseline: the host with the smallest committed share.
struct LeastDeclaredLoad {};

/// Batch work goes where no service is under pressure and where its job is
/// not known to disturb the services; services go where most room is.
struct InterferenceAware {
  /// How much a job class is known to slow a service, 0: not at all.
  std::map<std::pair<ServiceId, JobId>, double> pair_scores;
};

using PlacementPolicy = std::variant<LeastDeclaredLoad, InterferenceAware>;

/// Chooses a host for one task.
/// @returns the host, or the reason why there is none now.
std::variant<HostId, PendingReason> ChooseHost(
    const PlacementPolicy& policy,
    const PlacementRequest& request,
    const std::vector<HostView>& hosts);

}  // namespace zinniacart
