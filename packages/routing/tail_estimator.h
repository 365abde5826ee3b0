#pragma once

#include "base/clock.h"

namespace zinniacart {

/// Follows the slow end of a stream of latencies: jumps up with each slower
/// answer and sinks slowly with each faster one, so that it stays about where
/// one answer in a hundred is slower.
class TailEstimator final {
 public:
  /// Takes one answer's latency.
  void Add(Duration latency);
  /// @returns the estimate.
  Duration tail() const;

 private:
  static constexpr double kDecay = 0.01;
  static constexpr double kRise = 0.5;

  double m_tail_ms = 0.0;
};

}  // namespace zinniacart
