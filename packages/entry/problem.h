#pragma once

#include <nlohmann/json_fwd.hpp>

#include "base/error.h"

namespace httplib {
struct Response;
}

namespace zinniacart {

/// @returns the HTTP status that callers and operators get for `code`.
int HttpStatusOf(ErrorCode code);

/// @returns an RFC 9457 problem body for `error`. It has the member `field`
/// only if the error names one.
nlohmann::json ProblemOf(const Error& error);

/// Sets the status and body of `response` to the problem of `error`.
void WriteProblem(const Error& error, httplib::Response& response);

}  // namespace zinniacart
