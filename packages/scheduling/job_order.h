#pragma once

#include "base/clock.h"
#include "scheduling/job.h"

namespace zinniacart {

/// How a job stands, as far as the order of work is concerned.
struct RankingInputs {
  Duration objective{0};   ///< From its acceptance until it should be done.
  Duration age{0};         ///< Since its acceptance.
  Duration chain_left{0};  ///< Run time of the longest chain that is left.
  double core_seconds_left = 0;
};

/// @returns how `job` stands at `now` when its next step is `step`.
/// @param time how long the tasks of each step are expected to run.
RankingInputs RankingInputsOf(const Job& job,
                              std::uint32_t step,
                              const RunTimeEstimator& time,
                              Instant now);

/// Ranks jobs of one priority; smaller comes first. Load it answers: more work
/// than the hosts can do in time. Work in order of deadlines alone would make
/// every job a little late. Here a job comes first that has little time to
/// spare and takes little to finish; one that can no longer be in time comes
/// after those that can, the one first that takes least.
double RankOf(const RankingInputs& standing);

}  // namespace zinniacart
