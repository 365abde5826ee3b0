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

/// One caller's request.
struct CallerRequest {
  ServiceId service;
  std::string method;
  std::string path;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  bool idempotent = false;
  Instant deadline;
};

/// Where one attempt went, so that its outcome can be asked for later.
struct Attempt {
  RequestId request;
  Route route;
};

/// Takes a caller's request to a backend server and comes back with one of
/// three outcomes: the whole answer, not-run, or outcome-unknown. Retries
/// only what has not run or may run twice, within the retry budget and the
/// deadline. Thread-safe; calls block.
class RequestDispatcher final {
 public:
  RequestDispatcher(EntryState& state,
                    const Clock& clock,
                    ChannelPool& agents,
                    EntryId self,
                    Incarnation incarnation);

  /// Sends `request`, retrying as allowed.
  RequestOutcome Dispatch(const CallerRequest& request);

  /// Chooses a route and names an attempt, without sending anything.
  Result<Attempt> Prepare(const CallerRequest& request,
                          const std::set<BackendId>& excluded);

  /// Sends one prepared attempt. Ends its counting at the router.
  RequestOutcome Send(const CallerRequest& request, const Attempt& attempt);

  /// Gives up a prepared attempt that was not sent.
  void Abandon(const Attempt& attempt);

  /// Asks an agent what became of a request, until it has ended or
  /// `deadline` passes. For `on_its_way` a request that is not there may
  /// still arrive; after that the agent promises to refuse it.
  /// @returns outcome-unknown where it cannot be known.
  RequestOutcome Resolve(const RequestId& request,
                         const std::string& address,
                         Incarnation agent,
                         Duration on_its_way,
                         Instant deadline);

  /// @returns whether the retry budget allows one more attempt.
  bool MayRetry();

 private:
  RequestOutcome ReadReply(const RequestId& request,
                           const wire::ForwardReply& reply) const;

  EntryState& m_state;
  const Clock& m_clock;
  ChannelPool& m_agents;
  const EntryId m_self;
  const Incarnation m_incarnation;
  std::atomic<std::uint64_t> m_request_count{0};
};

}  // namespace zinniacart
