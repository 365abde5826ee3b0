#pragma once

#include "base/clock.h"

namespace zinniacart {

/// What would be lost if all runs on a host ended now.
struct HostWork {
  bool empty = true;  ///< Nothing runs there and nothing may begin.
  /// Core-seconds that would have to be done again; a perpetual task counts for
  /// a minute of them for each core.
  double loss = 0;
  /// No step would have more tasks away than its disruption budget allows.
  bool may_end = true;
};

}  // namespace zinniacart
