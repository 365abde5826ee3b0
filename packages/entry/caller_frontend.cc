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
constexpr const char* kKeyHeader = "Idempotency-Key";
constexpr Duration kDefaultTimeout{10'000};
constexpr std::int64_t kLongestTimeoutMs = 30'000;
constexpr std::size_t kLargestBody = 8 << 20;
/// Idle caller connections give their thread back soon.
constexpr int kIdleSeconds = 2;

bool IsIdempotent(const std::string& method) {
  return method != "POST" && method != "PATCH";
}

Result<Duration> ParseTimeout(const httplib::Request& in) {
  if (!in.has_header(kTimeoutHeader)) {
    return kDefaultTimeout;
  }
  const std::string text = in.get_header_value(kTimeoutHeader);
  std::int64_t number = 0;
  const char* last = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), last, number);
  const bool good = parsed.ec == std::errc() && parsed.ptr == last &&
                    number >= 1 && number <= kLongestTimeoutMs;
  if (!good) {
    return Fail(ErrorCode::kInvalidArgument,
                "expected 1 to " + std::to_string(kLongestTimeoutMs),
                kTimeoutHeader);
  }
  return Duration(number);
}

Result<std::string> ParseKey(const httplib::Request& in) {
  if (in.get_header_value_count(kKeyHeader) > 1) {
    return Fail(ErrorCode::kInvalidArgument, "given more than once",
                kKeyHeader);
  }
  const std::string key = in.get_header_value(kKeyHeader);
  const bool visible = std::all_of(
      key.begin(), key.end(), [](char c) { return c > ' ' && c < '\x7f'; });
  const bool good = visible && key.size() <= IdempotencyKeys::kLongestKey &&
                    (!key.empty() || !in.has_header(kKeyHeader));
  if (!good) {
    return Fail(ErrorCode::kInvalidArgument,
                "expected 1 to 255 visible characters", kKeyHeader);
  }
  return key;
}

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
      m_server(HttpServerLimits{static_cast<std::size_t>(threads), kIdleSeconds,
                                kLargestBody}) {
  auto& server = m_server.server();
  const auto handler = [this](const auto& in, auto& out) { Serve(in, out); };
  const std::string pattern = "/s/([^/]+)(/.*)?";
  server.Get(pattern, handler);
  server.Post(pattern, handler);
  server.Put(pattern, handler);
  server.Patch(pattern, handler);
  server.Delete(pattern, handler);
  server.Options(pattern, handler);
  server.set_error_handler([](const auto&, auto& out) {
    if (out.has_header(kOutcomeHeader)) {
      return;
    }
    // The request never left the listener.
    out.set_header(kOutcomeHeader, "not-run");
    const ErrorCode code =
        out.status == 404 ? ErrorCode::kNotFound : ErrorCode::kInvalidArgument;
    nlohmann::json problem = ProblemOf(Error{code, "not accepted", {}});
    problem["status"] = out.status;
    out.set_content(problem.dump(), "application/problem+json");
  });
}

bool CallerFrontend::Start(const Endpoint& endpoint) {
  return m_server.Start(endpoint);
}

void CallerFrontend::Stop() {
  m_server.Stop();
}

void CallerFrontend::Serve(const httplib::Request& in, httplib::Response& out) {
  ++m_counts.in_flight;
  if (m_draining) {
    out.set_header("Connection", "close");
  }
  const auto request = Identify(in);
  const auto key = ParseKey(in);
  if (!request) {
    AnswerOutcome(RequestNotRun{request.error()}, out);
  } else if (!key) {
    AnswerOutcome(RequestNotRun{key.error()}, out);
  } else if (key->empty() || request->idempotent) {
    AnswerOutcome(m_dispatcher.Dispatch(*request), out);
  } else {
    AnswerOutcome(m_keys.Run(*request, *key), out);
  }
  --m_counts.in_flight;
}

Result<CallerRequest> CallerFrontend::Identify(
    const httplib::Request& in) const {
  CallerRequest request;
  const auto service =
      ParseName(nlohmann::json{{"service", in.matches[1].str()}}, "service");
  if (!service) {
    return tl::unexpected(service.error());
  }
  const auto timeout = ParseTimeout(in);
  if (!timeout) {
    return tl::unexpected(timeout.error());
  }
  request.service = ServiceId(*service);
  request.method = in.method;
  request.idempotent = IsIdempotent(in.method);
  request.deadline = m_clock.Now() + *timeout;
  // The target keeps its query and its encoding.
  const std::size_t prefix = std::string("/s/").size() + service->size();
  request.path = in.target.substr(std::min(prefix, in.target.size()));
  if (request.path.empty() || request.path.front() != '/') {
    request.path.insert(0, "/");
  }
  request.body = in.body;
  for (const auto& [name, value] : in.headers) {
    if (IsForwardedHeader(name)) {
      request.headers.emplace_back(name, value);
    }
  }
  return request;
}

void CallerFrontend::AnswerOutcome(const RequestOutcome& outcome,
                                   httplib::Response& out) {
  std::visit(
      Visitor{[&](const RequestAnswered& answered) {
                ++m_counts.answered;
                out.status = answered.answer.status;
                for (const auto& [name, value] : answered.answer.headers) {
                  if (name != "Content-Type") {
                    out.set_header(name, value);
                  }
                }
                out.set_header(kOutcomeHeader, "answered");
                std::string type = "application/octet-stream";
                for (const auto& [name, value] : answered.answer.headers) {
                  type = name == "Content-Type" ? value : type;
                }
                out.set_content(answered.answer.body, type);
              },
              [&](const RequestNotRun& not_run) {
                ++m_counts.not_run;
                out.set_header(kOutcomeHeader, "not-run");
                AnswerProblem(not_run.reason, out);
              },
              [&](const RequestOutcomeUnknown& unknown) {
                ++m_counts.unknown;
                out.set_header(kOutcomeHeader, "unknown");
                AnswerProblem(unknown.reason, out);
              },
              [&](const RequestRunning&) {
                ++m_counts.unknown;
                out.set_header(kOutcomeHeader, "unknown");
                AnswerProblem(
                    Error{ErrorCode::kOutcomeUnknown, "still running", {}},
                    out);
              }},
      outcome);
}

}  // namespace zinniacart
