#include "scheduling/host.h"

#include <algorithm>

namespace zinniacart {
namespace {

/// The part of its processors that a serving task leaves idle at most times:
/// it is sized for its peak.
constexpr double kServingIdleShare = 0.4;

}  // namespace

Resources Host::Free() const {
  if (!facts) {
    return {};
  }
  Resources free = facts->capacity;
  for (const auto& [id, run] : runs) {
    Resources taken = run.demand;
    if (run.best_effort) {
      taken.millicores = 0;
    }
    free -= taken;
  }
  return free;
}

std::int64_t Host::IdleMillicores() const {
  std::int64_t idle = Free().millicores;
  for (const auto& [id, run] : runs) {
    if (run.best_effort) {
      idle -= run.demand.millicores;
    } else if (run.serves) {
      idle += static_cast<std::int64_t>(
          kServingIdleShare * static_cast<double>(run.demand.millicores));
    }
  }
  return idle;
}

double Host::PredictPressure(const InterferenceModel& model,
                             const std::string& image,
                             double cores) const {
  double worst = 0;
  for (const auto& [id, run] : runs) {
    if (!run.serves || run.latency_target.count() == 0) {
      continue;
    }
    const double now = static_cast<double>(run.latest.measure) /
                       static_cast<double>(run.latency_target.count());
    worst = std::max(worst, now + cores * model.PerCore(run.image, image));
  }
  return worst;
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

bool Host::Usable(Instant now) const {
  return facts && listed && reachable && !facts->draining &&
         facts->incarnation == incarnation &&
         (!quarantined_until || *quarantined_until <= now);
}

bool Host::HasLabel(const std::string& label) const {
  return facts && std::find(facts->labels.begin(), facts->labels.end(),
                            label) != facts->labels.end();
}

}  // namespace zinniacart
