#pragma once

#include <memory>
#include <string>
#include <thread>

#include "ports/http_endpoint.h"

namespace httplib {
class Server;
}

namespace zinniacart {

/// Limits on the threads and request sizes of one `HttpServer`.
struct HttpServerLimits {
  /// Connections served at once; further ones wait until a thread is free.
  std::size_t most_threads = 64;
  /// A keep-alive connection without a request is closed after this many
  /// seconds, so that an idle peer does not occupy a thread.
  int idle_seconds = 5;
  std::size_t most_body_bytes = 1 << 20;
};

/// An HTTP server with one listening socket and its own threads; each open
/// connection occupies one thread. Register handlers on `server()`, then call
/// `Start`. The destructor calls `Stop`.
class HttpServer final {
 public:
  explicit HttpServer(HttpServerLimits limits = {});
  ~HttpServer();

  /// @returns the httplib server on which handlers are registered.
  httplib::Server& server() { return *m_server; }

  /// Binds, listens and serves; with port 0 the kernel chooses the port.
  /// @returns false if the address cannot be bound.
  bool Start(const Endpoint& endpoint);

  /// Stops accepting, waits for running handlers and joins the threads.
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
