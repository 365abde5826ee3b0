#pragma once

#include "base/clock.h"

namespace zinniacart {

/// Times of the placement protocol. Owner and agents must agree on them.
struct LeaseTimes {
  /// A worker's lease reaches this far beyond the granted stamp. Bounded by
  /// the platform's longest lease; long enough to outlive a restart of all
  /// daemons, short enough that the tasks of a host that is cut off are
  /// placed anew while their job can still be in time.
  Duration lease{4000};
  /// The owner vouches for stamps only while its ownership was confirmed at
  /// most this long ago; so long do tasks outlive an outage of the store
  /// beyond the lease itself.
  Duration max_confirmation_age{4000};
  /// A start that is carried out later than this is refused by the worker.
  Duration start_validity{1000};
  /// Clocks may run this much slower than ours.
  double max_clock_slowdown = 1.02;
  /// For rounding and for the time that a lapse takes.
  Duration expiry_margin{300};

  /// @returns how long after a granted stamp came in its host may still run
  /// tasks.
  Duration MaxLeaseDuration() const {
    return Duration(static_cast<std::int64_t>(
               static_cast<double>(lease.count()) * max_clock_slowdown)) +
           expiry_margin;
  }
};

/// Settings of the owner's decisions.
struct SchedulerSettings {
  LeaseTimes times;
  /// An order that shows no effect is sent again after this time.
  Duration redelivery{2000};
  /// A job whose turn has come does not stay without a task at work for longer.
  Duration max_wait_for_full_speed{1500};
  /// From a measure to the effect of the pace it led to: half a second of
  /// measuring, the report, the worker's delay.
  Duration pace_takes_effect{900};
  /// Best-effort work that has been halted this long goes elsewhere if it can.
  Duration move_halted_after{700};
  /// A move costs unsaved work and a start; a run stays at least this long.
  Duration min_stay{1000};
  /// Checkpoints of running tasks are stored this often: so much work is lost
  /// when owner and worker fail at the same moment.
  Duration checkpoint_interval{1500};
  /// Serving tasks are moved together one by one, this far apart, so that each
  /// move sees what the one before has changed.
  Duration consolidation_interval{150};
  Duration log_load_every{2000};
  /// A host that has not been heard for this long gets no new work, and tasks
  /// of which copies may run get one elsewhere. More than two rounds of
  /// reports.
  Duration report_timeout{1300};
  /// Ended jobs are forgotten after this time.
  Duration remember_ended{240000};
  /// Failures in a row of different jobs after which a host is suspected.
  std::uint32_t failures_to_quarantine = 3;
  Duration quarantine{4000};
  /// A scheduled occurrence starts this long after its due time, so that a
  /// clock that is ahead does not start it early.
  Duration after_due{50};
};

}  // namespace zinniacart
