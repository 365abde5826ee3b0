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

/// What one listener accepts.
struct ServerLimits {
  std::size_t most_header_bytes = 16384;
  std::size_t most_body_bytes = 1U << 20U;
  /// A kept connection without a request is closed after this time.
  Duration idle_timeout{60000};
};

/// One HTTP/1.1 listener on the event loop. Requests of one connection are
/// handled one after the other; handlers may respond later.
class HttpServer final {
 public:
  HttpServer(boost::asio::io_context& loop,
             ServerLimits limits,
             RequestHandler handler);
  ~HttpServer();

  /// Binds and listens; port 0 lets the kernel choose.
  /// @returns the bound port, or `kInvalidArgument` naming the address.
  Result<std::uint16_t> Listen(const std::string& ip, std::uint16_t port);

  /// Closes the listener and makes each connection end after the response to
  /// the request it carries now or next.
  void Drain();

  /// Closes connections that carry no request.
  void CloseIdleConnections();

  /// @returns how many requests await their response.
  std::size_t requests_in_flight() const;

 private:
  friend class ServerConnection;
  void Accept();
  void AcceptAfterPause();

  boost::asio::io_context& m_loop;
  const ServerLimits m_limits;
  const RequestHandler m_handler;
  boost::asio::ip::tcp::acceptor m_acceptor;
  boost::asio::steady_timer m_pause;
  std::set<ServerConnection*> m_connections;
  bool m_draining = false;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace zinniacart::net
