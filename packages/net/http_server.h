#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "net/connection_ledger.h"
#include "net/http_types.h"

namespace zinniacart::net {

class ServerConnection;

/// Limits of one `HttpServer`. The defaults lie beyond what ordinary clients
/// need.
struct ServerLimits {
  std::string name = "server";  ///< Names the listener in logs and metrics.
  /// Bounds the start line with the header fields, and each chunk header and
  /// the trailers of a request.
  std::size_t most_header_bytes = 32768;
  std::size_t most_body_bytes = 1U << 20U;
  /// In milliseconds. A connection is closed if no request begins within this
  /// time.
  Duration idle_timeout{60000};
  /// In milliseconds. A request is refused if it is not complete within this
  /// time after its first byte.
  Duration request_timeout{60000};
  /// Open connections. An eighth of them is kept for answers to refused
  /// requests.
  std::size_t most_connections = 1024;
  /// Memory of all requests, from their first byte until the response is sent,
  /// with buffers and responses.
  std::size_t most_held_bytes = 64U << 20U;
  /// Size of the kernel's buffers of each connection; 0 leaves it to the
  /// kernel.
  int socket_buffer_bytes = 0;
};

/// An asynchronous HTTP/1.1 server with one listening socket on the event loop.
/// Requests of one connection are handled sequentially; a handler may send its
/// response after it has returned.
///
/// Requests that the handler never sees are answered with 400 (malformed), 408
/// (not complete in time), 413 (body too large), 431 (header, chunk header or
/// trailers too large) or 503 (no connection or memory left), after which the
/// connection is closed.
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

  const std::string& name() const { return m_limits.name; }
  std::size_t open_connections() const { return m_connections.size(); }
  std::size_t held_bytes() const { return m_ledger.held_bytes(); }
  /// @returns how many requests and connections were refused or closed to stay
  /// within the limits, by reason.
  const std::map<std::string, std::uint64_t>& refusals() const {
    return m_refusals;
  }

 private:
  friend class ServerConnection;
  void Accept();
  void AcceptAfterDelay();
  /// Serves a new connection, or refuses it.
  void Admit(boost::asio::ip::tcp::socket socket);
  /// Closes connections until one more can be served.
  /// @returns false if all connections are being handled.
  bool MakeRoomForConnection();
  /// Closes connections until `connection` may hold as much as it does.
  /// @returns false if it has to be closed itself.
  bool MakeRoomForBytes(const ConnectionRecord& connection);
  void Remove(ConnectionRecord& record);
  void CountRefusal(const char* reason);
  /// Closes the connections whose time is over, while there are any.
  void Sweep();
  void SweepLater();
  Duration TimeLimitOf(ConnectionPhase phase) const;

  boost::asio::io_context& m_loop;
  const ServerLimits m_limits;
  const RequestHandler m_handler;
  const SteadyClock m_clock;
  boost::asio::ip::tcp::acceptor m_acceptor;
  boost::asio::steady_timer m_accept_retry_timer;
  boost::asio::steady_timer m_sweep_timer;
  ConnectionLedger m_ledger;
  std::map<ConnectionRecord*, ServerConnection*> m_connections;
  std::map<std::string, std::uint64_t> m_refusals;
  std::optional<Instant> m_next_sweep_at;
  bool m_draining = false;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace zinniacart::net
