#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "placement/simulation/event_queue.h"
#include "placement/simulation/fake_store.h"
#include "placement/simulation/oracle.h"
#include "placement/simulation/simulated_agent.h"
#include "placement/simulation/simulated_entry.h"

namespace zinniacart::simulation {

/// What one run consists of.
struct SimulationSettings {
  std::uint64_t seed = 1;
  Duration faulty_time{240'000};
  /// After the faults, everything has this long to finish.
  Duration quiet_time{300'000};
  int entries = 3;
  int hosts = 6;
  int domains = 3;
  std::uint32_t shards = 4;
  int jobs = 24;
  /// The owners' and the agents' windows; equal but in broken variants.
  PlacementTimes owner_times;
  PlacementTimes agent_times;
  /// Breaks the workers: tasks outlive their leases.
  bool workers_ignore_leases = false;
  /// Where set, everything said about this task is printed.
  std::string traced_task;
};

/// What one run showed.
struct SimulationReport {
  std::uint64_t starts = 0;
  int jobs_accepted = 0;
  int tasks_finished = 0;
  int tasks_cancelled = 0;
  int faults = 0;
};

/// One randomised run of real owners and supervisors over fakes, with faults
/// that come at any moment, together and twice: loss, delay, duplication and
/// reordering of messages, cut links, pauses, kills, power losses, store
/// outages, slow calls, lost answers, domains taken out and back, evictions
/// and cancellations. Throws `Violation` when a promise is broken, or when
/// work is lost: after the quiet time every accepted task has ended.
class Simulation final {
 public:
  explicit Simulation(SimulationSettings settings);
  ~Simulation();

  SimulationReport Run();

 private:
  void SendToAgent(const EntryId& from,
                   const HostId& host,
                   const OwnerMessage& message);
  void SendToEntry(const HostId& from,
                   const EntryId& entry,
                   const AgentMessage& message);
  /// Delivers over a faulty link: perhaps never, late or twice.
  void Deliver(const std::string& a,
               const std::string& b,
               const std::function<void()>& action);
  /// Prints a line while a task is traced.
  void Trace(const std::string& from,
             const std::string& to,
             const std::string& text) const;
  void Announce();
  void InjectFault();
  void ToggleDomain();
  void CutLink();
  void SubmitJob(int number);
  void CancelJob(int number);
  void HealEverything();
  void CheckEverythingEnded();
  SimulatedEntry& AnyEntry();
  SimulatedAgent& AnyAgent();
  JobRecord MakeJob(int number) const;

  const SimulationSettings m_settings;
  EventQueue m_events;
  Oracle m_oracle;
  FakeStore m_store;
  std::vector<std::unique_ptr<SimulatedEntry>> m_entries;
  std::vector<std::unique_ptr<SimulatedAgent>> m_agents;
  std::set<std::pair<std::string, std::string>> m_cut;
  std::set<DomainId> m_out;
  std::set<int> m_accepted;
  std::set<int> m_cancel_asked;
  bool m_faulty = true;
  SimulationReport m_report;
};

}  // namespace zinniacart::simulation
