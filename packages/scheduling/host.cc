#include "scheduling/host.h"

#include <algorithm>

namespace zinniacart {
namespace {

/// The part of its processors that a serving task leaves idle at most times:
/// it is sized for its peak.
constexpr double kServingIdleShare = 0.4;
constexpr int kFullSpeed = 100;
constexpr double kMillicoresPerCore = 1000.0;
/// What a task does to others shows in the measures after this time: they
/// cover half a second and are listed twice a second.
constexpr Duration kMeasuredAfter{1200};

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
      idle -= run.demand.millicores * run.wanted_percent / kFullSpeed;
    } else if (run.serves) {
      idle += static_cast<std::int64_t>(
          kServingIdleShare * static_cast<double>(run.demand.millicores));
    }
  }
  return idle;
}

double Host::PredictPressure(const InterferenceModel& model,
                             const std::string& image,
                             double cores,
                             Instant now) const {
  std::map<std::string, double> added{{image, cores}};
  for (const auto& [id, run] : runs) {
    const bool measured = run.started && now - run.started_at > kMeasuredAfter;
    if (run.best_effort && !run.stopping && !measured) {
      added[run.image] +=
          static_cast<double>(run.demand.millicores) / kMillicoresPerCore;
    }
  }
  double worst = 0;
  for (const auto& [id, run] : runs) {
    if (!run.serves || run.latency_target.count() == 0) {
      continue;
    }
    double pressure = static_cast<double>(run.latest.measure) /
                      static_cast<double>(run.latency_target.count());
    for (const auto& [added_image, added_cores] : added) {
      pressure += added_cores * model.PerCore(run.image, added_image);
    }
    worst = std::max(worst, pressure);
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

bool Host::Serves() const {
  return std::any_of(runs.begin(), runs.end(),
                     [](const auto& entry) { return entry.second.serves; });
}

bool Host::Usable(Instant now) const {
  return facts && listed && reachable && !facts->draining && !health.sick() &&
         facts->incarnation == incarnation &&
         (!quarantined_until || *quarantined_until <= now);
}

bool Host::HasLabel(const std::string& label) const {
  return facts && std::find(facts->labels.begin(), facts->labels.end(),
                            label) != facts->labels.end();
}

}  // namespace zinniacart
