#pragma once

#include <cstddef>
#include <set>

namespace zinniacart::net {

class HttpClient;

/// Limits of the clients that share one `ClientBudget`. The defaults lie beyond
/// what ordinary servers send.
struct ClientLimits {
  /// Bounds the status line with the header fields, and each chunk header and
  /// the trailers of a response.
  std::size_t most_header_bytes = 65536;
  /// Twice the largest value that the platform's store holds, with room for its
  /// encoding and for other items.
  std::size_t most_body_bytes = 8U << 20U;
  /// Open connections of all clients, in use or idle, and of one of them.
  std::size_t most_connections = 1024;
  std::size_t most_connections_per_server = 1024;
  /// Memory of all responses that are being read.
  std::size_t most_held_bytes = 64U << 20U;
};

/// Counts the connections of some clients and the bytes of the responses that
/// they read. Use it only on the event loop's thread.
class ClientBudget final {
 public:
  explicit ClientBudget(const ClientLimits& limits) : m_limits(limits) {}

  const ClientLimits& limits() const { return m_limits; }

  void Add(HttpClient& client) { m_clients.insert(&client); }
  void Remove(HttpClient& client) { m_clients.erase(&client); }

  /// Counts one more connection. If there are too many, the idle ones of all
  /// clients are closed.
  /// @returns false if all of them are in use.
  bool TakeConnection();
  void ReturnConnection() { --m_connections; }

  /// A connection holds `after` bytes instead of `before`.
  /// @returns false if all of them hold too much.
  bool ChangeHeldBytes(std::size_t before, std::size_t after);

 private:
  const ClientLimits m_limits;
  std::set<HttpClient*> m_clients;
  std::size_t m_connections = 0;
  std::size_t m_held_bytes = 0;
};

}  // namespace zinniacart::net
