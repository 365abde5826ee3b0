#include "colocation/interference_model.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace zinniacart {
namespace {

double Square(double value) {
  return value * value;
}

/// Lower bound of the error of a measured margin: tail latencies are reported
/// in whole milliseconds.
constexpr double kMinNoise = 0.05;
/// Distance of a lower bound from a measurement, in standard deviations.
constexpr double kLowerBoundDeviations = 1.5;

}  // namespace

double InterferenceModel::NoiseVariance(double margin) const {
  return Square(std::max(kMinNoise, m_settings.measurement_noise * margin));
}

ServingLoad InterferenceModel::InitialLoad(
    const std::string& serving_image,
    double margin,
    const std::vector<ImageUse>& colocated,
    Instant now) const {
  double baseline = margin;
  double variance = NoiseVariance(margin);
  for (const ImageUse& use : colocated) {
    const InterferenceEstimate interference =
        Estimate(serving_image, use.image, now);
    baseline += interference.loss_per_core * use.cores;
    variance += Square(interference.deviation * use.cores);
  }
  return ServingLoad(baseline, variance, now);
}

void InterferenceModel::Learn(const std::string& serving_image,
                              double margin,
                              const std::vector<ImageUse>& colocated,
                              ServingLoad& load,
                              Instant now) {
  const double load_variance = load.Variance(now);
  const Expectation expectation =
      Expect(serving_image, margin, colocated, load, now);
  const double residual = margin - expectation.margin;
  if (residual > 0 && margin < m_settings.saturated_margin) {
    return;
  }
  const double error = residual / std::sqrt(expectation.variance);
  const double variance =
      expectation.variance *
      std::max(1.0, std::abs(error) / m_settings.outlier_deviations);
  // Interference only lowers a margin, so a measured margin less its error is a
  // lower bound of the baseline. Tasks that are slow because of their host must
  // not hide it.
  const double lower_bound =
      margin * (1 - kLowerBoundDeviations * m_settings.measurement_noise);
  load.Correct(std::max(lower_bound,
                        load.margin() + residual * load_variance / variance),
               load_variance * (1 - load_variance / variance), now);
  for (const ImageUse& use : colocated) {
    CorrectPair({serving_image, use.image}, use, residual, variance, error,
                now);
  }
}

void InterferenceModel::CorrectPair(const Pair& pair,
                                    const ImageUse& use,
                                    double residual,
                                    double variance,
                                    double error,
                                    Instant now) {
  const InterferenceEstimate before = Estimate(pair.first, pair.second, now);
  const double gain = -use.cores * Square(before.deviation) / variance;
  PairEstimate& estimate = m_estimates[pair];
  estimate.at = now;
  estimate.interference.loss_per_core =
      std::clamp(before.loss_per_core + gain * residual, 0.0,
                 m_settings.max_loss_per_core);
  estimate.interference.deviation =
      std::sqrt(Square(before.deviation) * (1 + gain * use.cores));
  if (use.cores < m_settings.min_cores_for_misfit) {
    return;
  }
  const double limit = 2 * m_settings.outlier_deviations;
  estimate.misfit += m_settings.newest_misfit *
                     (std::clamp(error, -limit, limit) - estimate.misfit);
  if (std::abs(estimate.misfit) > m_settings.max_misfit) {
    estimate.interference.deviation =
        std::min(m_settings.max_deviation,
                 m_settings.misfit_inflation * before.deviation);
  }
}

InterferenceModel::Expectation InterferenceModel::Expect(
    const std::string& serving_image,
    double margin,
    const std::vector<ImageUse>& colocated,
    const ServingLoad& load,
    Instant now) const {
  Expectation expectation{load.margin(),
                          load.Variance(now) + NoiseVariance(margin)};
  for (const ImageUse& use : colocated) {
    const InterferenceEstimate interference =
        Estimate(serving_image, use.image, now);
    expectation.margin -= interference.loss_per_core * use.cores;
    expectation.variance += Square(interference.deviation * use.cores);
    expectation.variance +=
        Square(m_settings.transient_noise *
               (interference.loss_per_core + interference.deviation) *
               use.unsteady_cores);
  }
  return expectation;
}

InterferenceEstimate InterferenceModel::Estimate(
    const std::string& serving_image,
    const std::string& best_effort_image,
    Instant now) const {
  ++m_lookups;
  const auto found = m_estimates.find({serving_image, best_effort_image});
  if (found == m_estimates.end()) {
    return InterferenceEstimate{m_settings.prior_loss_per_core,
                                m_settings.prior_deviation};
  }
  InterferenceEstimate interference = found->second.interference;
  const double seconds =
      std::chrono::duration<double>(now - found->second.at).count();
  interference.deviation = std::min(
      m_settings.max_deviation,
      std::sqrt(Square(interference.deviation) +
                Square(m_settings.deviation_growth_per_second) * seconds));
  return interference;
}

std::vector<LearnedPair> InterferenceModel::Newest(std::size_t limit,
                                                   Instant now) const {
  std::vector<std::pair<Instant, Pair>> order;
  for (const auto& [pair, estimate] : m_estimates) {
    order.emplace_back(estimate.at, pair);
  }
  std::sort(order.begin(), order.end(), std::greater<>());
  order.resize(std::min(order.size(), limit));
  std::vector<LearnedPair> newest;
  newest.reserve(order.size());
  for (const auto& [at, pair] : order) {
    newest.push_back(LearnedPair{pair.first, pair.second,
                                 Estimate(pair.first, pair.second, now)});
  }
  return newest;
}

void InterferenceModel::Restore(const LearnedPair& pair, Instant at) {
  InterferenceEstimate interference = pair.interference;
  interference.loss_per_core =
      std::clamp(interference.loss_per_core, 0.0, m_settings.max_loss_per_core);
  interference.deviation =
      std::clamp(interference.deviation, 0.0, m_settings.max_deviation);
  m_estimates[{pair.serving_image, pair.best_effort_image}] =
      PairEstimate{interference, 0.0, at};
}

}  // namespace zinniacart
