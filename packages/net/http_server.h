#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <memory>
#include <set>

#include "net/http_types.h"

namespace zinniacart::net {

class ServerConnection;

/// Limits that one `HttpServer` applies to each connection.
struct ServerLimits {
  std::size_t most_header_bytes = 16384;
  std::size_t most_body_bytes = 1U << 20U;
  /// In milliseconds. A connection is closed if no complete request is received
  /// within this time.
  Duration idle_timeout{60000};
};

/// An asynchronous HTTP/1.1 server with one listening socket on the event loop.
/// Requests of one connection are handled sequentially; a handler may send its
/// response after it has returned.
class HttpServer final {
 public:
  HttpServer(boost::asio::io_context& loop,
             ServerLimits limits,
             RequestHandler handler);
  ~HttpServer();

  /// Binds and listens; with port 0 the kernel chooses the port.
  /// @returns the bound port, or `kInvalidArgument` naming the address.
  Result<std::uint16_t> Listen(const std::string& ip, std::uint16_t port);

  /// Closes the listening socket. Each connection closes after the response to
  /// its current request or, if it is idle, to its next one.
  void Drain();

  /// Closes the connections that have no request in flight and no unread
  /// data.
  void CloseIdleConnections();

  /// @returns the number of requests whose response is not completely sent.
  std::size_t requests_in_flight() const;

 private:
  friend class ServerConnection;
  void Accept();
  void AcceptAfterDelay();

  boost::asio::io_context& m_loop;
  const ServerLimits m_limits;
  const RequestHandler m_handler;
  boost::asio::ip::tcp::acceptor m_acceptor;
  boost::asio::steady_timer m_accept_retry_timer;
  std::set<ServerConnection*> m_connections;
  bool m_draining = false;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace zinniacart::net
