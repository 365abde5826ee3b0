#pragma once

#include <cstdint>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"

namespace zinniacart {

using WaveId = StrongType<struct WaveIdTag, std::uint64_t>;

/// What operators ask for: each of the machines is to be taken down for its
/// upkeep once.
struct WaveSpec {
  WaveId id;
  std::vector<MachineId> machines;
  Duration duration{0};        ///< Within which all have their upkeep.
  std::uint32_t max_down = 1;  ///< Machines that may be down at a time.

  bool operator==(const WaveSpec&) const = default;
};

}  // namespace zinniacart
