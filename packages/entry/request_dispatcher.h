#pragma once

#include <atomic>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "entry/entry_state.h"
#include "routing/request_ledger.h"
#include "routing/router.h"
#include "rpc/channel_pool.h"
#include "zinniacart.pb.h"

namespace zinniacart {

/// One request of a caller.
struct CallerRequest {
  ServiceId service;
  std::string method;
  std::string path;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  /// Whether the request may run more than once.
  bool idempotent = false;
  Instant deadline;
};

/// One attempt to run a request: its id and its route, with which its outcome
/// can be queried later.
struct Attempt {
  RequestId request;
  Route route;
};

/// Forwards a caller's request to a backend server through the agent of its
/// host. The outcome is the complete answer, not-run or outcome-unknown.
/// Retries on another backend server only if the attempt did not run, or if
/// its outcome is unknown and the request is idempotent, and only within the
/// retry budget and the request's deadline. Thread-safe; calls block.
class RequestDispatcher final {
 public:
  RequestDispatcher(EntryState& state,
                    const Clock& clock,
                    ChannelPool& agents,
                    EntryId self,
                    Incarnation incarnation);

  /// Sends `request` and retries it as the class comment describes.
  /// @returns the outcome of the last attempt, or not-run with the reason if
  /// no attempt could be prepared.
  RequestOutcome Dispatch(const CallerRequest& request);

  /// Chooses a route and creates an attempt with a new id, without sending
  /// anything. The router counts the attempt as running until `Send` or
  /// `EndAttempt`.
  /// @param excluded backend servers that earlier attempts failed on; when
  /// empty, this is the first attempt and adds to the retry budget.
  /// @returns the attempt; kDeadlineExceeded if the deadline has passed, or
  /// the router's error if it has no route.
  Result<Attempt> Prepare(const CallerRequest& request,
                          const std::set<BackendId>& excluded);

  /// Sends a prepared attempt once and ends it at the router. If the connection
  /// fails after sending, queries the outcome with `Resolve`.
  /// @returns the outcome; not-run with kUnreachable if there is no connection
  /// to the agent.
  RequestOutcome Send(const CallerRequest& request, const Attempt& attempt);

  /// Tells the router that a prepared attempt is no longer running.
  void EndAttempt(const Attempt& attempt);

  /// Queries an agent for the outcome of an attempt until the attempt has ended
  /// or `deadline` passes.
  /// @param request the id of the attempt.
  /// @param address the agent's RPC address, "ip:port".
  /// @param agent the incarnation of the agent that the attempt was sent to.
  /// @param arrival_window how long from now an attempt that has not reached
  /// the agent may still arrive. After that, the agent records it as not run
  /// and guarantees to refuse it.
  /// @returns the outcome; outcome-unknown if the agent cannot be queried or
  /// does not know it, or if the attempt is still running at `deadline`.
  RequestOutcome Resolve(const RequestId& request,
                         const std::string& address,
                         Incarnation agent,
                         Duration arrival_window,
                         Instant deadline);

  /// Takes one retry from the retry budget.
  /// @returns false if the budget is used up.
  bool TakeRetry();

 private:
  RequestOutcome ToOutcome(const RequestId& request,
                           const wire::ForwardReply& reply) const;

  EntryState& m_state;
  const Clock& m_clock;
  ChannelPool& m_agents;
  const EntryId m_self;
  const Incarnation m_incarnation;
  std::atomic<std::uint64_t> m_request_count{0};
};

}  // namespace zinniacart
