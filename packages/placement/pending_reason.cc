#include "placement/pending_reason.h"

namespace zinniacart {

const char* ToString(PendingReason reason) {
  switch (reason) {
    case PendingReason::kNone:
      return "running or done";
    case PendingReason::kNotTriedYet:
      return "waiting for its turn";
    case PendingReason::kStarting:
      return "a host was asked and is starting it";
    case PendingReason::kNoHostKnown:
      return "no host has announced itself";
    case PendingReason::kNoHostLargeEnough:
      return "can never run: no host is large enough";
    case PendingReason::kNoAllowedHost:
      return "operators have taken every host that fits out";
    case PendingReason::kNoFreeCapacity:
      return "no host has room now";
    case PendingReason::kQuotaReached:
      return "the team's quota is in use";
    case PendingReason::kQuotaTooSmall:
      return "can never run: one task exceeds the team's quota";
    case PendingReason::kBackoff:
      return "failed lately, waiting before the next try";
    case PendingReason::kHostUncertain:
      return "its host is silent; its lease has to end first";
    case PendingReason::kStopping:
      return "is being stopped";
  }
  return "unknown";
}

}  // namespace zinniacart
