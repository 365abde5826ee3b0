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
  const double tolerance =
      kLatenessTolerance * static_cast<double>(inputs.objective.count());
  const Duration until_due = inputs.objective - inputs.age;
  const double work = kSlackMsPerCoreSecond * inputs.core_seconds_left;
  const bool late =
      static_cast<double>((until_due - inputs.critical_left).count()) <
      -tolerance;
  return late ? kTooLatePenaltyMs + work
              : static_cast<double>((until_due - inputs.chain_left).count()) +
                    tolerance + work;
}

}  // namespace zinniacart
