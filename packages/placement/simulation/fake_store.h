#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/error.h"
#include "configuration/configuration.h"
#include "placement/simulation/event_queue.h"
#include "ports/store.h"

namespace zinniacart::simulation {

/// An in-memory implementation of the platform's store with injected faults:
/// outages, slow calls, responses lost after the write took effect, and writes
/// that take effect only after the client's timeout.
class FakeStore final {
 public:
  explicit FakeStore(EventQueue& events) : m_events(events) {}

  // ---- Calls ----
  // These behave as the calls of `Store` with the same names, but return at
  // once and call `done` later, at the latest when the client's timeout
  // expires. They fail with `kStoreUnavailable` during an outage and with
  // `kOutcomeUnknown` after a timeout.

  void Get(const StoreKey& key, std::function<void(Result<StoreValue>)> done);
  void CompareAndSwap(const StoreKey& key,
                      const std::string& bytes,
                      StoreVersion expected,
                      const LeaseId& lease,
                      std::function<void(Result<StoreVersion>)> done);
  void List(const std::string& prefix,
            std::function<void(Result<std::vector<StoreValue>>)> done);
  void OpenLease(Duration ttl, std::function<void(Result<LeaseId>)> done);
  void RenewLease(const LeaseId& lease, std::function<void(Result<void>)> done);

  /// Applies an operator's change of a resource to the configuration
  /// immediately.
  /// @returns false during an outage.
  bool ApplyChange(const std::string& key, const Resource& resource);

  /// @returns the current bytes of a key, or none where it does not exist;
  /// works during an outage, for checks at the end of a simulation.
  std::string Peek(const StoreKey& key) const;

  /// Begins or ends an outage.
  void set_down(bool down) { m_down = down; }
  /// Sets the probability that a call takes effect but its response is lost.
  void set_lost_response_probability(double probability) {
    m_lost_response_probability = probability;
  }
  /// Sets the probability that a request takes 100 to 4,000 ms to arrive.
  void set_slow_call_probability(double probability) {
    m_slow_call_probability = probability;
  }

 private:
  /// Applies `effect` after a simulated request delay, and passes its result,
  /// an error or a timeout to `done`.
  template <typename Value>
  void SimulateCall(std::function<Result<Value>()> effect,
                    std::function<void(Result<Value>)> done);
  /// Removes expired leases and the values that are bound to them.
  void RemoveExpired();
  Result<StoreVersion> ApplyCompareAndSwap(const StoreKey& key,
                                           const std::string& bytes,
                                           StoreVersion expected,
                                           const LeaseId& lease);

  struct StoredValue {
    std::string bytes;
    StoreVersion version;
    LeaseId lease;
  };
  struct Lease {
    Duration ttl{0};
    Instant expires_at;
  };

  EventQueue& m_events;
  std::map<StoreKey, StoredValue> m_values;
  std::map<LeaseId, Lease> m_leases;
  std::uint64_t m_version_count = 0;
  std::uint64_t m_lease_count = 0;
  std::uint64_t m_change_count = 0;
  bool m_down = false;
  double m_lost_response_probability = 0.0;
  double m_slow_call_probability = 0.0;
};

}  // namespace zinniacart::simulation
