#include "base/error.h"

#include <utility>

namespace zinniacart {

const char* ToString(ErrorCode code) {
  switch (code) {
    case ErrorCode::kInvalidArgument:
      return "invalid-argument";
    case ErrorCode::kNotFound:
      return "not-found";
    case ErrorCode::kConflict:
      return "conflict";
    case ErrorCode::kPreconditionFailed:
      return "precondition-failed";
    case ErrorCode::kStoreUnavailable:
      return "store-unavailable";
    case ErrorCode::kOutcomeUnknown:
      return "outcome-unknown";
    case ErrorCode::kTooLarge:
      return "too-large";
    case ErrorCode::kUnreachable:
      return "unreachable";
    case ErrorCode::kDeadlineExceeded:
      return "deadline-exceeded";
    case ErrorCode::kOverloaded:
      return "overloaded";
    case ErrorCode::kDraining:
      return "draining";
    case ErrorCode::kStaleEpoch:
      return "stale-epoch";
    case ErrorCode::kStaleStamp:
      return "stale-stamp";
    case ErrorCode::kNoRoom:
      return "no-room";
    case ErrorCode::kNotReady:
      return "not-ready";
    case ErrorCode::kNoBackend:
      return "no-backend";
    case ErrorCode::kInternal:
      return "internal";
  }
  return "unknown";
}

tl::unexpected<Error> Fail(ErrorCode code,
                           std::string detail,
                           std::string field) {
  return tl::unexpected<Error>(
      Error{code, std::move(detail), std::move(field)});
}

}  // namespace zinniacart
