#include "ordering/stragglers.h"

#include <algorithm>
#include <cmath>

namespace zinniacart {

bool IsStraggler(const TaskProgress& progress,
                 const StepObservation& siblings,
                 const RunTimeEstimate& estimate,
                 double within,
                 const StragglerSettings& settings) {
  if (!settings.enabled || !progress.representative ||
      siblings.finished < settings.min_finished) {
    return false;
  }
  const auto new_run = static_cast<double>(estimate.Median().count());
  const auto elapsed = static_cast<double>(progress.elapsed.count());
  const double factor = std::max(
      settings.slower_by, std::exp(settings.deviations * std::sqrt(within)));
  if (elapsed < factor * new_run) {
    return false;
  }
  // Without any progress the run may not end at all.
  const double done = std::max(progress.percent, 1) / 100.0;
  const double left = elapsed * (1 - done) / done;
  return left > new_run + static_cast<double>(settings.start_time.count());
}

}  // namespace zinniacart
