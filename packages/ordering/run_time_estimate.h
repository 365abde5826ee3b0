#pragma once

#include "base/clock.h"

namespace zinniacart {

/// An estimate of a run time with its uncertainty. Run times vary by factors,
/// so the estimate is of the logarithm of the run time in ms.
struct RunTimeEstimate {
  double log_ms = 0;
  double variance = 0;  ///< Of the logarithm of the next run time.

  /// @returns the run time that is as likely exceeded as not.
  Duration Median() const;
};

/// @returns the logarithm of `taken` in ms, bounded to a twentieth and twenty
/// times `declared`: what lies beyond is a fault of the measurement. Both must
/// be positive.
double BoundedLogTime(Duration taken, Duration declared);

}  // namespace zinniacart
