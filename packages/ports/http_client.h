#pragma once

#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/error.h"
#include "ports/http_endpoint.h"

namespace httplib {
class Client;
}

namespace zinniacart {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// An HTTP answer, whole.
struct HttpAnswer {
  int status = 0;
  std::string body;
  std::string version;  ///< The ETag header, without quotes.
};

/// A call to one HTTP server with a pool of kept connections. A connection
/// that failed is thrown away, so a silent one costs one timeout at most.
class HttpClient final {
 public:
  /// @param timeout bounds connecting, sending and each wait for data.
  HttpClient(Endpoint endpoint, Duration timeout);
  ~HttpClient();

  /// Sends one request.
  /// @param headers    sent beside the usual ones.
  /// @param extra_wait added to the timeout, for long polls.
  /// @returns `kUnreachable` where nothing was sent, `kOutcomeUnknown` where
  ///          the answer was lost.
  Result<HttpAnswer> Call(const std::string& method,
                          const std::string& path,
                          const std::string& body,
                          const HttpHeaders& headers = {},
                          Duration extra_wait = Duration(0));

 private:
  std::unique_ptr<httplib::Client> Take();
  void GiveBack(std::unique_ptr<httplib::Client> client);

  const Endpoint m_endpoint;
  const Duration m_timeout;
  std::mutex m_mutex;
  std::vector<std::unique_ptr<httplib::Client>> m_idle;
};

}  // namespace zinniacart
