#pragma once

#include "base/clock.h"

namespace zinniacart {

/// The properties of a job that decide its rank.
struct RankingInputs {
  Duration objective{0};   ///< Time from acceptance to the due time.
  Duration age{0};         ///< Time since acceptance.
  Duration chain_left{0};  ///< Run time of the longest chain from the step on.
  /// Run time of the rest of the critical path, including running tasks.
  Duration critical_left{0};
  double core_seconds_left = 0;  ///< Work of the tasks that are not done.
};

/// Ranks jobs of equal priority; the smallest rank is placed first.
///
/// Jobs with little slack and little remaining work come first. Jobs that can
/// no longer meet their objective come after all jobs that can, in order of
/// their remaining work. Under overload this finishes more work in time than
/// earliest deadline first, which makes every job a little late.
/// @returns the rank, in milliseconds of slack plus penalties.
double RankOf(const RankingInputs& inputs);

}  // namespace zinniacart
