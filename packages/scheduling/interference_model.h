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
  /// Assumed until a pair has been seen together: loss of margin for each core
  /// of best-effort work, between harmless (0.1) and harmful (2), and how far
  /// that may be off.
  double unknown_per_core = 0.3;
  double unknown_deviation = 0.6;
  /// Disturbance changes within seconds: how fast a belief becomes doubtful.
  double doubt_per_second = 0.05;
  /// A measure that is off by so many standard deviations shows that a belief
  /// has become wrong: its deviation is taken as this many times as large.
  double surprising = 2.0;
  double doubt_after_surprise = 2.5;
  double most_per_core = 5.0;
  /// A tail is measured with about this error.
  double measure_noise = 0.08;
  /// Part of the loss of work that has just begun or ended which the measures
  /// may not show yet, or still show.
  double transient_noise = 0.6;
  /// Below this margin a queue is saturated, and more work shows no more harm.
  double saturated_margin = 0.35;
};

/// What one image of best-effort work uses on a host.
struct ImageUse {
  std::string image;
  double cores = 0;
  /// The part of it that has begun, ended or changed its pace so lately that
  /// the measures may not show it.
  double unsteady_cores = 0;
};

/// How much margin a core of one image takes from another.
struct InterferenceEstimate {
  double loss_per_core = 0;
  double deviation = 0;

  /// @returns what is to be reckoned with: three of four times it is less.
  double Conservative() const {
    constexpr double kUpperQuartile = 0.7;
    return loss_per_core + kUpperQuartile * deviation;
  }
};

/// Learns how much best-effort work of one image takes from the latency margin
/// of serving tasks of another, for each core that it uses. The margin is the
/// target divided by the tail latency: it falls in proportion to how busy a
/// server is, so what several images take from it adds up, whatever the load.
/// Each measure corrects the beliefs of the pairs and the estimate of the
/// step's own load by how uncertain each of them is, as a Kalman filter does.
/// Load it answers: images that differ in what they disturb, none of which is
/// declared.
class InterferenceModel final {
 public:
  explicit InterferenceModel(InterferenceSettings settings = {})
      : m_settings(settings) {}

  /// @returns a first estimate of the load of a serving step.
  /// @param margin of one of its tasks.
  /// @param beside what worked beside that task.
  ServingLoad InitialLoad(const std::string& serving_image,
                          double margin,
                          const std::vector<ImageUse>& beside,
                          Instant now) const;

  /// Learns from the measure of one serving task.
  /// @param load the estimate for its step, which is corrected as well.
  void Learn(const std::string& serving_image,
             double margin,
             const std::vector<ImageUse>& beside,
             ServingLoad& load,
             Instant now);

  /// @returns what is believed of the pair at `now`.
  InterferenceEstimate Estimate(const std::string& serving_image,
                                const std::string& best_effort_image,
                                Instant now) const;

  /// @returns how often `Estimate` was asked: what a round of placement costs.
  std::uint64_t lookups() const { return m_lookups; }

 private:
  using Pair = std::pair<std::string, std::string>;
  struct PairBelief {
    InterferenceEstimate harm;
    Instant at;
  };

  /// What the measure of a task should show, and the variance of that.
  struct Expectation {
    double margin = 0;
    double variance = 0;
  };

  double NoiseOf(double margin) const;
  Expectation Expect(const std::string& serving_image,
                     double margin,
                     const std::vector<ImageUse>& beside,
                     const ServingLoad& load,
                     Instant now,
                     double doubt) const;

  InterferenceSettings m_settings;
  std::map<Pair, PairBelief> m_beliefs;
  mutable std::uint64_t m_lookups = 0;
};

}  // namespace zinniacart
