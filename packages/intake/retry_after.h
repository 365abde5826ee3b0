#pragma once

#include <chrono>
#include <functional>

#include "base/clock.h"

namespace zinniacart {

/// Returns a number from 0 up to, but not including, 1.
using RandomSource = std::function<double()>;

/// @returns a source with a random seed.
RandomSource MakeRandomSource();

/// Determines when a caller that was refused during an outage should come back:
/// after 1 to 5 s, later the longer the outage has lasted, spread by a second
/// to either side so that callers do not return together.
/// @param away_for how long the outage has lasted so far.
std::chrono::seconds RetryAfterOutage(Duration away_for,
                                      const RandomSource& random);

}  // namespace zinniacart
