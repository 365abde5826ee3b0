#pragma once

#include <deque>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "base/error.h"
#include "base/ids.h"

namespace zinniacart {

/// Decides, beside one backend server, which requests run and which wait.
/// Slots bound what runs. The queue is first come first served, bounded in
/// length and by deadlines: a request that cannot start in time by the
/// recent pace is refused at once, when refusal is still cheap and true.
class AdmissionQueue final {
 public:
  /// @param slots        requests the server runs at once.
  /// @param queue_length requests that may wait.
  AdmissionQueue(int slots, int queue_length);

  /// What becomes of an arriving request.
  enum class Verdict { kRun, kWait };

  /// @param deadline when the caller stops waiting.
  /// @returns `kOverloaded`, `kDeadlineExceeded` or `kDraining` where the
  /// request is refused; it has not run.
  Result<Verdict> Arrive(const RequestId& request,
                         Instant now,
                         Instant deadline);

  /// Who leaves the queue because a slot came free.
  struct Departures {
    std::optional<RequestId> run;
    std::vector<RequestId> expired;  ///< Refused as deadline-exceeded.
  };

  /// Ends a running request that took `service_time`.
  Departures Complete(Instant now, Duration service_time);

  /// @returns the waiting requests whose deadline has passed; refused.
  std::vector<RequestId> Expire(Instant now);

  /// Refuses new requests from now on, until `Reopen`.
  void Drain() { m_draining = true; }
  void Reopen() { m_draining = false; }

  /// Changes the limits to those declared now.
  void SetSlots(int slots) { m_slots = slots; }

  bool draining() const { return m_draining; }
  int running() const { return m_running; }
  int queued() const { return static_cast<int>(m_waiting.size()); }
  bool idle() const { return m_running == 0 && m_waiting.empty(); }
  /// @returns the smoothed service time.
  Duration service_time() const;

 private:
  struct Waiting {
    RequestId request;
    Instant deadline;
  };

  int m_slots;
  const int m_queue_length;
  int m_running = 0;
  bool m_draining = false;
  double m_service_time_ms = 0.0;
  std::deque<Waiting> m_waiting;
};

}  // namespace zinniacart
