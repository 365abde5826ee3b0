#pragma once

#include <optional>

#include "base/clock.h"

namespace zinniacart {

/// The work that matters to new jobs of one queue. Work is counted in
/// core-seconds, with the expected run times. It includes the jobs of the
/// queue's service that have the queue's or a higher priority.
struct QueueWork {
  /// Of pending tasks whose steps are ready, without perpetual ones. Of the
  /// queue's own priority, only jobs that can still meet their objective count:
  /// the others come after a new job.
  double waiting_core_seconds = 0;
  /// Of the tasks that have finished in this period of ownership.
  double finished_core_seconds = 0;
  /// Time since the acceptance of the queue's newest job of which a task was
  /// ever placed; nothing if there is none.
  std::optional<Duration> newest_begun_age;
};

}  // namespace zinniacart
