#include "ports/http_server.h"

#include <httplib.h>

#include <limits>

#include "ports/elastic_task_queue.h"

namespace zinniacart {
namespace {

constexpr int kListenBacklog = 1024;

}  // namespace

HttpServer::HttpServer(HttpServerLimits limits)
    : m_server(std::make_unique<httplib::Server>()) {
  m_server->new_task_queue = [limits] {
    return new ElasticTaskQueue(limits.most_threads);
  };
  m_server->set_tcp_nodelay(true);
  m_server->set_socket_options([this](socket_t socket) {
    const int yes = 1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    m_socket = socket;
  });
  m_server->set_keep_alive_max_count(std::numeric_limits<int>::max());
  m_server->set_keep_alive_timeout(limits.idle_seconds);
  m_server->set_payload_max_length(limits.most_body_bytes);
}

HttpServer::~HttpServer() {
  Stop();
}

bool HttpServer::Start(const Endpoint& endpoint) {
  if (endpoint.port == 0) {
    m_port = m_server->bind_to_any_port(endpoint.ip);
  } else if (m_server->bind_to_port(endpoint.ip, endpoint.port)) {
    m_port = endpoint.port;
  }
  if (m_port <= 0) {
    return false;
  }
  // The library listens with a backlog of 5. When a burst of new connections
  // overflows it, a peer waits one second before it repeats its handshake.
  ::listen(m_socket, kListenBacklog);
  m_thread = std::thread([this] { m_server->listen_after_bind(); });
  while (!m_server->is_running()) {
    std::this_thread::yield();
  }
  return true;
}

void HttpServer::Stop() {
  if (!m_thread.joinable()) {
    return;
  }
  m_server->stop();
  m_thread.join();
}

}  // namespace zinniacart
