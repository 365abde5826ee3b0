#pragma once

#include <nlohmann/json_fwd.hpp>

#include "base/error.h"

namespace httplib {
struct Response;
}

namespace zinniacart {

/// @returns the HTTP status that stands for `code`.
int HttpStatusOf(ErrorCode code);

/// @returns an RFC 9457 problem body for `error`.
nlohmann::json ProblemOf(const Error& error);

/// Answers `response` with the problem of `error`.
void AnswerProblem(const Error& error, httplib::Response& response);

}  // namespace zinniacart
