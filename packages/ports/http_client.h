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

/// A complete HTTP response.
struct HttpAnswer {
  int status = 0;
  std::string body;
  std::string version;  ///< The ETag header, without quotes.
};

/// A blocking HTTP client for one server with a pool of keep-alive connections;
/// any thread may call it. A connection is closed when its call fails, so an
/// unresponsive connection costs at most one timeout.
class HttpClient final {
 public:
  /// @param timeout in milliseconds; bounds connecting, sending and each wait
  ///                for data, separately.
  HttpClient(Endpoint endpoint, Duration timeout);
  ~HttpClient();

  /// Sends one request.
  /// @param headers    sent in addition to the standard headers.
  /// @param extra_wait in milliseconds; added to the timeout of each wait for
  ///                   data, for long polls.
  /// @returns the response with any status, `kUnreachable` if no connection was
  ///          made and nothing was sent, or `kOutcomeUnknown` if the call
  ///          failed later and the server may have executed the request.
  Result<HttpAnswer> Call(const std::string& method,
                          const std::string& path,
                          const std::string& body,
                          const HttpHeaders& headers = {},
                          Duration extra_wait = Duration(0));

 private:
  std::unique_ptr<httplib::Client> TakeFromPool();
  void ReturnToPool(std::unique_ptr<httplib::Client> client);

  const Endpoint m_endpoint;
  const Duration m_timeout;
  std::mutex m_mutex;
  std::vector<std::unique_ptr<httplib::Client>> m_idle;
};

}  // namespace zinniacart
