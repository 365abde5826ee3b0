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

/// What an entry asks the agent to run.
struct ForwardedRequest {
  BackendRequest request;
  BackendId backend;
  Stamp route_stamp;
  Duration timeout{0};
};

/// The backend servers on this host: who announced itself, what each runs,
/// what waits, and what became of every request. Thread-safe.
class BackendPool final {
 public:
  /// Called once with how a request ended; from any thread.
  using Done = std::function<void(const RequestOutcome&)>;
  /// Runs a blocking job on some thread.
  using RunBlocking = std::function<void(std::function<void()>)>;

  BackendPool(const Clock& clock,
              Incarnation incarnation,
              RunBlocking run_blocking);
  ~BackendPool();

  /// Takes a backend server's announcement of itself.
  /// @returns `kInvalidArgument` where its address is not on record as an IP
  /// endpoint, `kConflict` where a live one has the name at another address.
  Result<void> Announce(const BackendId& backend,
                        const ServiceId& service,
                        const std::string& address);
  /// Notes that a backend server is leaving: no new work, the rest finishes.
  void Withdraw(const BackendId& backend);

  /// Runs a request, now or when a slot comes free, unless it is refused or
  /// its id was seen before; then `done` tells what became of it.
  void Forward(ForwardedRequest forwarded, Done done);

  /// @param peek only look: one that is not here counts as running, since
  ///             it may be on its way.
  /// @returns what became of a request that was sent to `incarnation`.
  RequestOutcome Inquire(const RequestId& request,
                         Incarnation incarnation,
                         bool peek);

  /// Takes the declared limits and availability.
  void SetConfiguration(const Configuration& configuration);

  /// Drops silent backend servers and expired requests. Call every 100 ms.
  void Tick();

  /// Refuses new requests, for a planned stop.
  void DrainAll();
  /// Waits until nothing is in flight.
  void WaitUntilIdle();

  /// @returns the backend servers as they are announced to entries.
  std::vector<BackendAnnouncement> Announcements() const;

  /// Counters since the start.
  struct Counts {
    std::uint64_t answered = 0;
    std::uint64_t not_run = 0;
    std::uint64_t unknown = 0;
  };
  Counts counts() const;

  /// One service's recent latency here, for the interference control.
  struct ServiceLatency {
    ServiceId service;
    Duration tail{0};
    Duration target{0};
    bool has_traffic = false;
  };
  std::vector<ServiceLatency> Latencies() const;

 private:
  struct Waiting {
    BackendRequest request;
    Instant deadline;
    std::vector<Done> done;
  };
  struct Backend {
    ServiceId service;
    std::shared_ptr<BackendServer> server;
    AdmissionQueue queue{ServiceResource().slots, kQueueLength};
    Instant heard_at;
    bool withdrawn = false;
    TailEstimator tail;
    Instant last_answer;
  };
  static constexpr int kQueueLength = 64;

  using Calls = std::vector<std::function<void()>>;
  void Admit(ForwardedRequest forwarded, Done done, Calls& calls);
  void Start(const BackendId& id, Backend& backend, const RequestId& request);
  void Finish(const BackendId& id,
              const RequestId& request,
              RequestOutcome outcome,
              Duration service_time);
  void EndRequest(const RequestId& request,
                  RequestOutcome outcome,
                  Calls& calls);
  std::optional<Error> CheckRoute(const ForwardedRequest& forwarded) const;

  const Clock& m_clock;
  const Incarnation m_incarnation;
  const RunBlocking m_run_blocking;
  mutable std::mutex m_mutex;
  std::condition_variable m_became_idle;
  bool m_draining = false;
  Configuration m_configuration;
  std::map<BackendId, Backend> m_backends;
  std::map<RequestId, Waiting> m_requests;
  RequestLedger m_ledger;
  Counts m_counts;
};

}  // namespace zinniacart
