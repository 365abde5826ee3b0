#pragma once

#include <deque>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "base/error.h"
#include "base/ids.h"

namespace zinniacart {

/// Decides which requests of one backend server run and which wait. It is on
/// the server's host and not thread-safe.
///
/// At most `slots` requests run. The others wait in arrival order, bounded in
/// number and by their deadlines. A request whose expected wait, by the recent
/// service time, reaches its deadline is refused at once: the refusal is cheap
/// then, and the caller can rely on it that the request has not run.
class AdmissionQueue final {
 public:
  /// @param slots        requests the server runs at once.
  /// @param queue_length requests that may wait.
  AdmissionQueue(int slots, int queue_length);

  /// Whether an admitted request runs now or waits.
  enum class Verdict { kRun, kWait };

  /// Admits or refuses an arriving request.
  /// @param deadline when the caller stops waiting.
  /// @returns `kDraining` while draining, `kDeadlineExceeded` after the
  /// deadline, `kOverloaded` where the queue is full or the expected wait too
  /// long. A refused request has not run.
  Result<Verdict> Arrive(const RequestId& request,
                         Instant now,
                         Instant deadline);

  /// Requests that leave the queue when a slot becomes free.
  struct Departures {
    std::optional<RequestId> run;    ///< Runs now; takes the slot.
    std::vector<RequestId> expired;  ///< To refuse as deadline-exceeded.
  };

  /// Frees the slot of a running request that took `service_time`.
  Departures Complete(Instant now, Duration service_time);

  /// Removes the waiting requests whose deadline has passed.
  /// @returns them; the caller of this function refuses them.
  std::vector<RequestId> Expire(Instant now);

  /// Refuses new requests from now on, until `Reopen`.
  void Drain() { m_draining = true; }
  void Reopen() { m_draining = false; }

  /// Changes the number of slots; running requests are not affected.
  void SetSlots(int slots) { m_slots = slots; }

  bool draining() const { return m_draining; }
  int running() const { return m_running; }
  int queued() const { return static_cast<int>(m_waiting.size()); }
  bool idle() const { return m_running == 0 && m_waiting.empty(); }
  /// @returns the service time of recent requests, exponentially smoothed.
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
