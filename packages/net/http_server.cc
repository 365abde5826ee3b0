#include "net/http_server.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "net/server_connection.h"

namespace zinniacart::net {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

/// Holds bursts of new connections. When the backlog is full, a peer's
/// handshake is delayed by seconds.
constexpr int kListenBacklog = 1024;
/// Accepting fails when file descriptors run out; some are free again after
/// about this time (in milliseconds).
constexpr Duration kAcceptRetryDelay{50};

}  // namespace

HttpServer::HttpServer(boost::asio::io_context& loop,
                       ServerLimits limits,
                       RequestHandler handler)
    : m_loop(loop),
      m_limits(limits),
      m_handler(std::move(handler)),
      m_acceptor(loop),
      m_accept_retry_timer(loop) {}

HttpServer::~HttpServer() {
  *m_alive = false;
  for (ServerConnection* connection : m_connections) {
    connection->DetachFromServer();
  }
}

Result<std::uint16_t> HttpServer::Listen(const std::string& ip,
                                         std::uint16_t port) {
  error_code error;
  const tcp::endpoint endpoint(boost::asio::ip::make_address_v4(ip, error),
                               port);
  if (!error) {
    m_acceptor.open(endpoint.protocol(), error);
  }
  if (!error) {
    m_acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  }
  if (!error) {
    m_acceptor.bind(endpoint, error);
  }
  if (!error) {
    m_acceptor.listen(kListenBacklog, error);
  }
  if (error) {
    return Fail(ErrorCode::kInvalidArgument,
                "cannot listen on " + ip + ":" + std::to_string(port) + ": " +
                    error.message(),
                "listen");
  }
  Accept();
  return m_acceptor.local_endpoint().port();
}

void HttpServer::Accept() {
  m_acceptor.async_accept([this, alive = m_alive](error_code error,
                                                  tcp::socket socket) {
    if (!*alive || error == boost::asio::error::operation_aborted) {
      return;
    }
    if (error) {
      return AcceptAfterDelay();
    }
    std::make_shared<ServerConnection>(std::move(socket), *this)->ReadRequest();
    Accept();
  });
}

void HttpServer::AcceptAfterDelay() {
  m_accept_retry_timer.expires_after(kAcceptRetryDelay);
  m_accept_retry_timer.async_wait([this, alive = m_alive](error_code error) {
    if (*alive && !error && !m_draining) {
      Accept();
    }
  });
}

void HttpServer::Drain() {
  m_draining = true;
  error_code ignored;
  m_acceptor.close(ignored);
}

void HttpServer::CloseIdleConnections() {
  const std::vector<ServerConnection*> connections(m_connections.begin(),
                                                   m_connections.end());
  for (ServerConnection* connection : connections) {
    connection->CloseIfIdle();
  }
}

std::size_t HttpServer::requests_in_flight() const {
  return static_cast<std::size_t>(std::count_if(
      m_connections.begin(), m_connections.end(),
      [](const auto* connection) { return connection->carries_request(); }));
}

}  // namespace zinniacart::net
