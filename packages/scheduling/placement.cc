#include "scheduling/placement.h"

#include <algorithm>

namespace zinniacart {
namespace {

/// A best-effort task is not started where it would get less than this share
/// of the processors it asks for: it would progress slowly and still interfere.
constexpr double kMinBestEffortShare = 0.6;
// Costs are in millicores of free capacity: the host with the lowest sum wins.

/// Cost of a host outside the rack that holds the task's data.
constexpr double kRemoteDataCost = 100000.0;
/// Cost of a host per earlier failure of the task on it; such a host is used
/// only if no other fits.
constexpr double kFailedBeforeCost = 1000000.0;
/// Cost of using up the whole spare latency margin of serving tasks.
constexpr double kPressureCost = 20000.0;
/// Cost of putting a serving task on a host that has none: such hosts are kept
/// for best-effort work that interferes with serving tasks.
constexpr double kFirstServingTaskCost = 10000.0;
/// Cost reduction of the host that a task is being moved to; outweighs the
/// tightest fit.
constexpr double kMoveTargetGain = 40000.0;
/// Cost of mixing serving tasks of several images on a host: the more images,
/// the fewer kinds of best-effort work interfere with none of them.
constexpr double kMixImagesCost = 20000.0;
/// Best-effort work is colocated with serving tasks only while it is predicted
/// to take at most this share of their spare latency margin.
constexpr double kMaxPressure = 0.9;

/// Cost of trying a suspected task where other runs may crash the worker too:
/// nothing could be told from a crash.
constexpr double kUnprovenRunsCost = 200000.0;
/// Cost of trying a suspected task on a host that may fail by itself.
constexpr double kDoubtfulHostCost = 100000.0;
/// Cost reduction of the host on which a task of the same job is on trial.
constexpr double kSameTrialGain = 400000.0;

/// Estimated interference of a best-effort task, by serving image.
using PredictedInterference = std::vector<InterferenceEstimate>;

bool Allowed(const PlacementRequest& request, const HostCapacity& capacity) {
  const StepSpec& step = request.step;
  const Host& host = *capacity.host;
  return host.facts->service == request.job.policy().service &&
         (!capacity.trial_job || *capacity.trial_job == request.job.id()) &&
         (request.rack.empty() || host.facts->rack == request.rack) &&
         (request.consolidating_from == HostId() ||
          (!capacity.serving.empty() &&
           host.id() != request.consolidating_from)) &&
         (step.required_label.empty() || host.HasLabel(step.required_label));
}

/// @returns the largest share of their spare margin that serving tasks of the
/// host would lose if `cores` more of the best-effort work ran there.
double PressureOn(const HostCapacity& capacity,
                  const PredictedInterference& predicted,
                  double cores) {
  double worst = 0;
  for (const ServingMargin& serving : capacity.serving) {
    const double loss =
        serving.lost_margin + cores * predicted[serving.image].loss_per_core;
    worst =
        std::max(worst, loss / std::max(serving.spare_margin, kMinSpareMargin));
  }
  return worst;
}

/// @returns the cost of best-effort work on the host, nothing if it would get
/// too few processors or interfere too much.
std::optional<double> BestEffortCost(const PlacementRequest& request,
                                     const PredictedInterference& predicted,
                                     const HostCapacity& capacity,
                                     const Resources& reserved) {
  const auto demand = static_cast<double>(request.step.demand.millicores);
  const auto idle =
      static_cast<double>(capacity.idle_millicores - reserved.millicores);
  const double pressure =
      PressureOn(capacity, predicted, request.step.demand.cores());
  const bool acceptable =
      idle >= kMinBestEffortShare * demand && pressure <= kMaxPressure;
  if (!acceptable && !request.relax_best_effort_limits) {
    return std::nullopt;
  }
  return kPressureCost * pressure - idle;
}

/// @returns the cost of a serving task on the host, in addition to its fit.
double ServingCost(const StepSpec& step, const Host& host) {
  if (!host.HasServingTask()) {
    return kFirstServingTaskCost;
  }
  const bool mixes =
      std::any_of(host.runs.begin(), host.runs.end(), [&](const auto& entry) {
        return entry.second.serves && entry.second.image != step.image;
      });
  return mixes ? kMixImagesCost : 0.0;
}

/// @returns the cost of trying a suspected task on the host, in addition to the
/// host's other costs. A crash should interrupt little and show its cause.
double TrialCost(const PlacementRequest& request,
                 const HostCapacity& capacity) {
  if (capacity.trial_job == request.job.id()) {
    return -kSameTrialGain;
  }
  const Host& host = *capacity.host;
  double cost = static_cast<double>(capacity.at_stake_millicores);
  cost += capacity.unproven_runs > 0 ? kUnprovenRunsCost : 0.0;
  cost += host.failed_by_itself_at ? kDoubtfulHostCost : 0.0;
  return cost;
}

/// @returns how often the task has failed on the host, or, if it is suspected,
/// the host's worker has crashed under it. A task that is not suspected need
/// not avoid a host that has crashed.
std::size_t CountBadEnds(const Task& task, const HostId& host) {
  const auto failed = static_cast<std::size_t>(
      std::count(task.failed_on.begin(), task.failed_on.end(), host));
  if (!task.suspect()) {
    return failed;
  }
  const auto is_here = [&host](const auto& crash) {
    return crash.host == host;
  };
  const CrashRecord& crashes = task.crashes;
  return failed +
         static_cast<std::size_t>(std::count_if(crashes.early.begin(),
                                                crashes.early.end(), is_here)) +
         static_cast<std::size_t>(
             std::count_if(crashes.late.begin(), crashes.late.end(), is_here));
}

/// @returns the cost of the host for the task, nothing if it does not fit.
std::optional<double> CostAt(const PlacementRequest& request,
                             const PredictedInterference& predicted,
                             const HostCapacity& capacity,
                             const Resources& reserved) {
  const StepSpec& step = request.step;
  const Host& host = *capacity.host;
  Resources demand = step.demand;
  if (step.best_effort) {
    demand.millicores = 0;
  }
  const Resources free = capacity.free - reserved;
  if (!demand.FitsIn(free)) {
    return std::nullopt;
  }
  double cost = 0;
  if (step.best_effort) {
    const auto best_effort =
        BestEffortCost(request, predicted, capacity, reserved);
    if (!best_effort) {
      return std::nullopt;
    }
    cost = *best_effort;
  } else {
    // A trial goes where little is at stake, which is the loosest fit.
    cost = request.task.suspect()
               ? 0.0
               : static_cast<double>(free.millicores - demand.millicores);
    cost += step.serves() ? ServingCost(step, host) : 0.0;
  }
  if (request.task.suspect()) {
    cost += TrialCost(request, capacity);
  }
  if (request.task.move_target == host.id()) {
    cost -= kMoveTargetGain;
  }
  if (!step.preferred_rack.empty() && !host.HasLabel(step.preferred_rack)) {
    cost += kRemoteDataCost;
  }
  cost += kFailedBeforeCost *
          static_cast<double>(CountBadEnds(request.task, host.id()));
  return cost;
}

std::optional<std::vector<HostId>> FitGang(const PlacementIndex& index,
                                           const Job& job,
                                           std::uint32_t occurrence,
                                           std::uint32_t step,
                                           const std::string& rack) {
  const StepTasks& tasks = job.At(occurrence, step);
  const StepSpec& declared = job.spec().steps[step];
  ReservedCapacity reserved;
  std::map<HostId, std::uint32_t> tasks_on;
  std::vector<HostId> chosen;
  for (std::uint32_t number = 0; number < tasks.tasks.size(); ++number) {
    const PlacementRequest request{
        job,      TaskKey{job.id(), occurrence, step, number},
        declared, tasks.tasks[number],
        false,    rack};
    const auto host = ChooseHost(index, request, reserved);
    if (!host) {
      return std::nullopt;
    }
    if (declared.most_per_host > 0 &&
        ++tasks_on[*host] > declared.most_per_host) {
      return std::nullopt;
    }
    reserved[*host] += declared.demand;
    chosen.push_back(*host);
  }
  return chosen;
}

std::set<std::string> RacksOf(const PlacementIndex& index) {
  std::set<std::string> racks;
  for (const HostCapacity& capacity : index.usable_hosts()) {
    if (!capacity.host->facts->rack.empty()) {
      racks.insert(capacity.host->facts->rack);
    }
  }
  return racks;
}

}  // namespace

std::optional<HostId> ChooseHost(const PlacementIndex& index,
                                 const PlacementRequest& request,
                                 const ReservedCapacity& reserved) {
  const PredictedInterference predicted =
      request.step.best_effort ? index.InterferenceOf(request.step.image)
                               : PredictedInterference{};
  const std::uint32_t max_per_host = request.step.most_per_host;
  const HostCapacity* best = nullptr;
  double best_cost = 0;
  for (const HostCapacity& capacity : index.usable_hosts()) {
    if (!Allowed(request, capacity)) {
      continue;
    }
    const auto found = reserved.find(capacity.host->id());
    const auto cost =
        CostAt(request, predicted, capacity,
               found == reserved.end() ? Resources{} : found->second);
    if (!cost || (best != nullptr && *cost >= best_cost)) {
      continue;
    }
    if (max_per_host > 0 &&
        capacity.host->CountOf(request.key.job, request.key.occurrence,
                               request.key.step) >= max_per_host) {
      continue;
    }
    best = &capacity;
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
