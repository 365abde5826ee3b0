#pragma once

#include "base/clock.h"

namespace zinniacart {

/// The validity periods and intervals of the placement protocol, in
/// milliseconds; docs/DESIGN.md derives them.
struct PlacementTimes {
  /// An agent accepts a start message until this long after the stamp in it,
  /// measured on the agent's own clock.
  Duration stamp_validity{2'000};
  /// A task may run until this long after the stamp in its start message or
  /// in the latest renewal.
  Duration run_lease{15'000};
  /// An owner may act until this long after it began its latest successful
  /// session renewal.
  Duration ownership_validity{2'000};
  /// Allowance for the drift between two hosts' clocks over one run lease.
  Duration drift_margin{1'000};
  /// An entry's session expires this long after its last renewal.
  Duration session_ttl{6'000};
  /// Interval at which an entry renews its session.
  Duration session_renewal{700};
  /// Interval at which an agent sends heartbeats.
  Duration heartbeat{1'000};
  /// A message without a reply is sent again after this long.
  Duration resend{1'000};
  /// Changes of one shard are collected for this long, so that one write of
  /// its record carries several of them.
  Duration commit_interval{40};

  /// @returns how long a new owner waits before it may treat a task on a
  /// host that sends nothing as ended: the previous owner may have renewed
  /// the task's lease until its own validity expired.
  Duration TakeoverWait() const {
    return ownership_validity + run_lease + drift_margin;
  }
};

}  // namespace zinniacart
