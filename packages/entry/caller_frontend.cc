#include "entry/caller_frontend.h"

#include <httplib.h>

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

#include "configuration/resource.h"
#include "entry/problem.h"
#include "placement/messages.h"

namespace zinniacart {
namespace {

constexpr const char* kOutcomeHeader = "Zinniacart-Outcome";
constexpr const char* kTimeoutHeader = "Zinniacart-Timeout-Ms";
constexpr const char* kIdempotencyKeyHeader = "Idempotency-Key";
constexpr Duration kDefaultTimeout{10'000};
constexpr std::int64_t kMaxTimeoutMs = 30'000;
constexpr std::size_t kMaxBodyBytes = 8 << 20;
/// Each open connection occupies a thread, so idle ones are closed early.
constexpr int kIdleTimeoutSeconds = 2;

bool IsIdempotent(const std::string& method) {
  return method != "POST" && method != "PATCH";
}

Result<Duration> ParseTimeout(const httplib::Request& http_request) {
  if (!http_request.has_header(kTimeoutHeader)) {
    return kDefaultTimeout;
  }
  const std::string text = http_request.get_header_value(kTimeoutHeader);
  std::int64_t number = 0;
  const char* last = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), last, number);
  const bool valid = parsed.ec == std::errc() && parsed.ptr == last &&
                     number >= 1 && number <= kMaxTimeoutMs;
  if (!valid) {
    return Fail(ErrorCode::kInvalidArgument,
                "expected 1 to " + std::to_string(kMaxTimeoutMs),
                kTimeoutHeader);
  }
  return Duration(number);
}

Result<std::string> ParseIdempotencyKey(const httplib::Request& http_request) {
  if (http_request.get_header_value_count(kIdempotencyKeyHeader) > 1) {
    return Fail(ErrorCode::kInvalidArgument, "given more than once",
                kIdempotencyKeyHeader);
  }
  const std::string key = http_request.get_header_value(kIdempotencyKeyHeader);
  const bool visible = std::all_of(
      key.begin(), key.end(), [](char c) { return c > ' ' && c < '\x7f'; });
  const bool valid =
      visible && key.size() <= IdempotencyKeys::kMaxKeyLength &&
      (!key.empty() || !http_request.has_header(kIdempotencyKeyHeader));
  if (!valid) {
    return Fail(ErrorCode::kInvalidArgument,
                "expected 1 to 255 visible characters", kIdempotencyKeyHeader);
  }
  return key;
}

/// @returns false for the pseudo-headers that httplib adds to each request.
bool IsForwardedHeader(const std::string& name) {
  return name != "REMOTE_ADDR" && name != "REMOTE_PORT" &&
         name != "LOCAL_ADDR" && name != "LOCAL_PORT";
}

}  // namespace

CallerFrontend::CallerFrontend(const Clock& clock,
                               RequestDispatcher& dispatcher,
                               IdempotencyKeys& keys,
                               int threads)
    : m_clock(clock),
      m_dispatcher(dispatcher),
      m_keys(keys),
      m_server(HttpServerLimits{static_cast<std::size_t>(threads),
                                kIdleTimeoutSeconds, kMaxBodyBytes}) {
  auto& server = m_server.server();
  const auto handler = [this](const auto& http_request, auto& http_response) {
    HandleRequest(http_request, http_response);
  };
  const std::string pattern = "/s/([^/]+)(/.*)?";
  server.Get(pattern, handler);
  server.Post(pattern, handler);
  server.Put(pattern, handler);
  server.Patch(pattern, handler);
  server.Delete(pattern, handler);
  server.Options(pattern, handler);
  server.set_error_handler([](const auto&, auto& http_response) {
    if (http_response.has_header(kOutcomeHeader)) {
      return;
    }
    // The listener rejected the request before any handler ran.
    http_response.set_header(kOutcomeHeader, "not-run");
    const ErrorCode code = http_response.status == 404
                               ? ErrorCode::kNotFound
                               : ErrorCode::kInvalidArgument;
    nlohmann::json problem = ProblemOf(Error{code, "not accepted", {}});
    problem["status"] = http_response.status;
    http_response.set_content(problem.dump(), "application/problem+json");
  });
}

bool CallerFrontend::Start(const Endpoint& endpoint) {
  return m_server.Start(endpoint);
}

void CallerFrontend::Stop() {
  m_server.Stop();
}

void CallerFrontend::HandleRequest(const httplib::Request& http_request,
                                   httplib::Response& http_response) {
  ++m_counts.in_flight;
  if (m_draining) {
    http_response.set_header("Connection", "close");
  }
  const auto request = ParseRequest(http_request);
  const auto key = ParseIdempotencyKey(http_request);
  if (!request) {
    WriteOutcome(RequestNotRun{request.error()}, http_response);
  } else if (!key) {
    WriteOutcome(RequestNotRun{key.error()}, http_response);
  } else if (key->empty() || request->idempotent) {
    WriteOutcome(m_dispatcher.Dispatch(*request), http_response);
  } else {
    WriteOutcome(m_keys.Run(*request, *key), http_response);
  }
  --m_counts.in_flight;
}

Result<CallerRequest> CallerFrontend::ParseRequest(
    const httplib::Request& http_request) const {
  CallerRequest request;
  const auto service = ParseName(
      nlohmann::json{{"service", http_request.matches[1].str()}}, "service");
  if (!service) {
    return tl::unexpected(service.error());
  }
  const auto timeout = ParseTimeout(http_request);
  if (!timeout) {
    return tl::unexpected(timeout.error());
  }
  request.service = ServiceId(*service);
  request.method = http_request.method;
  request.idempotent = IsIdempotent(http_request.method);
  request.deadline = m_clock.Now() + *timeout;
  // The path is cut from the raw target, which keeps the query and the
  // percent-encoding.
  const std::size_t prefix = std::string("/s/").size() + service->size();
  request.path =
      http_request.target.substr(std::min(prefix, http_request.target.size()));
  if (request.path.empty() || request.path.front() != '/') {
    request.path.insert(0, "/");
  }
  request.body = http_request.body;
  for (const auto& [name, value] : http_request.headers) {
    if (IsForwardedHeader(name)) {
      request.headers.emplace_back(name, value);
    }
  }
  return request;
}

void CallerFrontend::WriteOutcome(const RequestOutcome& outcome,
                                  httplib::Response& http_response) {
  std::visit(
      Visitor{[&](const RequestAnswered& answered) {
                ++m_counts.answered;
                http_response.status = answered.answer.status;
                for (const auto& [name, value] : answered.answer.headers) {
                  if (name != "Content-Type") {
                    http_response.set_header(name, value);
                  }
                }
                http_response.set_header(kOutcomeHeader, "answered");
                std::string type = "application/octet-stream";
                for (const auto& [name, value] : answered.answer.headers) {
                  type = name == "Content-Type" ? value : type;
                }
                http_response.set_content(answered.answer.body, type);
              },
              [&](const RequestNotRun& not_run) {
                ++m_counts.not_run;
                http_response.set_header(kOutcomeHeader, "not-run");
                WriteProblem(not_run.reason, http_response);
              },
              [&](const RequestOutcomeUnknown& unknown) {
                ++m_counts.unknown;
                http_response.set_header(kOutcomeHeader, "unknown");
                WriteProblem(unknown.reason, http_response);
              },
              [&](const RequestRunning&) {
                ++m_counts.unknown;
                http_response.set_header(kOutcomeHeader, "unknown");
                WriteProblem(
                    Error{ErrorCode::kOutcomeUnknown, "still running", {}},
                    http_response);
              }},
      outcome);
}

}  // namespace zinniacart
