#pragma once

#include "base/clock.h"

namespace zinniacart {

/// Settings of the upkeep of machines.
struct UpkeepSettings {
  /// False: waves are ignored; nothing is called or written for them.
  bool enabled = true;
  double reads_per_s = 2;      ///< Limit of listing calls over all daemons.
  double calls_per_s = 1;      ///< Limit of upkeep calls over all daemons.
  Duration maintenance{2000};  ///< From an upkeep's call to the next worker.
  /// Calls of two holders are at least so far apart.
  Duration holder_lease{3000};
  /// A task that is not at work for so long counts as away.
  Duration notice{1000};
};

}  // namespace zinniacart
