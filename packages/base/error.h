#pragma once

#include <string>
#include <tl/expected.hpp>

namespace zinniacart {

/// The kinds of failure that the system reports.
enum class ErrorCode {
  kInvalidArgument,     ///< The input is malformed; `field` names the part.
  kNotFound,            ///< The requested object does not exist.
  kConflict,            ///< A concurrent change won; `detail` names it.
  kPreconditionFailed,  ///< A version or epoch did not match.
  kStoreUnavailable,    ///< The platform's store did not accept the call.
  kOutcomeUnknown,      ///< The call may or may not have taken effect.
  kTooLarge,            ///< The response exceeds the limit on its size.
  kUnreachable,         ///< No connection to the peer; nothing was sent.
  kDeadlineExceeded,    ///< The deadline expired before anything ran.
  kOverloaded,          ///< Rejected early because a limit was reached.
  kDraining,            ///< The target accepts no new work.
  kStaleEpoch,          ///< The sender is no longer the current owner.
  kStaleStamp,          ///< The stamp expired or is of an earlier run.
  kNoRoom,              ///< The host lacks free capacity or a reservation.
  kNotReady,            ///< The process has not finished starting.
  kNoBackend,           ///< No backend server announces the service.
  kInternal,            ///< A bug; `detail` says where.
};

/// @returns the stable name of `code`, as used in logs and in the problem
/// bodies of HTTP responses.
const char* ToString(ErrorCode code);

/// A failure: its kind, a description, and in `field` the name of the faulty
/// part of the input, or an empty string where no single part is at fault.
struct Error {
  ErrorCode code = ErrorCode::kInternal;
  std::string detail;
  std::string field;
};

/// A value of type `T`, or the `Error` that prevented it.
template <typename T>
using Result = tl::expected<T, Error>;

/// @returns an `Error` of these parts, ready to be returned as a `Result`.
tl::unexpected<Error> Fail(ErrorCode code,
                           std::string detail,
                           std::string field = {});

}  // namespace zinniacart
