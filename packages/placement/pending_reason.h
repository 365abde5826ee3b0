#pragma once

namespace zinniacart {

/// Why a task is not running yet.
enum class PendingReason {
  kNone,
  kNotTriedYet,
  kStarting,
  kNoHostKnown,
  kNoHostLargeEnough,  ///< It can never run on the hosts there are.
  kNoAllowedHost,      ///< Operators have taken every fitting host out.
  kNoFreeCapacity,
  kQuotaReached,
  kQuotaTooSmall,  ///< It can never run under its team's quota.
  kBackoff,        ///< It failed lately.
  kHostUncertain,  ///< Its host is silent; its lease has to end first.
  kStopping,
};
/// @returns a sentence for operators.
const char* ToString(PendingReason reason);

}  // namespace zinniacart
