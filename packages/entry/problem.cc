#include "entry/problem.h"

#include <httplib.h>

#include <nlohmann/json.hpp>

namespace zinniacart {

int HttpStatusOf(ErrorCode code) {
  switch (code) {
    case ErrorCode::kInvalidArgument:
      return 400;
    case ErrorCode::kNotFound:
    case ErrorCode::kNoBackend:
      return 404;
    case ErrorCode::kConflict:
    case ErrorCode::kPreconditionFailed:
      return 409;
    case ErrorCode::kOutcomeUnknown:
    case ErrorCode::kDeadlineExceeded:
      return 504;
    case ErrorCode::kInternal:
      return 500;
    default:
      return 503;
  }
}

nlohmann::json ProblemOf(const Error& error) {
  nlohmann::json problem{
      {"type", std::string("urn:zinniacart:problem:") + ToString(error.code)},
      {"title", ToString(error.code)},
      {"status", HttpStatusOf(error.code)},
      {"detail", error.detail}};
  if (!error.field.empty()) {
    problem["field"] = error.field;
  }
  return problem;
}

void WriteProblem(const Error& error, httplib::Response& response) {
  response.status = HttpStatusOf(error.code);
  const std::string body = ProblemOf(error).dump(
      -1, ' ', false, nlohmann::json::error_handler_t::replace);
  response.set_content(body, "application/problem+json");
}

}  // namespace zinniacart
