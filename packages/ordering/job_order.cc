#include "ordering/job_order.h"

#include <algorithm>

namespace zinniacart {
namespace {

/// One core-second of remaining work ranks like this much slack, in ms.
constexpr double kSlackMsPerCoreSecond = 100.0;
/// Distance between the ranks of two tiers, in ms, and the most by which jobs
/// of one tier differ.
constexpr double kTierDistanceMs = 1e7;
constexpr double kMaxRankInTierMs = 4e6;
/// One ms of age ranks a late job ahead by this many ms: a second outweighs 2.5
/// core-seconds of work. With more, large late jobs would delay many small
/// ones.
constexpr double kRankPerAge = 0.25;
/// A job counts as too late only when it exceeds its objective by this share of
/// it, because estimates are rough.
constexpr double kLatenessTolerance = 0.1;
/// Up to this many times its objective a job has some value.
constexpr double kValuableObjectives = 3.0;

double ToMs(Duration duration) {
  return static_cast<double>(duration.count());
}

/// @returns whether the job can end within `objectives` times its objective.
bool CanEndWithin(const RankingInputs& inputs, double objectives) {
  return ToMs(inputs.age + inputs.critical_left) <=
         (objectives + kLatenessTolerance) * ToMs(inputs.objective);
}

double RankInTier(const RankingInputs& inputs,
                  OrderTier tier,
                  const OrderSettings& settings) {
  const double work = kSlackMsPerCoreSecond * inputs.core_seconds_left;
  if (tier != OrderTier::kInTime) {
    return settings.late_tiers ? work - kRankPerAge * ToMs(inputs.age) : work;
  }
  return ToMs(inputs.objective - inputs.age - inputs.chain_left) +
         kLatenessTolerance * ToMs(inputs.objective) + work;
}

}  // namespace

OrderTier TierOf(const RankingInputs& inputs) {
  if (CanEndWithin(inputs, 1.0)) {
    return OrderTier::kInTime;
  }
  return CanEndWithin(inputs, kValuableObjectives) ? OrderTier::kWithinThree
                                                   : OrderTier::kLater;
}

double RankOf(const RankingInputs& inputs, const OrderSettings& settings) {
  OrderTier tier = TierOf(inputs);
  if (!settings.late_tiers && tier == OrderTier::kLater) {
    tier = OrderTier::kWithinThree;
  }
  return static_cast<double>(tier) * kTierDistanceMs +
         std::clamp(RankInTier(inputs, tier, settings), -kMaxRankInTierMs,
                    kMaxRankInTierMs);
}

}  // namespace zinniacart
