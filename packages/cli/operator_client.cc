#include "cli/operator_client.h"

#include <chrono>
#include <random>
#include <thread>

namespace zinniacart {
namespace {

using nlohmann::json;

constexpr Duration kTimeout{8'000};
constexpr std::chrono::milliseconds kPollPause{100};
constexpr int kFirstErrorStatus = 400;
/// A change whose outcome is unknown is repeated under its own id.
constexpr int kMostTries = 3;

std::string DrawChangeId() {
  std::random_device device;
  std::string id;
  for (int part = 0; part < 4; ++part) {
    id += std::to_string(device()) + (part < 3 ? "-" : "");
  }
  return id;
}

ErrorCode CodeOf(const std::string& title) {
  for (int number = 0; number <= static_cast<int>(ErrorCode::kInternal);
       ++number) {
    const auto code = static_cast<ErrorCode>(number);
    if (title == ToString(code)) {
      return code;
    }
  }
  return ErrorCode::kInternal;
}

std::string PathOf(const std::string& what) {
  if (what.starts_with("job/")) {
    return "/v1/jobs/" + what.substr(4);
  }
  if (what.find('/') == std::string::npos) {
    return "/v1/resources?kind=" + what;
  }
  return "/v1/resources/" + what;
}

}  // namespace

OperatorClient::OperatorClient(Endpoint entry, std::string author)
    : m_client(std::move(entry), kTimeout), m_author(std::move(author)) {}

Result<json> OperatorClient::Apply(const json& body,
                                   std::optional<std::uint64_t> expected) {
  const bool job = body.is_object() && body.value("kind", "") == "job";
  if (job) {
    return Call("POST", "/v1/jobs", body.dump(), {});
  }
  HttpHeaders headers = ChangeHeaders();
  if (expected) {
    headers.emplace_back("If-Match", std::to_string(*expected));
  }
  return Call("POST", "/v1/resources", body.dump(), headers);
}

Result<json> OperatorClient::Get(const std::string& what) {
  return Call("GET", PathOf(what), {}, {});
}

Result<json> OperatorClient::Delete(const std::string& what) {
  return Call("DELETE", PathOf(what), {}, ChangeHeaders());
}

Result<json> OperatorClient::Read(const std::string& path) {
  return Call("GET", path, {}, {});
}

Result<void> OperatorClient::AwaitInForce(std::uint64_t serial,
                                          Duration patience) {
  const SteadyClock clock;
  const Instant give_up = clock.Now() + patience;
  std::string behind;
  while (clock.Now() < give_up) {
    const auto answer = Read("/v1/in-force?serial=" + std::to_string(serial));
    if (answer && answer->value("in_force", false)) {
      return {};
    }
    behind = answer ? answer->at("behind").dump() : answer.error().detail;
    std::this_thread::sleep_for(kPollPause);
  }
  return Fail(ErrorCode::kDeadlineExceeded, "not in force at " + behind);
}

Result<json> OperatorClient::Call(const std::string& method,
                                  const std::string& path,
                                  const std::string& body,
                                  const HttpHeaders& headers) {
  Result<json> result = Fail(ErrorCode::kUnreachable, "not tried");
  for (int tries = 0; tries < kMostTries; ++tries) {
    const auto answer = m_client.Call(method, path, body, headers);
    if (!answer) {
      result = tl::unexpected(answer.error());
    } else {
      const json parsed = json::parse(answer->body, nullptr, false);
      if (answer->status < kFirstErrorStatus && !parsed.is_discarded()) {
        return parsed;
      }
      const bool problem = parsed.is_object();
      result = Fail(CodeOf(problem ? parsed.value("title", "") : std::string()),
                    problem ? parsed.value("detail", "") : answer->body,
                    problem ? parsed.value("field", "") : std::string());
    }
    if (result.error().code != ErrorCode::kOutcomeUnknown) {
      break;
    }
  }
  return result;
}

HttpHeaders OperatorClient::ChangeHeaders() const {
  return {{"Zinniacart-Change-Id", DrawChangeId()},
          {"Zinniacart-Author", m_author}};
}

}  // namespace zinniacart
