#pragma once

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "agent/backend_server.h"
#include "base/clock.h"
#include "configuration/configuration.h"
#include "membership/host_announcement.h"
#include "routing/admission_queue.h"
#include "routing/request_ledger.h"
#include "routing/tail_estimator.h"

namespace zinniacart {

/// A request that an entry forwards to this agent.
struct ForwardedRequest {
  BackendRequest request;
  BackendId backend;
  /// This agent's stamp in the announcement that the entry routed by.
  Stamp route_stamp;
  /// Milliseconds that the entry waits, from the arrival at the agent.
  Duration timeout{0};
};

/// The backend servers on this host. Tracks which have announced themselves,
/// queues and runs the requests for each within its declared limits, and
/// remembers the outcome of every request, so that a request id runs at most
/// once and an entry can ask for an outcome it did not receive. Thread-safe.
class BackendPool final {
 public:
  /// Called once with the outcome of a request, from any thread and without
  /// the lock of the pool.
  using OutcomeCallback = std::function<void(const RequestOutcome&)>;
  /// Runs a blocking function on another thread and returns at once.
  using RunBlocking = std::function<void(std::function<void()>)>;

  BackendPool(const Clock& clock,
              Incarnation incarnation,
              RunBlocking run_blocking);
  ~BackendPool();

  /// Registers a backend server or extends its registration. Backend servers
  /// call this repeatedly: one that stops announcing itself expires.
  /// @param address "ip:port" of the server.
  /// @returns `kInvalidArgument` if `address` is not an IP endpoint;
  /// `kConflict` if a server of this name is announced for another address or
  /// service and either has neither expired nor been withdrawn, or still has
  /// requests.
  Result<void> Announce(const BackendId& backend,
                        const ServiceId& service,
                        const std::string& address);
  /// Marks a backend server as leaving: it gets no new requests; those queued
  /// or running finish.
  void Withdraw(const BackendId& backend);

  /// Runs a request at once or when a slot becomes free, unless it is refused.
  /// For an id that has arrived before, nothing runs: `callback` gets the
  /// outcome of the first arrival.
  void Forward(ForwardedRequest forwarded, OutcomeCallback callback);

  /// Looks up the outcome of a request. Without `peek`, a request that has
  /// not arrived is recorded as not-run and refused if it still arrives.
  /// @param incarnation the agent incarnation that the request was sent to.
  /// @param peek records nothing; a request that has not arrived counts as
  ///             running, because it may still be on its way.
  /// @returns the outcome; unknown if `incarnation` is not the current one.
  RequestOutcome Inquire(const RequestId& request,
                         Incarnation incarnation,
                         bool peek);

  /// Applies the declared slots of each service and the drained state of each
  /// backend server.
  void SetConfiguration(const Configuration& configuration);

  /// Refuses queued requests whose deadline has passed, removes idle backend
  /// servers whose announcement has expired and forgets old outcomes. Call
  /// every 100 ms.
  void Tick();

  /// Refuses all new requests from now on, for a planned stop.
  void DrainAll();
  /// Blocks until no request is queued or running.
  void WaitUntilIdle();

  /// @returns the state of each backend server, to be announced to entries.
  std::vector<BackendAnnouncement> Announcements() const;

  /// Ended requests by outcome since the start.
  struct Counts {
    std::uint64_t answered = 0;
    std::uint64_t not_run = 0;
    std::uint64_t unknown = 0;
  };
  Counts counts() const;

  /// The recent latency of one backend server, for `InterferenceControl`.
  struct ServiceLatency {
    ServiceId service;
    Duration tail{0};    ///< Estimate of the tail latency.
    Duration target{0};  ///< The service's latency target.
    /// Whether a request has ended within the last 2 s.
    bool has_traffic = false;
  };
  /// @returns one element for each backend server.
  std::vector<ServiceLatency> Latencies() const;

 private:
  /// A request that is queued or running, and who waits for its outcome.
  struct PendingRequest {
    BackendRequest request;
    Instant deadline;
    std::vector<OutcomeCallback> callbacks;
  };
  /// A registered backend server.
  struct Backend {
    ServiceId service;
    std::shared_ptr<BackendServer> server;
    AdmissionQueue queue{ServiceResource().slots, kQueueLength};
    Instant announced_at;
    bool withdrawn = false;
    TailEstimator tail;
    Instant last_answer_at;
  };
  /// Requests that may wait for a slot of one backend server.
  static constexpr int kQueueLength = 64;

  /// Callbacks to be made after the lock is released.
  using DeferredCalls = std::vector<std::function<void()>>;
  void Admit(ForwardedRequest forwarded,
             OutcomeCallback callback,
             DeferredCalls& deferred_calls);
  void Start(const BackendId& id, Backend& backend, const RequestId& request);
  void Finish(const BackendId& id,
              const RequestId& request,
              RequestOutcome outcome,
              Duration service_time);
  void EndRequest(const RequestId& request,
                  RequestOutcome outcome,
                  DeferredCalls& deferred_calls);
  /// @returns why the route cannot be used: its stamp is from an earlier
  /// incarnation of the agent or too old.
  std::optional<Error> CheckRoute(const ForwardedRequest& forwarded) const;

  const Clock& m_clock;
  const Incarnation m_incarnation;
  const RunBlocking m_run_blocking;
  mutable std::mutex m_mutex;
  std::condition_variable m_became_idle;
  bool m_draining = false;
  Configuration m_configuration;
  std::map<BackendId, Backend> m_backends;
  std::map<RequestId, PendingRequest> m_requests;
  RequestLedger m_ledger;
  Counts m_counts;
};

}  // namespace zinniacart
