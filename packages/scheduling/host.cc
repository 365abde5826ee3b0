#include "scheduling/host.h"

#include <algorithm>

namespace zinniacart {
namespace {

/// Share of its processors that a serving task leaves idle most of the time,
/// because its demand is sized for peak load.
constexpr double kServingIdleShare = 0.4;
/// A host that refused a start for lack of capacity gets no new tasks for this
/// long, unless it announces another capacity.
constexpr Duration kRefusedCapacityPause{500};
/// Assumed margin of a serving task that has not been measured yet.
constexpr double kUnmeasuredMargin = 2.0;
}  // namespace

void Host::OrderStop(HostedRun& run) {
  run.stopping = true;
  run.delivered_to = {};
  has_orders = true;
}

Resources Host::Free() const {
  if (!facts) {
    return {};
  }
  Resources free = facts->capacity - orphan_demand;
  for (const auto& [id, run] : runs) {
    free -= run.ReservedDemand();
  }
  return free;
}

std::vector<TaskRun> Host::WithdrawStartsBeyondCapacity() {
  std::vector<TaskRun> withdrawn;
  if (!facts) {
    return withdrawn;
  }
  Resources free = Free();
  for (auto run = runs.rbegin(); run != runs.rend() && !free.IsNonNegative();
       ++run) {
    HostedRun& hosted = run->second;
    if (hosted.ordered && !hosted.started && !hosted.stopping &&
        !hosted.recovered) {
      OrderStop(hosted);
      free += hosted.ReservedDemand();
      withdrawn.push_back(run->first);
    }
  }
  return withdrawn;
}

std::int64_t Host::IdleMillicores() const {
  std::int64_t idle = Free().millicores;
  for (const auto& [id, run] : runs) {
    if (run.best_effort) {
      idle -= run.demand.millicores * run.wanted_percent / kFullSpeed;
    } else if (run.serves) {
      idle += static_cast<std::int64_t>(
          kServingIdleShare * static_cast<double>(run.demand.millicores));
    }
  }
  return idle;
}

double Host::PredictSpareMarginUse(const InterferenceModel& model,
                                   const std::string& image,
                                   double cores,
                                   Instant now) const {
  std::map<std::string, double> cores_by_image{{image, cores}};
  for (const auto& [id, run] : runs) {
    if (run.best_effort && !run.stopping) {
      // Slowed work counts in full: it must get its full speed back before
      // more work is placed here.
      cores_by_image[run.image] += run.demand.cores();
    }
  }
  double worst = 0;
  for (const auto& [id, run] : runs) {
    if (!run.serves) {
      continue;
    }
    const double spare_margin = SpareMargin(run);
    double loss = 0;
    for (const auto& [best_effort_image, best_effort_cores] : cores_by_image) {
      loss += best_effort_cores *
              model.Estimate(run.image, best_effort_image, now).loss_per_core;
    }
    worst = std::max(worst, loss / std::max(spare_margin, kMinSpareMargin));
  }
  return worst;
}

double Host::SpareMargin(const HostedRun& run) const {
  return run.expected_margin.value_or(kUnmeasuredMargin) -
         pacing.planned_margin();
}

std::uint32_t Host::CountOf(const JobId& job,
                            std::uint32_t occurrence,
                            std::uint32_t step) const {
  return static_cast<std::uint32_t>(
      std::count_if(runs.begin(), runs.end(), [&](const auto& entry) {
        const TaskKey& task = entry.first.task;
        return task.job == job && task.occurrence == occurrence &&
               task.step == step;
      }));
}

Resources HostedRun::ReservedDemand() const {
  Resources reserved = demand;
  if (best_effort) {
    reserved.millicores = 0;
  }
  return reserved;
}

std::optional<double> HostedRun::margin() const {
  if (!serves || latest.measure <= 0) {
    return std::nullopt;
  }
  return static_cast<double>(latency_target.count()) /
         static_cast<double>(latest.measure);
}

bool Host::HasServingTask() const {
  return std::any_of(runs.begin(), runs.end(),
                     [](const auto& entry) { return entry.second.serves; });
}

bool Host::IsSchedulable(Instant now) const {
  const bool refused_lately =
      refused_capacity_at && now - *refused_capacity_at < kRefusedCapacityPause;
  return facts && listed && reachable && !facts->draining && !refused_lately &&
         !health.unhealthy() && facts->incarnation == incarnation &&
         !IsQuarantined(now) && upkeep == HostUpkeep::kNone;
}

bool Host::HasLabel(const std::string& label) const {
  return facts && std::find(facts->labels.begin(), facts->labels.end(),
                            label) != facts->labels.end();
}

}  // namespace zinniacart
