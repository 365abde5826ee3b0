#pragma once

#include <memory>
#include <string>
#include <thread>

#include "ports/http_endpoint.h"

namespace httplib {
class Server;
}

namespace zinniacart {

/// How one HTTP listener shares its threads out.
struct HttpServerLimits {
  /// Connections served at once; further ones wait in the listen queue.
  std::size_t most_threads = 64;
  /// A kept connection without a request is closed after this many seconds,
  /// so that idle peers give their thread back.
  int idle_seconds = 5;
  std::size_t most_body_bytes = 1 << 20;
};

/// One HTTP listener with threads of its own. Register handlers on
/// `server()`, then call `Start`; destruction stops and joins.
class HttpServer final {
 public:
  explicit HttpServer(HttpServerLimits limits = {});
  ~HttpServer();

  /// @returns the library's server, for registering handlers.
  httplib::Server& server() { return *m_server; }

  /// Binds and serves. Port 0 lets the kernel choose.
  /// @returns false where the address cannot be bound.
  bool Start(const Endpoint& endpoint);

  /// Stops accepting, lets running handlers finish, joins.
  void Stop();

  /// @returns the bound port.
  int port() const { return m_port; }

 private:
  std::unique_ptr<httplib::Server> m_server;
  std::thread m_thread;
  int m_socket = -1;
  int m_port = 0;
};

}  // namespace zinniacart
