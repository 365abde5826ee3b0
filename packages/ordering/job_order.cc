#include "ordering/job_order.h"

namespace zinniacart {
namespace {

/// One core-second of remaining work ranks like this much slack, in ms.
constexpr double kSlackMsPerCoreSecond = 100.0;
/// Added to the rank of jobs that are too late, in ms, so that they come after
/// all others.
constexpr double kTooLatePenaltyMs = 1e7;
/// A job counts as too late only when it exceeds its objective by this share of
/// it, because estimates are rough.
constexpr double kLatenessTolerance = 0.1;

}  // namespace

double RankOf(const RankingInputs& inputs) {
  const auto objective = static_cast<double>(inputs.objective.count());
  const double slack =
      static_cast<double>(
          (inputs.objective - inputs.age - inputs.chain_left).count()) +
      kLatenessTolerance * objective;
  const double work = kSlackMsPerCoreSecond * inputs.core_seconds_left;
  return slack < 0 ? kTooLatePenaltyMs + work : slack + work;
}

}  // namespace zinniacart
