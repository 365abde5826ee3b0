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

/// The callers' HTTP listener: `/s/SERVICE/PATH`. Each answer says in
/// `Zinniacart-Outcome` what became of the request: answered, not-run or
/// unknown. docs/PROTOCOL.md is its manual.
class CallerFrontend final {
 public:
  /// Outcomes since the start.
  struct Counts {
    std::atomic<std::uint64_t> answered{0};
    std::atomic<std::uint64_t> not_run{0};
    std::atomic<std::uint64_t> unknown{0};
    std::atomic<std::uint64_t> in_flight{0};
  };

  CallerFrontend(const Clock& clock,
                 RequestDispatcher& dispatcher,
                 IdempotencyKeys& keys,
                 int threads);

  bool Start(const Endpoint& endpoint);
  /// Asks callers to close their connections with the next answer.
  void BeginDrain() { m_draining = true; }
  /// Stops accepting and waits for what is in flight.
  void Stop();

  int port() const { return m_server.port(); }
  const Counts& counts() const { return m_counts; }

 private:
  void Serve(const httplib::Request& in, httplib::Response& out);
  Result<CallerRequest> Identify(const httplib::Request& in) const;
  void AnswerOutcome(const RequestOutcome& outcome, httplib::Response& out);

  const Clock& m_clock;
  RequestDispatcher& m_dispatcher;
  IdempotencyKeys& m_keys;
  HttpServer m_server;
  std::atomic<bool> m_draining{false};
  Counts m_counts;
};

}  // namespace zinniacart
