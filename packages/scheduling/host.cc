#include "scheduling/host.h"

#include <algorithm>

namespace zinniacart {

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
    }
  }
  return idle;
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
