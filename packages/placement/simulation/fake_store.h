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

/// The platform's store with its faults: outages, slow calls, answers lost
/// after the write took effect, writes that take effect late.
class FakeStore final {
 public:
  explicit FakeStore(EventQueue& events) : m_events(events) {}

  // Calls answer asynchronously, after at most the client's timeout.
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

  /// An operator's change, applied at once; fails during an outage.
  /// @returns whether it was accepted.
  bool Change(const std::string& key, const Resource& resource);

  /// @returns a key's bytes now, for checks at the end of a run.
  std::string Peek(const StoreKey& key) const;

  void set_down(bool down) { m_down = down; }
  void set_lost_answers(double probability) { m_lost = probability; }
  void set_slow(double probability) { m_slow = probability; }

 private:
  template <typename Value>
  void Call(std::function<Result<Value>()> effect,
            std::function<void(Result<Value>)> done);
  void DropLapsed();
  Result<StoreVersion> Swap(const StoreKey& key,
                            const std::string& bytes,
                            StoreVersion expected,
                            const LeaseId& lease);

  struct Row {
    std::string bytes;
    StoreVersion version;
    LeaseId lease;
  };
  struct Lease {
    Duration ttl{0};
    Instant ends;
  };

  EventQueue& m_events;
  std::map<StoreKey, Row> m_rows;
  std::map<LeaseId, Lease> m_leases;
  std::uint64_t m_version_count = 0;
  std::uint64_t m_lease_count = 0;
  std::uint64_t m_change_count = 0;
  bool m_down = false;
  double m_lost = 0.0;
  double m_slow = 0.0;
};

}  // namespace zinniacart::simulation
