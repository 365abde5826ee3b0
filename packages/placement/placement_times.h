#pragma once

#include "base/clock.h"

namespace zinniacart {

/// The windows of the placement protocol; docs/DESIGN.md derives them.
struct PlacementTimes {
  /// A start is taken this long after the agent's stamp, on its own clock.
  Duration stamp_validity{2'000};
  /// Tasks run this long after the stamp of the last renewed heartbeat.
  Duration run_lease{15'000};
  /// An owner acts this long after the start of its last session renewal.
  Duration ownership_validity{2'000};
  /// Covers the drift between two hosts' clocks over one run lease.
  Duration drift_margin{1'000};
  /// An entry's session lapses this long after its last renewal.
  Duration session_ttl{6'000};
  Duration session_renewal{700};
  Duration heartbeat{1'000};
  /// Unanswered messages are sent again after this long.
  Duration resend{1'000};
  /// Changes of one shard wait this long for company in one write.
  Duration commit_interval{40};

  /// @returns how long a new owner waits before it may conclude that a task
  /// on a silent host has ended.
  Duration TakeoverWait() const {
    return ownership_validity + run_lease + drift_margin;
  }
};

}  // namespace zinniacart
