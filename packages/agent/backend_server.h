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

/// One request on its way to a backend server.
struct BackendRequest {
  RequestId request;
  std::string method;
  std::string path;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  bool idempotent = false;
};

/// The connections to one backend server. A request that must not run twice
/// gets a connection of its own, so that a kept one that has gone silent
/// cannot swallow it; others share kept connections.
class BackendServer final {
 public:
  /// @param connections most connections open at once.
  BackendServer(Endpoint endpoint, int connections);
  ~BackendServer();

  /// Sends `request` and waits for the whole answer.
  /// @returns not-run only where not a byte was sent.
  RequestOutcome Call(const BackendRequest& request, Duration timeout);

  const Endpoint& endpoint() const { return m_endpoint; }

 private:
  RequestOutcome CallOnce(const BackendRequest& request,
                          bool fresh,
                          Duration timeout);
  std::unique_ptr<httplib::Client> Connect(bool fresh, Duration timeout);
  void GiveBack(std::unique_ptr<httplib::Client> client);

  const Endpoint m_endpoint;
  const std::size_t m_most_idle;
  std::mutex m_mutex;
  std::vector<std::unique_ptr<httplib::Client>> m_idle;
};

}  // namespace zinniacart
