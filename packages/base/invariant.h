#pragma once

namespace zinniacart {

/// Aborts the process, after a log line on standard error, when an invariant
/// does not hold. Continuing could lose work or run it twice, whereas another
/// process takes over after an abort.
/// @param holds   whether the invariant holds.
/// @param message describes the violated invariant; written into the log line
/// without JSON escaping.
void CheckInvariant(bool holds, const char* message);

}  // namespace zinniacart
