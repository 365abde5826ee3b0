#pragma once

namespace zinniacart {

/// The reason why a task is not running.
enum class PendingReason {
  kNone,               ///< The task is running or has ended.
  kNotTriedYet,        ///< The scheduler has not tried to place it yet.
  kStarting,           ///< Its host was asked to start it.
  kNoHostKnown,        ///< No host has announced itself.
  kNoHostLargeEnough,  ///< It can never run: no host's capacity is enough.
  kNoAllowedHost,      ///< Operators have drained every host that fits.
  kNoFreeCapacity,     ///< No host has enough free capacity now.
  kQuotaReached,       ///< Its team's quota is in use.
  kQuotaTooSmall,      ///< It can never run: it exceeds its team's quota.
  kBackoff,            ///< It failed recently and waits to be retried.
  kHostUncertain,      ///< Its host sends nothing; its lease must expire first.
  kStopping,           ///< It is being stopped.
};
/// @returns a description for operators.
const char* ToString(PendingReason reason);

}  // namespace zinniacart
