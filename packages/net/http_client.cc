#include "net/http_client.h"

#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/logging.h"
#include "net/client_connection.h"

namespace zinniacart::net {
namespace {

/// Limits the idle connections kept per server; more than this are rarely in
/// use at once.
constexpr std::size_t kMaxIdleConnections = 8;

}  // namespace

std::shared_ptr<HttpClient> HttpClient::Create(boost::asio::io_context& loop,
                                               Address address,
                                               const ClientLimits& limits) {
  return Create(loop, std::move(address),
                std::make_shared<ClientBudget>(limits));
}

std::shared_ptr<HttpClient> HttpClient::Create(
    boost::asio::io_context& loop,
    Address address,
    std::shared_ptr<ClientBudget> budget) {
  return std::shared_ptr<HttpClient>(
      new HttpClient(loop, std::move(address), std::move(budget)));
}

HttpClient::HttpClient(boost::asio::io_context& loop,
                       Address address,
                       std::shared_ptr<ClientBudget> budget)
    : m_loop(loop), m_address(std::move(address)), m_budget(std::move(budget)) {
  m_budget->Add(*this);
}

HttpClient::~HttpClient() {
  m_budget->Remove(*this);
}

void HttpClient::Call(Request request,
                      Duration timeout,
                      ResponseCallback done,
                      Patience patience) {
  const auto connection = TakeConnection();
  if (!connection) {
    LogWarning(
        "call failed: all connections are in use",
        {{"server", m_address.ToString()}, {"connections", m_connections}});
    // The caller may not expect the outcome before this returns.
    boost::asio::post(m_loop,
                      [done = std::move(done), server = m_address.ToString()] {
                        done(Fail(ErrorCode::kUnreachable,
                                  server + ": all connections are in use"));
                      });
    return;
  }
  connection->Start(std::move(request), timeout, patience, std::move(done));
}

std::shared_ptr<ClientConnection> HttpClient::TakeConnection() {
  if (!m_idle.empty()) {
    auto connection = std::move(m_idle.back());
    m_idle.pop_back();
    return connection;
  }
  if (m_connections >= m_budget->limits().most_connections_per_server ||
      !m_budget->TakeConnection()) {
    return nullptr;
  }
  ++m_connections;
  return std::make_shared<ClientConnection>(m_loop, shared_from_this(),
                                            m_budget);
}

void HttpClient::DropIdleConnections() {
  m_idle.clear();
}

void HttpClient::ReturnToPool(std::shared_ptr<ClientConnection> connection) {
  if (m_idle.size() < kMaxIdleConnections) {
    m_idle.push_back(std::move(connection));
  }
}

}  // namespace zinniacart::net
