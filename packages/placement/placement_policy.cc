#include "placement/placement_policy.h"

namespace zinniacart {
namespace {

/// A host with a latency pressure above this is avoided for batch and urgent
/// tasks: the pressure times `kPressureCost` is added to its cost.
constexpr double kHighPressure = 0.8;
constexpr double kPressureCost = 2.0;

double UsedShare(const HostView& host) {
  return DominantShare(host.capacity - host.free, host.capacity);
}

/// Computes the cost of placing the request on the host under a policy; the
/// host with the lowest cost is chosen.
struct CostOf {
  const PlacementRequest& request;
  const HostView& host;

  double operator()(const LeastDeclaredLoad&) const { return UsedShare(host); }

  double operator()(const InterferenceAware& policy) const {
    if (request.task_class == TaskClass::kLatencyCritical) {
      return UsedShare(host);
    }
    double cost = UsedShare(host);
    if (host.latency_pressure > kHighPressure) {
      cost += kPressureCost * host.latency_pressure;
    }
    for (const ServiceId& service : host.services) {
      const auto score =
          policy.interference_scores.find({service, request.job});
      cost += score == policy.interference_scores.end() ? 0.0 : score->second;
    }
    return cost;
  }
};

}  // namespace

std::variant<HostId, PendingReason> ChooseHost(
    const PlacementPolicy& policy,
    const PlacementRequest& request,
    const std::vector<HostView>& hosts) {
  const HostView* best = nullptr;
  double best_cost = 0.0;
  bool any_large_enough = false;
  bool any_allowed = false;
  for (const HostView& host : hosts) {
    if (!request.demand.FitsIn(host.capacity)) {
      continue;
    }
    any_large_enough = true;
    if (!host.allowed || host.quarantined) {
      continue;
    }
    any_allowed = true;
    const bool may_preempt = request.task_class != TaskClass::kBatch;
    const bool fits = request.demand.FitsIn(host.free);
    if (request.avoid.count(host.host) > 0 || (!fits && !may_preempt)) {
      continue;
    }
    double cost = std::visit(CostOf{request, host}, policy);
    // The added cost outweighs the others, so that a host where batch tasks
    // would be preempted is chosen only where no host has the free capacity.
    cost += fits ? 0.0 : 1000.0;
    if (best == nullptr || cost < best_cost) {
      best = &host;
      best_cost = cost;
    }
  }
  if (best != nullptr) {
    return best->host;
  }
  if (hosts.empty()) {
    return PendingReason::kNoHostKnown;
  }
  if (!any_large_enough) {
    return PendingReason::kNoHostLargeEnough;
  }
  return any_allowed ? PendingReason::kNoFreeCapacity
                     : PendingReason::kNoAllowedHost;
}

}  // namespace zinniacart
