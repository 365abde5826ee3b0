#pragma once

#include "base/clock.h"
#include "ordering/job_order.h"
#include "scheduling/job.h"

namespace zinniacart {

/// @returns the properties of `job` at `now` for ranking its step `step`.
/// @param estimate_time gives the expected run time of the tasks of each step.
RankingInputs RankingInputsOf(const Job& job,
                              std::uint32_t step,
                              const RunTimeEstimator& estimate_time,
                              Instant now);

}  // namespace zinniacart
