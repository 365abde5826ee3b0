#include "scheduling/interference_model.h"

#include <algorithm>
#include <cmath>

namespace zinniacart {
namespace {

double Square(double value) {
  return value * value;
}

/// The least error of a measure: tails are whole milliseconds.
constexpr double kLeastNoise = 0.05;

}  // namespace

double InterferenceModel::NoiseOf(double margin) const {
  return Square(std::max(kLeastNoise, m_settings.measure_noise * margin));
}

ServingLoad InterferenceModel::InitialLoad(const std::string& serving_image,
                                           double margin,
                                           const std::vector<ImageUse>& beside,
                                           Instant now) const {
  double undisturbed = margin;
  double variance = NoiseOf(margin);
  for (const ImageUse& use : beside) {
    const InterferenceEstimate harm = Estimate(serving_image, use.image, now);
    undisturbed += harm.loss_per_core * use.cores;
    variance += Square(harm.deviation * use.cores);
  }
  return ServingLoad(undisturbed, variance, now);
}

void InterferenceModel::Learn(const std::string& serving_image,
                              double margin,
                              const std::vector<ImageUse>& beside,
                              ServingLoad& load,
                              Instant now) {
  const double load_variance = load.Variance(now);
  Expectation expectation =
      Expect(serving_image, margin, beside, load, now, 1.0);
  const double surprise = margin - expectation.margin;
  if (surprise > 0 && margin < m_settings.saturated_margin) {
    return;
  }
  const bool beyond_doubt =
      Square(surprise) > Square(m_settings.surprising) * expectation.variance;
  const double doubt = beyond_doubt ? m_settings.doubt_after_surprise : 1.0;
  if (beyond_doubt) {
    expectation = Expect(serving_image, margin, beside, load, now, doubt);
  }
  const double variance = expectation.variance;
  // No task has more margin than an undisturbed one: what one of them shows
  // for certain, others that are slow for reasons of their host must not hide.
  const double certain = margin * (1 - m_settings.measure_noise);
  load.Correct(
      std::max(certain, load.margin() + surprise * load_variance / variance),
      load_variance * (1 - load_variance / variance), now);
  for (const ImageUse& use : beside) {
    const InterferenceEstimate harm = Estimate(serving_image, use.image, now);
    const double deviation = doubt * harm.deviation;
    const double gain = -use.cores * Square(deviation) / variance;
    PairBelief& belief = m_beliefs[{serving_image, use.image}];
    belief.at = now;
    belief.harm.loss_per_core = std::clamp(harm.loss_per_core + gain * surprise,
                                           0.0, m_settings.most_per_core);
    belief.harm.deviation =
        std::sqrt(Square(deviation) * (1 + gain * use.cores));
  }
}

InterferenceModel::Expectation InterferenceModel::Expect(
    const std::string& serving_image,
    double margin,
    const std::vector<ImageUse>& beside,
    const ServingLoad& load,
    Instant now,
    double doubt) const {
  Expectation expectation{load.margin(), load.Variance(now) + NoiseOf(margin)};
  for (const ImageUse& use : beside) {
    const InterferenceEstimate harm = Estimate(serving_image, use.image, now);
    expectation.margin -= harm.loss_per_core * use.cores;
    expectation.variance += Square(doubt * harm.deviation * use.cores);
    expectation.variance += Square(m_settings.transient_noise *
                                   harm.Conservative() * use.unsteady_cores);
  }
  return expectation;
}

InterferenceEstimate InterferenceModel::Estimate(
    const std::string& serving_image,
    const std::string& best_effort_image,
    Instant now) const {
  ++m_lookups;
  const auto found = m_beliefs.find({serving_image, best_effort_image});
  if (found == m_beliefs.end()) {
    return InterferenceEstimate{m_settings.unknown_per_core,
                                m_settings.unknown_deviation};
  }
  InterferenceEstimate harm = found->second.harm;
  const double seconds =
      std::chrono::duration<double>(now - found->second.at).count();
  harm.deviation =
      std::min(m_settings.unknown_deviation,
               std::sqrt(Square(harm.deviation) +
                         Square(m_settings.doubt_per_second) * seconds));
  return harm;
}

}  // namespace zinniacart
