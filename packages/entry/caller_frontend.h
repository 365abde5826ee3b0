#pragma once

#include <atomic>
#include <cstdint>

#include "base/clock.h"
#include "base/error.h"
#include "entry/idempotency_keys.h"
#include "entry/request_dispatcher.h"
#include "ports/http_server.h"

namespace httplib {
struct Request;
struct Response;
}  // namespace httplib

namespace zinniacart {

/// The HTTP listener for callers. It forwards a request for `/s/SERVICE/PATH`
/// to a backend server of SERVICE as PATH. The response header
/// `Zinniacart-Outcome` gives the request's outcome: `answered`, `not-run` or
/// `unknown`. Without an answer of a backend server, the body is an RFC 9457
/// problem. docs/PROTOCOL.md describes the protocol for callers.
class CallerFrontend final {
 public:
  /// Outcomes of requests since the process started, and the number of requests
  /// in progress.
  struct Counts {
    std::atomic<std::uint64_t> answered{0};
    std::atomic<std::uint64_t> not_run{0};
    std::atomic<std::uint64_t> unknown{0};
    std::atomic<std::uint64_t> in_flight{0};
  };

  /// @param threads caller connections that are served at once.
  CallerFrontend(const Clock& clock,
                 RequestDispatcher& dispatcher,
                 IdempotencyKeys& keys,
                 int threads);

  /// Binds `endpoint` and serves.
  /// @returns false if the address cannot be bound.
  bool Start(const Endpoint& endpoint);
  /// Adds `Connection: close` to further responses, which asks callers to close
  /// their connections. Requests are still accepted until `Stop`.
  void BeginDrain() { m_draining = true; }
  /// Stops accepting connections and waits for the requests in flight.
  void Stop();

  int port() const { return m_server.port(); }
  const Counts& counts() const { return m_counts; }

 private:
  void HandleRequest(const httplib::Request& http_request,
                     httplib::Response& http_response);
  Result<CallerRequest> ParseRequest(
      const httplib::Request& http_request) const;
  void WriteOutcome(const RequestOutcome& outcome,
                    httplib::Response& http_response);

  const Clock& m_clock;
  RequestDispatcher& m_dispatcher;
  IdempotencyKeys& m_keys;
  HttpServer m_server;
  std::atomic<bool> m_draining{false};
  Counts m_counts;
};

}  // namespace zinniacart
