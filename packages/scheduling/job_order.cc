#include "scheduling/job_order.h"

namespace zinniacart {
namespace {

/// A job with a core-second less to do may overtake one with this much less
/// time to spare, in ms.
constexpr double kWorkWeight = 100.0;
/// All jobs that are too late come after those that are not, in ms.
constexpr double kTooLate = 1e7;
/// Estimates are rough: a job counts as too late only when it is over its
/// objective by this share of it.
constexpr double kBenefitOfDoubt = 0.1;

}  // namespace

RankingInputs RankingInputsOf(const Job& job,
                              std::uint32_t step,
                              const RunTimeEstimator& time,
                              Instant now) {
  const QueuePolicy& policy = job.policy();
  RankingInputs standing;
  standing.objective =
      Duration(static_cast<std::int64_t>(
          policy.stretch *
          static_cast<double>(
              LongestChainEstimate(job.spec(), time).count()))) +
      policy.objective;
  standing.age = now - job.accepted();
  standing.chain_left = ChainEstimate(job.spec(), step, time);
  standing.core_seconds_left = job.CoreSecondsLeft(time);
  return standing;
}

double RankOf(const RankingInputs& standing) {
  const auto objective = static_cast<double>(standing.objective.count());
  const double slack =
      static_cast<double>(
          (standing.objective - standing.age - standing.chain_left).count()) +
      kBenefitOfDoubt * objective;
  const double work = kWorkWeight * standing.core_seconds_left;
  return slack < 0 ? kTooLate + work : slack + work;
}

}  // namespace zinniacart
