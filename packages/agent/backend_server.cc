#include "agent/backend_server.h"

#include <httplib.h>

#include <utility>

namespace zinniacart {
namespace {

constexpr Duration kConnectTimeout{500};

/// @returns whether the header belongs to a single connection or is set anew by
/// the HTTP library, and so is not forwarded.
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

BackendServer::BackendServer(Endpoint endpoint, int max_idle_connections)
    : m_endpoint(std::move(endpoint)),
      m_max_idle(static_cast<std::size_t>(max_idle_connections)) {}

BackendServer::~BackendServer() = default;

RequestOutcome BackendServer::Call(const BackendRequest& request,
                                   Duration timeout) {
  if (!request.idempotent) {
    return CallOnce(request, true, timeout);
  }
  // The reused connection may be lost without notice: half of the timeout is
  // left for a try on a new one.
  auto outcome = CallOnce(request, false, timeout / 2);
  if (std::holds_alternative<RequestOutcomeUnknown>(outcome)) {
    outcome = CallOnce(request, true, timeout / 2);
  }
  return outcome;
}

RequestOutcome BackendServer::CallOnce(const BackendRequest& request,
                                       bool new_connection,
                                       Duration timeout) {
  auto client = AcquireClient(new_connection, timeout);
  httplib::Request outgoing;
  outgoing.method = request.method;
  outgoing.path = request.path;
  outgoing.body = request.body;
  for (const auto& [name, value] : request.headers) {
    if (!IsHopByHop(name)) {
      outgoing.set_header(name, value);
    }
  }
  outgoing.set_header("Zinniacart-Request-Id", request.request.value());
  auto result = client->send(outgoing);
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
  const bool keeps_alive = result->get_header_value("Connection") != "close";
  if (!new_connection && keeps_alive) {
    ReturnToPool(std::move(client));
  }
  return RequestAnswered{std::move(answer)};
}

std::unique_ptr<httplib::Client> BackendServer::AcquireClient(
    bool new_connection,
    Duration timeout) {
  std::unique_ptr<httplib::Client> client;
  if (!new_connection) {
    const std::lock_guard lock(m_mutex);
    if (!m_idle_clients.empty()) {
      client = std::move(m_idle_clients.back());
      m_idle_clients.pop_back();
    }
  }
  if (!client) {
    client = std::make_unique<httplib::Client>(m_endpoint.ip, m_endpoint.port);
    client->set_tcp_nodelay(true);
    client->set_connection_timeout(kConnectTimeout);
    client->set_keep_alive(!new_connection);
    client->set_follow_location(false);
    client->set_decompress(false);
  }
  client->set_read_timeout(timeout);
  client->set_write_timeout(timeout);
  return client;
}

void BackendServer::ReturnToPool(std::unique_ptr<httplib::Client> client) {
  const std::lock_guard lock(m_mutex);
  if (m_idle_clients.size() < m_max_idle) {
    m_idle_clients.push_back(std::move(client));
  }
}

}  // namespace zinniacart
