#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "colocation/serving_load.h"

namespace zinniacart {

struct InterferenceSettings {
  /// Assumed of a pair of images before it is first measured: the loss of
  /// margin for each core of best-effort work, and its standard deviation. Most
  /// pairs do not interfere, and some take up to half of the target a core.
  double prior_loss_per_core = 0.08;
  double prior_deviation = 0.2;
  /// Standard deviation of the random drift of an estimate within one second,
  /// because interference changes with what the tasks do.
  double deviation_growth_per_second = 0.02;
  /// A measurement that is off by more than this many standard deviations is
  /// weighed down: a burst of short tasks, a slow host or a restarted serving
  /// task raises a tail latency as well, and must not count as interference of
  /// whatever runs beside it.
  double outlier_deviations = 1.5;
  /// Where the error of a pair's predictions, averaged with `newest_misfit` as
  /// the weight of the newest one, exceeds `max_misfit` standard deviations,
  /// its interference has changed: its deviation is multiplied by
  /// `misfit_inflation` with each measurement, up to `max_deviation`.
  double newest_misfit = 0.3;
  double max_misfit = 1.3;
  double misfit_inflation = 1.5;
  double max_deviation = 0.5;
  /// Work on fewer cores says too little about a misfit.
  double min_cores_for_misfit = 0.3;
  /// Upper bound of an estimated loss of margin for each core.
  double max_loss_per_core = 5.0;
  /// Relative error of a measured tail latency.
  double measurement_noise = 0.08;
  /// Share of the interference of unsteady work that the measurements may not
  /// show yet, or may still show.
  double transient_noise = 0.5;
  /// Below this margin the serving task's queue is saturated: further
  /// interference no longer lowers the margin.
  double saturated_margin = 0.35;
};

/// Processor use of one image of best-effort work on a host.
struct ImageUse {
  std::string image;
  double cores = 0;  ///< In use while the tail latency was measured.
  /// Change of the use meanwhile: the measured tail latency may contain less or
  /// more of it than `cores`.
  double unsteady_cores = 0;
};

/// Estimated loss of margin that each core of one best-effort image causes to a
/// serving image, with its uncertainty.
struct InterferenceEstimate {
  double loss_per_core = 0;
  double deviation = 0;  ///< Standard deviation of `loss_per_core`.
};

/// What was learned about one pair of images.
struct LearnedPair {
  std::string serving_image;
  std::string best_effort_image;
  InterferenceEstimate interference;
};

/// Learns how much latency margin the serving tasks of one image lose for each
/// core that best-effort work of another image uses on the same host. Images
/// differ in the interference that they cause, and no job declares it.
///
/// The margin is the latency target divided by the tail latency. It falls in
/// proportion to the utilization of a server, so the losses from several images
/// add up at any load. Each measurement corrects the estimates of the pairs and
/// the estimate of the serving step's own load in proportion to the uncertainty
/// of each, as a Kalman filter does; outliers count less, as in Huber's
/// estimator.
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

  /// @returns whether no pair has been measured.
  bool empty() const { return m_estimates.empty(); }
  /// @returns the pairs that were measured last, newest first, at most `limit`.
  std::vector<LearnedPair> Newest(std::size_t limit, Instant now) const;
  /// Sets the estimate of a pair, clamped to the bounds of the settings.
  /// @param at when it was valid.
  void Restore(const LearnedPair& pair, Instant at);

  /// @returns the number of calls of `Estimate`, for tests of the cost of a
  /// placement round.
  std::uint64_t lookups() const { return m_lookups; }

 private:
  using Pair = std::pair<std::string, std::string>;
  struct PairEstimate {
    InterferenceEstimate interference;
    /// Mean error of the recent predictions, in standard deviations.
    double misfit = 0;
    Instant at;
  };

  /// The predicted measurement of a task and the variance of its error.
  struct Expectation {
    double margin = 0;
    double variance = 0;
  };

  double NoiseVariance(double margin) const;
  /// Corrects the estimate of one pair.
  /// @param use      of the best-effort image.
  /// @param residual measured less predicted margin.
  /// @param variance of the residual, with outliers weighed down.
  /// @param error    the residual in standard deviations.
  void CorrectPair(const Pair& pair,
                   const ImageUse& use,
                   double residual,
                   double variance,
                   double error,
                   Instant now);
  Expectation Expect(const std::string& serving_image,
                     double margin,
                     const std::vector<ImageUse>& colocated,
                     const ServingLoad& load,
                     Instant now) const;

  InterferenceSettings m_settings;
  std::map<Pair, PairEstimate> m_estimates;
  mutable std::uint64_t m_lookups = 0;
};

}  // namespace zinniacart
