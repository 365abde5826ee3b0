#pragma once

#include "base/clock.h"
#include "ordering/run_time_estimate.h"
#include "ordering/step_run_times.h"

namespace zinniacart {

struct StragglerSettings {
  /// Copies and moves of stragglers are made. Otherwise only hosts as a whole
  /// are judged, see `HostHealth`.
  bool enabled = true;
  /// A run is a straggler after this many times the run time of its siblings.
  double slower_by = 2.0;
  /// It also has taken this many standard deviations of the logarithm longer:
  /// where the tasks of a step differ much, a long one is no sign of its host.
  double deviations = 2.0;
  std::size_t min_finished = 2;  ///< Siblings that have ended, at least.
  /// Time from the decision until a new run is at work.
  Duration start_time{500};
  /// Copies use at most this share of the service's processors.
  double max_share_of_copies = 0.1;
  Duration interval{300};  ///< Between two searches for stragglers.
  /// A host whose tasks reach this share of the usual speed is not the cause.
  double sound_host_speed = 0.75;
};

/// Decides whether a run is on a slow host: it has taken much longer than its
/// siblings needed, and is expected to take longer than a whole new run. It
/// answers hosts that turn slow for some of their tasks only, and hosts with
/// too few tasks to be judged.
/// @param progress of the run, which must be representative.
/// @param siblings what the tasks of its step have shown.
/// @param estimate for a new run of the task.
/// @param within   the variance of the logarithm within a step.
bool IsStraggler(const TaskProgress& progress,
                 const StepObservation& siblings,
                 const RunTimeEstimate& estimate,
                 double within,
                 const StragglerSettings& settings);

}  // namespace zinniacart
