#pragma once

#include "base/clock.h"

namespace zinniacart {

/// Estimates the tail of a stream of latencies without storing them. The
/// estimate rises quickly with each slower sample and falls slowly with each
/// faster one, so that it stays near the 99th percentile.
class TailEstimator final {
 public:
  /// Adds the latency of one request.
  void Add(Duration latency);
  /// @returns the estimate, 0 before the first sample.
  Duration tail() const;

 private:
  /// Weights of a sample below and above the estimate.
  static constexpr double kFallWeight = 0.01;
  static constexpr double kRiseWeight = 0.5;

  double m_tail_ms = 0.0;
};

}  // namespace zinniacart
