#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "base/clock.h"
#include "hosting/simulation/simulated_machines.h"
#include "site/store_port.h"

namespace zinniacart::simulation {

struct SimulatedStore;

/// The store and the machine service as an owner reaches them over simulated
/// links. A call whose request or answer is lost fails after its timeout.
class SimulatedServices final : public StorePort, public MachinePort {
 public:
  /// Sends a message to a service or, named by the entry, back to it. It may be
  /// lost.
  using Post = std::function<void(const std::string& to,
                                  const std::function<void()>& action)>;

  SimulatedServices(std::string self,
                    SimulatedStore& store,
                    SimulatedMachines& machines,
                    const Clock& clock,
                    Post post);

  /// Fails the calls that were not answered in time. Call it regularly.
  void ExpireCalls();

  void Get(const std::string& key,
           Duration timeout,
           StoreCallback<StoreItem> done) override;
  void List(const std::string& prefix,
            Duration timeout,
            StoreCallback<StoreSnapshot> done) override;
  void Watch(const std::string& prefix,
             std::uint64_t after,
             Duration wait,
             Duration timeout,
             StoreCallback<StoreEvents> done) override;
  void Commit(const StoreTransaction& transaction,
              Duration timeout,
              StoreCallback<StoreCommit> done) override;
  void OpenLease(Duration ttl,
                 Duration timeout,
                 StoreCallback<LeaseId> done) override;
  void RenewLease(const LeaseId& lease,
                  Duration timeout,
                  StoreCallback<Duration> done) override;
  void EndLease(const LeaseId& lease,
                Duration timeout,
                StoreCallback<Duration> done) override;
  void ListPage(const std::string& page,
                Duration timeout,
                std::function<void(Result<MachinePage>)> done) override;
  void BeginUpkeep(const UpkeepCall& call,
                   Duration timeout,
                   std::function<void(UpkeepAnswer)> done) override;

 private:
  struct PendingCall {
    Instant until;
    std::function<void()> fail;
  };

  /// Lets `service` carry the call out and passes its result to `done`.
  /// @param failure passed to `done` where no answer arrives in time.
  template <typename Answer>
  void Call(const std::string& service,
            Duration timeout,
            std::function<Answer()> carry_out,
            std::function<void(Answer)> done,
            Answer failure);

  const std::string m_self;
  SimulatedStore& m_store;
  SimulatedMachines& m_machines;
  const Clock& m_clock;
  const Post m_post;
  std::uint64_t m_calls = 0;
  std::map<std::uint64_t, PendingCall> m_pending;
};

}  // namespace zinniacart::simulation
