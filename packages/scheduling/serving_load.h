#pragma once

#include <deque>
#include <optional>

#include "base/clock.h"

namespace zinniacart {

struct ServingLoadSettings {
  /// How far the margin of an undisturbed task may wander within a second.
  double drift_per_second = 0.35;
  /// The trend is fitted to the estimates of this time.
  Duration trend_window{2500};
  /// A trend from less time than this is noise.
  Duration least_trend{800};
};

/// Estimates the latency margin that the tasks of one serving step have while
/// nothing disturbs them; they share their load. The margin is the target
/// divided by the tail latency. Load it answers: traffic of a service that
/// rises and falls within seconds, beside best-effort work that has to slow
/// down before the tail is over its target.
class ServingLoad final {
 public:
  /// @param margin    the first estimate.
  /// @param variance  how uncertain it is.
  ServingLoad(double margin,
              double variance,
              Instant now,
              ServingLoadSettings settings = {});

  /// @returns the estimate of the undisturbed margin.
  double margin() const { return m_margin; }
  /// @returns the variance of the estimate at `now`.
  double Variance(Instant now) const;

  /// Corrects the estimate.
  /// @param margin    the new estimate.
  /// @param variance  how uncertain it is.
  void Correct(double margin, double variance, Instant now);

  /// @returns by how much the margin falls within `ahead` if its trend goes
  /// on; 0 where it rises.
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
