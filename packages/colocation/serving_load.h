#pragma once

#include <deque>
#include <optional>

#include "base/clock.h"

namespace zinniacart {

struct ServingLoadSettings {
  /// Standard deviation of the random drift of the baseline margin within one
  /// second.
  double drift_per_second = 0.7;
  /// The trend is fitted to the estimates of this period.
  Duration trend_window{2500};
  /// Estimates that cover less time than this give no trend, only noise.
  Duration min_trend{800};
};

/// Estimates the baseline margin of one serving step: the latency margin that
/// its tasks have without interference. The tasks of a step share their load,
/// so they have one estimate. The margin is the latency target divided by the
/// tail latency. Traffic of a service rises and falls within seconds, and
/// colocated best-effort work has to slow down before the tail latency exceeds
/// the target; `ExpectedFall` extrapolates the trend for that.
class ServingLoad final {
 public:
  /// @param margin    the first estimate.
  /// @param variance  of the error of that estimate.
  ServingLoad(double margin,
              double variance,
              Instant now,
              ServingLoadSettings settings = {});

  /// @returns the estimate of the baseline margin.
  double margin() const { return m_margin; }
  /// @returns the variance of the estimate, which grows with the time since the
  /// last correction.
  double Variance(Instant now) const;

  /// Replaces the estimate and adds it to the trend.
  /// @param margin    the new estimate.
  /// @param variance  of the error of that estimate.
  void Correct(double margin, double variance, Instant now);

  /// @returns by how much the margin falls within `ahead` if its trend
  /// continues; 0 where it rises or no trend is known.
  double ExpectedFall(Duration ahead) const;

 private:
  struct Estimate {
    Instant at;
    double margin = 0;
  };

  const ServingLoadSettings m_settings;
  double m_margin;
  double m_variance;
  Instant m_corrected_at;
  std::deque<Estimate> m_history;
};

}  // namespace zinniacart
