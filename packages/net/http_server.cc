#include "net/http_server.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "base/logging.h"
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
/// Time limits are checked this often, so that a request costs no timer of its
/// own.
constexpr Duration kSweepInterval{250};
/// A response that the peer has not read within this time is given up.
constexpr Duration kWriteTimeout{10000};
/// A refused client that is still sending has this time to read the answer.
constexpr Duration kLingerTimeout{2000};
/// An eighth of the connections is kept for refused clients.
constexpr std::size_t kLingeringParts = 8;

}  // namespace

HttpServer::HttpServer(boost::asio::io_context& loop,
                       ServerLimits limits,
                       RequestHandler handler)
    : m_loop(loop),
      m_limits(std::move(limits)),
      m_handler(std::move(handler)),
      m_acceptor(loop),
      m_accept_retry_timer(loop),
      m_sweep_timer(loop) {}

HttpServer::~HttpServer() {
  *m_alive = false;
  for (const auto& [record, connection] : m_connections) {
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
  if (!error && m_limits.socket_buffer_bytes > 0) {
    // Accepted connections inherit the sizes.
    m_acceptor.set_option(
        tcp::socket::receive_buffer_size(m_limits.socket_buffer_bytes), error);
    m_acceptor.set_option(
        tcp::socket::send_buffer_size(m_limits.socket_buffer_bytes), error);
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
  m_acceptor.async_accept(
      [this, alive = m_alive](error_code error, tcp::socket socket) {
        if (!*alive || error == boost::asio::error::operation_aborted) {
          return;
        }
        if (error) {
          return AcceptAfterDelay();
        }
        Admit(std::move(socket));
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

void HttpServer::Admit(tcp::socket socket) {
  const bool has_room = MakeRoomForConnection();
  const auto connection =
      std::make_shared<ServerConnection>(std::move(socket), *this);
  if (!m_next_sweep_at) {
    SweepLater();
  }
  if (has_room) {
    return connection->ReadRequest();
  }
  connection->Refuse();
}

bool HttpServer::MakeRoomForConnection() {
  const Instant now = m_clock.Now();
  while (m_ledger.records().size() >= m_limits.most_connections) {
    ConnectionRecord* refused = m_ledger.OldestLingering();
    if (refused == nullptr) {
      break;
    }
    m_connections.at(refused)->Close();
  }
  const std::size_t most_served =
      m_limits.most_connections -
      std::max<std::size_t>(1, m_limits.most_connections / kLingeringParts);
  while (m_ledger.serving() >= most_served) {
    ConnectionRecord* chosen = m_ledger.ChooseForSlot(now);
    if (chosen == nullptr) {
      return false;
    }
    m_connections.at(chosen)->Evict("closed for another connection");
  }
  return true;
}

bool HttpServer::MakeRoomForBytes(const ConnectionRecord& connection) {
  const Instant now = m_clock.Now();
  while (m_ledger.held_bytes() > m_limits.most_held_bytes) {
    ConnectionRecord* chosen = m_ledger.ChooseForBytes(now);
    if (chosen == nullptr || chosen == &connection) {
      return false;
    }
    m_connections.at(chosen)->Evict("closed for memory");
  }
  return true;
}

void HttpServer::Remove(ConnectionRecord& record) {
  m_ledger.Remove(record);
  m_connections.erase(&record);
}

void HttpServer::CountRefusal(const char* reason) {
  ++m_refusals[reason];
  LogInfo("client refused", {{"listener", m_limits.name},
                             {"reason", reason},
                             {"connections", m_connections.size()},
                             {"held_bytes", m_ledger.held_bytes()}});
}

Duration HttpServer::TimeLimitOf(ConnectionPhase phase) const {
  switch (phase) {
    case ConnectionPhase::kIdle:
      return m_limits.idle_timeout;
    case ConnectionPhase::kReading:
      return m_limits.request_timeout;
    case ConnectionPhase::kWriting:
      return kWriteTimeout;
    case ConnectionPhase::kLingering:
      return kLingerTimeout;
    case ConnectionPhase::kHandling:
      break;
  }
  return Duration::max();
}

void HttpServer::SweepLater() {
  m_next_sweep_at = m_clock.Now() + kSweepInterval;
  m_sweep_timer.expires_after(kSweepInterval);
  m_sweep_timer.async_wait([this, alive = m_alive](error_code error) {
    if (*alive && !error) {
      Sweep();
    }
  });
}

void HttpServer::Sweep() {
  const Instant now = m_clock.Now();
  // After a pause of the process the clients' bytes wait in the sockets and are
  // read first.
  const bool late = now - *m_next_sweep_at > kSweepInterval;
  std::vector<ServerConnection*> expired;
  for (const auto& [record, connection] : m_connections) {
    if (!late && now - record->since >= TimeLimitOf(record->phase)) {
      expired.push_back(connection);
    }
  }
  for (ServerConnection* connection : expired) {
    connection->OnTimeLimit();
  }
  m_next_sweep_at.reset();
  if (!m_connections.empty()) {
    SweepLater();
  }
}

void HttpServer::CloseIdleConnections() {
  std::vector<ServerConnection*> connections;
  for (const auto& [record, connection] : m_connections) {
    connections.push_back(connection);
  }
  for (ServerConnection* connection : connections) {
    connection->CloseIfIdle();
  }
}

std::size_t HttpServer::requests_in_flight() const {
  return static_cast<std::size_t>(std::count_if(
      m_connections.begin(), m_connections.end(), [](const auto& item) {
        return item.first->phase == ConnectionPhase::kHandling ||
               item.first->phase == ConnectionPhase::kWriting;
      }));
}

}  // namespace zinniacart::net
