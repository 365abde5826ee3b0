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

/// The parameters of one simulation. The same settings always give the same
/// run.
struct SimulationSettings {
  std::uint64_t seed = 1;
  /// Faults are injected for this long, in milliseconds.
  Duration faulty_time{240'000};
  /// After that, every job must end within this long without new faults.
  Duration quiet_time{300'000};
  // The numbers of entries, hosts, domains, shards and jobs. The hosts are
  // distributed evenly over the domains.
  int entries = 3;
  int hosts = 6;
  int domains = 3;
  std::uint32_t shards = 4;
  int jobs = 24;
  /// The protocol times of owners and agents. They differ only in tests that
  /// check whether a misconfigured protocol is detected.
  PlacementTimes owner_times;
  PlacementTimes agent_times;
  /// Makes the workers faulty: tasks keep running after their leases expire.
  bool workers_ignore_leases = false;
  /// Where not empty, the messages about this task and the kills, pauses and
  /// power losses of all processes are printed to stdout.
  std::string traced_task;
};

/// The counts of one simulation without a violation.
struct SimulationReport {
  /// Starts of tasks on workers, including repeated starts of the same task.
  std::uint64_t starts = 0;
  int jobs_accepted = 0;
  int tasks_finished = 0;
  int tasks_cancelled = 0;
  /// Injected faults, without those of single messages and calls.
  int faults = 0;
};

/// One randomised simulation of the real shard owners and task supervisors with
/// a fake store, fake workers and a faulty network. The faults occur at random
/// times and may overlap and repeat: loss, delay, duplication and reordering of
/// messages, cut links, pauses, kills, power losses, store outages, slow calls,
/// lost responses, drained and restored domains, evictions and cancellations.
class Simulation final {
 public:
  explicit Simulation(SimulationSettings settings);
  ~Simulation();

  /// Runs the simulation; call once.
  /// @throws Violation when a guarantee that `Oracle` checks is violated, or
  /// when work is lost: at the end every job must be accepted and every task
  /// ended.
  SimulationReport Run();

 private:
  void SendToAgent(const EntryId& from,
                   const HostId& host,
                   const OwnerMessage& message);
  void SendToEntry(const HostId& from,
                   const EntryId& entry,
                   const AgentMessage& message);
  /// Executes `action`, the reception of a message, after the delay of the
  /// link; while faults are injected, it may be lost, delivered late or
  /// delivered twice.
  void Deliver(const std::string& from,
               const std::string& to,
               const std::function<void()>& action);
  /// Prints a line with the time if a task is traced and `text` is not empty.
  void Trace(const std::string& from,
             const std::string& to,
             const std::string& text) const;
  /// Sends every agent's announcement to every entry, and every entry's
  /// configuration to every agent; then schedules the next time.
  void SendAnnouncements();
  /// Injects one random fault and schedules the next.
  void InjectFault();
  /// Drains a random domain, or restores it if it is drained.
  void ToggleDomain();
  /// Cuts the link between a random entry and a random host in one or both
  /// directions for 1 to 60 s.
  void CutLink();
  void SubmitJob(int number);
  void CancelJob(int number);
  /// Repairs all links, the store, the domains and the processes.
  void EndFaults();
  /// Compares the stored records with what was submitted and what really ran.
  void CheckFinalState();
  SimulatedEntry& RandomEntry();
  SimulatedAgent& RandomAgent();
  JobRecord MakeJob(int number) const;

  const SimulationSettings m_settings;
  EventQueue m_events;
  Oracle m_oracle;
  FakeStore m_store;
  std::vector<std::unique_ptr<SimulatedEntry>> m_entries;
  std::vector<std::unique_ptr<SimulatedAgent>> m_agents;
  /// Sender and receiver of every cut direction of a link.
  std::set<std::pair<std::string, std::string>> m_cut_links;
  std::set<DomainId> m_drained_domains;
  /// Numbers of the jobs whose submission succeeded.
  std::set<int> m_accepted_jobs;
  std::set<int> m_cancel_requested_jobs;
  bool m_injects_faults = true;
  SimulationReport m_report;
};

}  // namespace zinniacart::simulation
