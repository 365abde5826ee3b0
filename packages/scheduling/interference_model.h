#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "scheduling/serving_load.h"

namespace zinniacart {

struct InterferenceSettings {
  /// Assumed of a pair of images before it is first measured: the loss of
  /// margin for each core of best-effort work, which lies between 0.1 for
  /// harmless and 2 for harmful images, and its standard deviation.
  double prior_loss_per_core = 0.3;
  double prior_deviation = 0.6;
  /// Standard deviation of the random drift of an estimate within one second,
  /// because interference changes within seconds.
  double deviation_growth_per_second = 0.05;
  /// A measurement that is off by more than `outlier_deviations` standard
  /// deviations shows that an estimate has become wrong: its deviation is
  /// multiplied by `outlier_inflation` before the correction.
  double outlier_deviations = 2.0;
  double outlier_inflation = 2.5;
  /// Upper bound of an estimated loss of margin for each core.
  double max_loss_per_core = 5.0;
  /// Relative error of a measured tail latency.
  double measurement_noise = 0.08;
  /// Share of the interference of unsteady work that the measurements may not
  /// show yet, or may still show.
  double transient_noise = 0.6;
  /// Below this margin the serving task's queue is saturated: further
  /// interference no longer lowers the margin.
  double saturated_margin = 0.35;
};

/// Processor use of one image of best-effort work on a host.
struct ImageUse {
  std::string image;
  double cores = 0;  ///< In use, as measured.
  /// Cores of work that started, ended or changed its pace so recently that the
  /// latency measurements may not reflect it.
  double unsteady_cores = 0;
};

/// Estimated loss of margin that each core of one best-effort image causes to a
/// serving image, with its uncertainty.
struct InterferenceEstimate {
  double loss_per_core = 0;
  double deviation = 0;  ///< Standard deviation of `loss_per_core`.

  /// @returns the upper quartile: the true loss is less in three of four cases.
  double Conservative() const {
    // In standard deviations above the mean.
    constexpr double kUpperQuartile = 0.7;
    return loss_per_core + kUpperQuartile * deviation;
  }
};

/// Learns how much latency margin the serving tasks of one image lose for each
/// core that best-effort work of another image uses on the same host. Images
/// differ in the interference that they cause, and no job declares it.
///
/// The margin is the latency target divided by the tail latency. It falls in
/// proportion to the utilization of a server, so the losses from several images
/// add up at any load. Each measurement corrects the estimates of the pairs and
/// the estimate of the serving step's own load in proportion to the uncertainty
/// of each, as a Kalman filter does.
class InterferenceModel final {
 public:
  explicit InterferenceModel(InterferenceSettings settings = {})
      : m_settings(settings) {}

  /// @returns a first estimate of the load of a serving step.
  /// @param margin    measured for one of its tasks.
  /// @param colocated best-effort work on that task's host.
  ServingLoad InitialLoad(const std::string& serving_image,
                          double margin,
                          const std::vector<ImageUse>& colocated,
                          Instant now) const;

  /// Corrects the estimates with a measurement of one serving task.
  /// @param margin    the measured margin.
  /// @param colocated best-effort work on that task's host.
  /// @param load      the estimate for its step, which is corrected as well.
  void Learn(const std::string& serving_image,
             double margin,
             const std::vector<ImageUse>& colocated,
             ServingLoad& load,
             Instant now);

  /// @returns the estimate of the pair; its deviation has grown until `now`.
  InterferenceEstimate Estimate(const std::string& serving_image,
                                const std::string& best_effort_image,
                                Instant now) const;

  /// @returns the number of calls of `Estimate`, for tests of the cost of a
  /// placement round.
  std::uint64_t lookups() const { return m_lookups; }

 private:
  using Pair = std::pair<std::string, std::string>;
  struct PairEstimate {
    InterferenceEstimate interference;
    Instant at;
  };

  /// The predicted measurement of a task and the variance of its error.
  struct Expectation {
    double margin = 0;
    double variance = 0;
  };

  double NoiseVariance(double margin) const;
  Expectation Expect(const std::string& serving_image,
                     double margin,
                     const std::vector<ImageUse>& colocated,
                     const ServingLoad& load,
                     Instant now,
                     double inflation) const;

  InterferenceSettings m_settings;
  std::map<Pair, PairEstimate> m_estimates;
  mutable std::uint64_t m_lookups = 0;
};

}  // namespace zinniacart
