#include "net/http_client.h"

#include <utility>

#include "net/client_connection.h"

namespace zinniacart::net {
namespace {

/// Limits the idle connections kept per server; more than this are rarely in
/// use at once.
constexpr std::size_t kMaxIdleConnections = 8;

}  // namespace

std::shared_ptr<HttpClient> HttpClient::Create(boost::asio::io_context& loop,
                                               Address address) {
  return std::shared_ptr<HttpClient>(new HttpClient(loop, std::move(address)));
}

HttpClient::HttpClient(boost::asio::io_context& loop, Address address)
    : m_loop(loop), m_address(std::move(address)) {}

void HttpClient::Call(Request request,
                      Duration timeout,
                      ResponseCallback done,
                      Patience patience) {
  std::shared_ptr<ClientConnection> connection;
  if (m_idle.empty()) {
    connection = std::make_shared<ClientConnection>(m_loop, shared_from_this());
  } else {
    connection = std::move(m_idle.back());
    m_idle.pop_back();
  }
  connection->Start(std::move(request), timeout, patience, std::move(done));
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
