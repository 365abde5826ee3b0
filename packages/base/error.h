#pragma once

#include <string>
#include <tl/expected.hpp>

namespace zinniacart {

/// Every kind of failure the system reports.
enum class ErrorCode {
  kInvalidArgument,     ///< The input is malformed; `field` names the part.
  kNotFound,            ///< The named thing does not exist.
  kConflict,            ///< A racing change won; `detail` names the winner.
  kPreconditionFailed,  ///< A version or epoch did not match.
  kStoreUnavailable,    ///< The platform's store did not take the call.
  kOutcomeUnknown,      ///< The call may or may not have taken effect.
  kUnreachable,         ///< No connection to the peer; nothing was sent.
  kDeadlineExceeded,    ///< Time ran out before anything was run.
  kOverloaded,          ///< Refused early because a limit was reached.
  kDraining,            ///< The target takes no new work.
  kStaleEpoch,          ///< The sender no longer owns what it acts on.
  kStaleStamp,          ///< A handshake stamp has expired or is void.
  kNoRoom,              ///< The host's ledger has no room.
  kNotReady,            ///< The process has not finished starting.
  kNoBackend,           ///< No backend server announces the service.
  kInternal,            ///< A bug; `detail` says where.
};

/// @returns the code's stable name, as used in logs and problem bodies.
const char* ToString(ErrorCode code);

/// A typed failure. `field` is set where one part of the input is at fault.
struct Error {
  ErrorCode code = ErrorCode::kInternal;
  std::string detail;
  std::string field;
};

template <typename T>
using Result = tl::expected<T, Error>;

/// @returns an unexpected value holding an `Error` of these parts.
tl::unexpected<Error> Fail(ErrorCode code,
                           std::string detail,
                           std::string field = {});

}  // namespace zinniacart
