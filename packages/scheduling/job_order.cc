#include "scheduling/job_order.h"

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

RankingInputs RankingInputsOf(const Job& job,
                              std::uint32_t step,
                              const RunTimeEstimator& estimate_time,
                              Instant now) {
  const QueuePolicy& policy = job.policy();
  RankingInputs inputs;
  inputs.objective =
      Duration(static_cast<std::int64_t>(
          policy.stretch *
          static_cast<double>(
              LongestChainEstimate(job.spec(), estimate_time).count()))) +
      policy.objective;
  inputs.age = now - job.accepted();
  inputs.chain_left = ChainEstimate(job.spec(), step, estimate_time);
  inputs.core_seconds_left = job.CoreSecondsLeft(estimate_time);
  return inputs;
}

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
