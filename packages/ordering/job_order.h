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

/// What a job can still reach. Callers give full value to a job that ends
/// within its objective, little up to three times the objective, and none
/// afterwards.
enum class OrderTier {
  kInTime,       ///< It can end within its objective.
  kWithinThree,  ///< It can end within three times its objective.
  kLater,        ///< It can do neither.
};

struct OrderSettings {
  /// Jobs that can end within three times their objective come before those
  /// that cannot, and age counts among late jobs. Otherwise all late jobs are
  /// ordered together by their remaining work.
  bool late_tiers = true;
};

/// @returns the tier of the job by its estimates, with a tolerance for their
/// errors.
OrderTier TierOf(const RankingInputs& inputs);

/// Ranks jobs of equal priority; the smallest rank is placed first.
///
/// Jobs come in the order of their tiers. Those of the first tier are ordered
/// by slack and remaining work. Under overload this finishes more work in time
/// than earliest deadline first, which makes every job a little late. Those of
/// the other tiers are ordered by remaining work, less an allowance that grows
/// with their age, so that none waits for ever behind smaller ones.
/// @returns the rank, in milliseconds of slack plus penalties.
double RankOf(const RankingInputs& inputs, const OrderSettings& settings = {});

}  // namespace zinniacart
