#include "scheduling/ranking_inputs.h"

namespace zinniacart {

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

}  // namespace zinniacart
