#pragma once

#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/error.h"
#include "base/ids.h"
#include "ports/http_endpoint.h"
#include "routing/request_ledger.h"

namespace httplib {
class Client;
}

namespace zinniacart {

/// A request as it is sent to a backend server.
struct BackendRequest {
  RequestId request;
  std::string method;
  std::string path;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  bool idempotent = false;  ///< May run twice.
};

/// The HTTP connections to one backend server. Idempotent requests reuse idle
/// keep-alive connections. Any other request gets a new connection: a reused
/// one may have been lost without notice, and then it is unknown whether the
/// request ran.
class BackendServer final {
 public:
  /// @param max_idle_connections keep-alive connections held for reuse.
  BackendServer(Endpoint endpoint, int max_idle_connections);
  ~BackendServer();

  /// Sends `request` and blocks until the answer is complete. An idempotent
  /// request whose outcome is unknown is repeated on a new connection.
  /// @param timeout milliseconds for each write and read on the connection;
  /// each
  ///                of the two tries of an idempotent request gets half.
  ///                Connecting is limited separately.
  /// @returns the answer; not-run only if no byte was sent; else unknown.
  RequestOutcome Call(const BackendRequest& request, Duration timeout);

  const Endpoint& endpoint() const { return m_endpoint; }

 private:
  RequestOutcome CallOnce(const BackendRequest& request,
                          bool new_connection,
                          Duration timeout);
  std::unique_ptr<httplib::Client> AcquireClient(bool new_connection,
                                                 Duration timeout);
  void ReturnToPool(std::unique_ptr<httplib::Client> client);

  const Endpoint m_endpoint;
  const std::size_t m_max_idle;
  std::mutex m_mutex;
  std::vector<std::unique_ptr<httplib::Client>> m_idle_clients;
};

}  // namespace zinniacart
