#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "hosting/host_supervisor.h"
#include "hosting/simulation/simulated_owner.h"
#include "hosting/simulation/simulated_worker.h"

namespace zinniacart::simulation {

/// What one run consists of.
struct ProtocolSettings {
  std::uint64_t seed = 1;
  Duration faulty_time{60000};
  /// After the faults, everything has this long to finish.
  Duration quiet_time{120000};
  int entries = 3;
  int hosts = 4;
  int jobs = 24;
  /// The owners' and the agents' times; equal but in broken variants.
  LeaseTimes owner_times;
  LeaseTimes agent_times;
  WorkerFaults worker;
  /// Where set, it is told each decision and each fault.
  std::function<void(const std::string&)> trace;
};

struct ProtocolReport {
  std::size_t starts = 0;
  int faults = 0;
  int takeovers = 0;
  int completed = 0;
};

/// One randomised run of the real `Scheduler` and `HostSupervisor` over fakes,
/// with faults at any moment, together and in series: lost, late and
/// overtaking messages, orders that are carried out seconds later, cut links,
/// frozen, killed and deposed owners that do not know it, agents that restart
/// knowing nothing, workers that crash, a store that is away. Throws
/// `Violation` when a promise is broken or accepted work is lost.
class ProtocolSimulation final {
 public:
  explicit ProtocolSimulation(ProtocolSettings settings);
  ~ProtocolSimulation();

  ProtocolReport Run();

 private:
  struct AgentNode {
    std::unique_ptr<HostSupervisor> supervisor;
    std::uint64_t boots = 0;
    Instant down_until;
    Instant frozen_until;
    Instant announced_at;
    WorkerIncarnation connected_to;  ///< To which life holds are sent.
  };
  struct EntryNode {
    std::unique_ptr<SimulatedOwner> owner;
    Instant frozen_until;
  };

  void Tick(bool faulty);
  void Deliver();
  void RunAgent(const HostId& host, AgentNode& agent);
  void Call(const HostId& host, const WorkerCall& call);
  template <typename Request, typename Handle, typename Answer>
  void Exchange(const HostId& host,
                const Request& request,
                Handle handle,
                Answer answer);
  void SendOrders(int entry, const HostId& host, const HostOrders& orders);
  void Later(Duration delay, std::function<void()> action);
  /// Delivers over a link that may be cut or lose messages.
  bool Send(const std::string& a,
            const std::string& b,
            std::function<void()> action);
  void InjectFault();
  void KeepAnOwner();
  void SubmitJob(int number);
  void CancelSomeJob();
  void CheckOutcome();
  bool AllEnded() const;
  void Trace(const std::string& text) const;
  int Random(int least, int most);
  bool Chance(double share);

  const ProtocolSettings m_settings;
  std::mt19937_64 m_random;
  ManualClock m_clock;
  TaskOracle m_oracle;
  SimulatedStore m_store;
  std::map<HostId, std::unique_ptr<SimulatedWorker>> m_workers;
  std::map<HostId, AgentNode> m_agents;
  std::vector<EntryNode> m_entries;
  std::multimap<Instant, std::function<void()>> m_messages;
  std::map<std::pair<std::string, std::string>, Instant> m_cuts;
  Instant m_store_back;
  Instant m_late_orders_until;
  Instant m_ownerless_since;
  int m_jobs = 0;
  ProtocolReport m_report;
};

}  // namespace zinniacart::simulation
