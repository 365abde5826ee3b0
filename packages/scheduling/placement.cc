#include "scheduling/placement.h"

#include <algorithm>

namespace zinniacart {
namespace {

/// A best-effort task is not started where it would get less than this share
/// of the processors it asks for: it would crawl and only disturb.
constexpr double kLeastBestEffortShare = 0.6;
/// Cost, in millicores of room, of a host away from the task's data.
constexpr double kFarFromDataCost = 100000.0;
/// Cost of a host on which the task failed before; such a host is used only
/// where nothing else fits.
constexpr double kFailedBeforeCost = 1000000.0;
/// Cost of taking all the margin that serving tasks have to spare.
constexpr double kPressureCost = 20000.0;
/// Cost of putting a serving task on a host that has none: such hosts are kept
/// for best-effort work that would disturb.
constexpr double kOpenHostCost = 10000.0;
/// Cost of putting best-effort work that disturbs nobody there.
constexpr double kWasteQuietHostCost = 15000.0;
/// Outweighs the tightest fit for a task that was moved for a host.
constexpr double kWantedHostGain = 40000.0;
/// Cost of mixing serving tasks of several images on a host: fewer kinds of
/// best-effort work leave all of them undisturbed.
constexpr double kMixImagesCost = 20000.0;
/// Work that takes less margin than this disturbs nobody.
constexpr double kNoDisturbance = 0.1;
/// Best-effort work goes beside serving tasks only while it is predicted to
/// take at most this share of the margin that they have to spare.
constexpr double kMostPressure = 0.9;

/// What one decision knows of a best-effort task beforehand.
struct BestEffortOutlook {
  std::vector<InterferenceEstimate> harm;  ///< By serving image.
  bool harmless = true;  ///< It would disturb no serving task anywhere.
};

BestEffortOutlook OutlookOf(const PlacementIndex& index, const StepSpec& step) {
  BestEffortOutlook outlook;
  if (!step.best_effort) {
    return outlook;
  }
  outlook.harm = index.HarmOf(step.image);
  outlook.harmless = std::all_of(
      outlook.harm.begin(), outlook.harm.end(),
      [&](const InterferenceEstimate& harm) {
        return step.demand.cores() * harm.Conservative() <= kNoDisturbance;
      });
  return outlook;
}

bool Allowed(const PlacementRequest& request, const HostRoom& room) {
  const StepSpec& step = request.step;
  const Host& host = *room.host;
  return host.facts->service == request.job.policy().service &&
         (request.rack.empty() || host.facts->rack == request.rack) &&
         (request.beside_serving_of == HostId() ||
          (!room.serving.empty() && host.id() != request.beside_serving_of)) &&
         (step.required_label.empty() || host.HasLabel(step.required_label));
}

/// @returns the share of their spare margin that the serving tasks of the host
/// would lose, at the worst, if `cores` more of best-effort work were there.
double PressureAt(const HostRoom& room,
                  const BestEffortOutlook& outlook,
                  double cores) {
  double worst = 0;
  for (const ServingRoom& serving : room.serving) {
    const double loss =
        serving.taken + cores * outlook.harm[serving.image].loss_per_core;
    worst = std::max(worst, loss / std::max(serving.spare, kMinSpareMargin));
  }
  return worst;
}

/// @returns the cost of best-effort work on the host, nothing where it would
/// crawl or disturb too much.
std::optional<double> BestEffortCost(const PlacementRequest& request,
                                     const BestEffortOutlook& outlook,
                                     const HostRoom& room,
                                     const Resources& taken) {
  const auto demand = static_cast<double>(request.step.demand.millicores);
  const auto idle =
      static_cast<double>(room.idle_millicores - taken.millicores);
  const double pressure =
      PressureAt(room, outlook, request.step.demand.cores());
  const bool good =
      idle >= kLeastBestEffortShare * demand && pressure <= kMostPressure;
  if (!good && !request.anywhere) {
    return std::nullopt;
  }
  double cost = kPressureCost * pressure - idle;
  if (room.serving.empty() && outlook.harmless) {
    cost += kWasteQuietHostCost;
  }
  return cost;
}

/// @returns the cost of a serving task on the host, beside its room.
double ServingCost(const StepSpec& step, const Host& host) {
  if (!host.HasServingTask()) {
    return kOpenHostCost;
  }
  const bool mixes =
      std::any_of(host.runs.begin(), host.runs.end(), [&](const auto& entry) {
        return entry.second.serves && entry.second.image != step.image;
      });
  return mixes ? kMixImagesCost : 0.0;
}

/// @returns the cost of the host for the task, nothing where it does not fit.
std::optional<double> CostAt(const PlacementRequest& request,
                             const BestEffortOutlook& outlook,
                             const HostRoom& room,
                             const Resources& taken) {
  const StepSpec& step = request.step;
  const Host& host = *room.host;
  Resources demand = step.demand;
  if (step.best_effort) {
    demand.millicores = 0;
  }
  const Resources free = room.free - taken;
  if (!demand.FitsIn(free)) {
    return std::nullopt;
  }
  double cost = 0;
  if (step.best_effort) {
    const auto best_effort = BestEffortCost(request, outlook, room, taken);
    if (!best_effort) {
      return std::nullopt;
    }
    cost = *best_effort;
  } else {
    cost = static_cast<double>(free.millicores - demand.millicores);
    cost += step.serves() ? ServingCost(step, host) : 0.0;
  }
  if (request.task.wanted_host == host.id()) {
    cost -= kWantedHostGain;
  }
  if (!step.preferred_rack.empty() && !host.HasLabel(step.preferred_rack)) {
    cost += kFarFromDataCost;
  }
  const auto& failed_on = request.task.failed_on;
  cost +=
      kFailedBeforeCost * static_cast<double>(std::count(
                              failed_on.begin(), failed_on.end(), host.id()));
  return cost;
}

std::optional<std::vector<HostId>> FitGang(const PlacementIndex& index,
                                           const Job& job,
                                           std::uint32_t occurrence,
                                           std::uint32_t step,
                                           const std::string& rack) {
  const StepTasks& tasks = job.At(occurrence, step);
  const StepSpec& declared = job.spec().steps[step];
  RoomTaken taken;
  std::map<HostId, std::uint32_t> count;
  std::vector<HostId> chosen;
  for (std::uint32_t number = 0; number < tasks.tasks.size(); ++number) {
    const PlacementRequest request{
        job,      TaskKey{job.id(), occurrence, step, number},
        declared, tasks.tasks[number],
        false,    rack};
    const auto host = ChooseHost(index, request, taken);
    if (!host) {
      return std::nullopt;
    }
    if (declared.most_per_host > 0 && ++count[*host] > declared.most_per_host) {
      return std::nullopt;
    }
    taken[*host] += declared.demand;
    chosen.push_back(*host);
  }
  return chosen;
}

std::set<std::string> RacksOf(const PlacementIndex& index) {
  std::set<std::string> racks;
  for (const HostRoom& room : index.rooms()) {
    if (!room.host->facts->rack.empty()) {
      racks.insert(room.host->facts->rack);
    }
  }
  return racks;
}

}  // namespace

std::optional<HostId> ChooseHost(const PlacementIndex& index,
                                 const PlacementRequest& request,
                                 const RoomTaken& taken) {
  const BestEffortOutlook outlook = OutlookOf(index, request.step);
  const std::uint32_t most = request.step.most_per_host;
  const HostRoom* best = nullptr;
  double best_cost = 0;
  for (const HostRoom& room : index.rooms()) {
    if (!Allowed(request, room)) {
      continue;
    }
    const auto promised = taken.find(room.host->id());
    const auto cost =
        CostAt(request, outlook, room,
               promised == taken.end() ? Resources{} : promised->second);
    if (!cost || (best != nullptr && *cost >= best_cost)) {
      continue;
    }
    if (most > 0 && room.host->CountOf(request.key.job, request.key.occurrence,
                                       request.key.step) >= most) {
      continue;
    }
    best = &room;
    best_cost = *cost;
  }
  return best == nullptr ? std::nullopt : std::optional(best->host->id());
}

std::optional<std::vector<HostId>> ChooseGangHosts(const PlacementIndex& index,
                                                   const Job& job,
                                                   std::uint32_t occurrence,
                                                   std::uint32_t step) {
  if (job.spec().steps[step].same_rack) {
    for (const std::string& rack : RacksOf(index)) {
      if (auto hosts = FitGang(index, job, occurrence, step, rack)) {
        return hosts;
      }
    }
  }
  return FitGang(index, job, occurrence, step, {});
}

}  // namespace zinniacart
