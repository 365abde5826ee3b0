#include "agent/backend_server.h"

#include <httplib.h>

#include <utility>

namespace zinniacart {
namespace {

constexpr Duration kConnectTimeout{500};

bool IsHopByHop(const std::string& name) {
  static const httplib::Headers kNames{
      {"Connection", ""},       {"Keep-Alive", ""}, {"Transfer-Encoding", ""},
      {"Upgrade", ""},          {"TE", ""},         {"Trailer", ""},
      {"Proxy-Connection", ""}, {"Host", ""},       {"Content-Length", ""},
      {"Accept-Encoding", ""},
  };
  return kNames.count(name) > 0;
}

RequestOutcome ToOutcome(httplib::Error error) {
  const std::string detail = httplib::to_string(error);
  const bool nothing_sent = error == httplib::Error::Connection ||
                            error == httplib::Error::ConnectionTimeout;
  if (nothing_sent) {
    return RequestNotRun{Error{ErrorCode::kUnreachable, detail, {}}};
  }
  return RequestOutcomeUnknown{Error{ErrorCode::kOutcomeUnknown, detail, {}}};
}

}  // namespace

BackendServer::BackendServer(Endpoint endpoint, int connections)
    : m_endpoint(std::move(endpoint)),
      m_most_idle(static_cast<std::size_t>(connections)) {}

BackendServer::~BackendServer() = default;

RequestOutcome BackendServer::Call(const BackendRequest& request,
                                   Duration timeout) {
  if (!request.idempotent) {
    return CallOnce(request, true, timeout);
  }
  // A kept connection may have gone silent; leave time for a fresh one.
  auto outcome = CallOnce(request, false, timeout / 2);
  if (std::holds_alternative<RequestOutcomeUnknown>(outcome)) {
    outcome = CallOnce(request, true, timeout / 2);
  }
  return outcome;
}

RequestOutcome BackendServer::CallOnce(const BackendRequest& request,
                                       bool fresh,
                                       Duration timeout) {
  auto client = Connect(fresh, timeout);
  httplib::Request out;
  out.method = request.method;
  out.path = request.path;
  out.body = request.body;
  for (const auto& [name, value] : request.headers) {
    if (!IsHopByHop(name)) {
      out.set_header(name, value);
    }
  }
  out.set_header("Zinniacart-Request-Id", request.request.value());
  auto result = client->send(out);
  if (!result) {
    return ToOutcome(result.error());
  }
  Answer answer;
  answer.status = result->status;
  answer.body = std::move(result->body);
  for (const auto& [name, value] : result->headers) {
    if (!IsHopByHop(name)) {
      answer.headers.emplace_back(name, value);
    }
  }
  const bool kept = result->get_header_value("Connection") != "close";
  if (!fresh && kept) {
    GiveBack(std::move(client));
  }
  return RequestAnswered{std::move(answer)};
}

std::unique_ptr<httplib::Client> BackendServer::Connect(bool fresh,
                                                        Duration timeout) {
  std::unique_ptr<httplib::Client> client;
  if (!fresh) {
    const std::lock_guard lock(m_mutex);
    if (!m_idle.empty()) {
      client = std::move(m_idle.back());
      m_idle.pop_back();
    }
  }
  if (!client) {
    client = std::make_unique<httplib::Client>(m_endpoint.ip, m_endpoint.port);
    client->set_tcp_nodelay(true);
    client->set_connection_timeout(kConnectTimeout);
    client->set_keep_alive(!fresh);
    client->set_follow_location(false);
    client->set_decompress(false);
  }
  client->set_read_timeout(timeout);
  client->set_write_timeout(timeout);
  return client;
}

void BackendServer::GiveBack(std::unique_ptr<httplib::Client> client) {
  const std::lock_guard lock(m_mutex);
  if (m_idle.size() < m_most_idle) {
    m_idle.push_back(std::move(client));
  }
}

}  // namespace zinniacart
