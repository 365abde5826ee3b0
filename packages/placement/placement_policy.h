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

/// The scheduler's view of one host during one round of placement.
struct HostView {
  HostId host;
  DomainId domain;
  Resources capacity;
  /// The capacity minus what the host has committed and what was offered since
  /// its announcement.
  Resources free;
  /// Whether the configuration allows work here and the host is not draining.
  bool allowed = true;
  /// Whether the host is excluded because tasks keep failing on it.
  bool quarantined = false;
  /// Latency-critical services with backend servers on this host.
  std::vector<ServiceId> services;
  /// The highest ratio of a service's latency to its target; 1 is on target.
  double latency_pressure = 0.0;
};

/// A task that needs a host.
struct PlacementRequest {
  TaskId task;
  JobId job;
  Resources demand;
  TaskClass task_class = TaskClass::kBatch;
  /// Hosts that are not chosen, because they refused or failed the task or did
  /// not answer its offer.
  std::set<HostId> avoid;
};

/// Baseline policy: chooses the host with the smallest committed share.
struct LeastDeclaredLoad {};

/// Places batch and urgent tasks on hosts whose services are not close to
/// their latency target and suffer little known interference from the task's
/// job. Latency-critical tasks go to the host with the smallest committed
/// share.
struct InterferenceAware {
  /// The known interference of a job with a service, added to the cost of a
  /// host; 0 means none.
  std::map<std::pair<ServiceId, JobId>, double> interference_scores;
};

using PlacementPolicy = std::variant<LeastDeclaredLoad, InterferenceAware>;

/// Chooses a host for one task.
/// @returns the host, or the reason why no host can take the task now.
std::variant<HostId, PendingReason> ChooseHost(
    const PlacementPolicy& policy,
    const PlacementRequest& request,
    const std::vector<HostView>& hosts);

}  // namespace zinniacart
