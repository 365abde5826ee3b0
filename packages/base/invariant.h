#pragma once

namespace zinniacart {

/// Ends the process when a promise of the system would be broken: going on
/// could lose or double work, and another process takes over.
/// @param holds   the invariant's value.
/// @param message what is broken, for the log.
void CheckInvariant(bool holds, const char* message);

}  // namespace zinniacart
