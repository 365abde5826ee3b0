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

/// Parameters of one simulated run.
struct ProtocolSettings {
  std::uint64_t seed = 1;
  Duration fault_period{60000};  ///< How long faults are injected.
  /// All jobs must end within this time after the fault period.
  Duration recovery_period{120000};
  int entries = 3;
  int hosts = 4;
  int jobs = 24;
  /// Every so many jobs, the tasks of one crash the workers that start them; 0:
  /// of none.
  int crashing_job_every = 0;
  /// The capacities of workers shrink and grow. They should ignore it.
  bool capacity_changes = false;
  /// Perpetual jobs of serving tasks, submitted at once together with one
  /// best-effort job, so that serving tasks are consolidated. Other jobs are
  /// then submitted also after the faults. The workers should be steady and
  /// ignore their capacity, so that only the owner limits what runs.
  int perpetual_jobs = 0;
  /// Jobs are as `VariedJobSpec` makes them, so that work is preempted, copied
  /// and moved. The workers should be steady and ignore their capacity.
  bool varied_jobs = false;
  /// How many of a worker's answers take up to 0.3 s, so that later ones
  /// overtake them.
  double slow_answers = 0.1;
  /// Operators ask for two upkeep waves over all machines, one of them among
  /// the faults, and one machine at a time.
  bool waves = false;
  /// Workers that crash are back only after some seconds.
  bool worker_outages = false;
  /// See `SchedulerSettings`. Tests of the oracle set it apart.
  Duration max_perpetual_wait = SchedulerSettings().max_perpetual_wait;
  /// Declared for the perpetual tasks of each step. The oracle takes it as 1.
  std::uint32_t disruption_budget = 0;
  /// Machines that owners may take down at a time. The oracle allows one.
  std::uint32_t max_down = 1;
  /// The times that owners and agents use. They must agree; tests of the oracle
  /// set them apart.
  LeaseTimes owner_times;
  LeaseTimes agent_times;
  WorkerFaults worker;
  /// If set, receives a line for each decision and each fault.
  std::function<void(const std::string&)> trace;
};

/// Counts of one run.
struct ProtocolReport {
  std::size_t starts = 0;
  int faults = 0;
  int takeovers = 0;
  int upkeeps = 0;
  int completed = 0;  ///< Jobs that are reported as completed.
  /// Jobs reported as failed whose tasks crash their workers.
  int given_up = 0;
  /// Other jobs that were given up: workers crashed by themselves just after
  /// they had started their tasks.
  int sound_given_up = 0;
  int preempted = 0;  ///< Runs that were stopped in favour of others.
  int copied = 0;     ///< Stragglers of which a copy was started.
};

/// One randomised run of the real `Scheduler` and `HostSupervisor` against a
/// simulated store, network and workers. Faults are injected at any time, also
/// several at once: lost, delayed and reordered messages, calls that are
/// carried out seconds late, cut links, owners that are frozen, killed, or
/// deposed without noticing, agents that restart without state, workers that
/// crash, and an unavailable store.
class ProtocolSimulation final {
 public:
  explicit ProtocolSimulation(ProtocolSettings settings);
  ~ProtocolSimulation();

  /// @throws Violation if a guarantee is violated or an accepted job does not
  /// end.
  ProtocolReport Run();

 private:
  struct SimulatedAgent {
    std::unique_ptr<HostSupervisor> supervisor;
    /// Number of processes started so far; also the incarnation of the newest.
    std::uint64_t incarnations = 0;
    Instant down_until;
    Instant frozen_until;
    Instant announced_at;
    /// The worker incarnation to which holds are sent.
    WorkerIncarnation connected_to;
    Instant worker_down_until;
  };
  struct SimulatedEntry {
    std::unique_ptr<SimulatedOwner> owner;
    Instant frozen_until;
  };

  /// Advances the simulation by one time step.
  /// @param faulty whether faults are injected.
  void Tick(bool faulty);
  void RunDueActions();
  void RunAgent(const HostId& host, SimulatedAgent& agent);
  void Call(const HostId& host, const WorkerCall& call);
  /// Sends a call to the host's worker and passes the answer, or nothing if it
  /// is lost, to the agent's supervisor.
  /// @param handle carries out the call at the worker.
  /// @param answer receives the supervisor and the worker's answer.
  template <typename Request, typename Handle, typename Answer>
  void Exchange(const HostId& host,
                const Request& request,
                Handle handle,
                Answer answer);
  void SendOrders(int entry, const HostId& host, const HostOrders& orders);
  void RunAfter(Duration delay, std::function<void()> action);
  /// Sends a message over the link between `entry` and `peer`, in either
  /// direction: runs `action` when it arrives.
  /// @returns whether it was sent; false if the link is cut or it is lost.
  bool Send(const std::string& entry,
            const std::string& peer,
            std::function<void()> action);
  void InjectFault();
  /// Lets the capacity of a random worker shrink or grow.
  void ChangeCapacity();
  /// Lets a random entry take over if there has been no owner for a while.
  void EnsureOwner();
  void SubmitJob(int number);
  void SubmitPerpetualJobs();
  /// Lets operators ask for the waves that are due.
  void DeclareWaves();
  /// Ends what runs on the machine. Throws `Violation` if a perpetual step
  /// loses a task while another one is away.
  void BeginUpkeep(const MachineId& machine);
  void Store(const JobRecord& record);
  /// Throws `Violation` if an end has not been recorded for long, or a
  /// perpetual task does not run again though there is room for it. Must be
  /// called with each tick while there are no faults.
  void CheckCalm();
  void CheckPerpetualTask(const TaskKey& task);
  /// @returns whether the present owner has given the job up.
  bool HasEnded(const JobId& job) const;
  /// @returns how often the task fits beside what the workers run.
  std::int64_t RoomFor(const TaskKey& task) const;
  bool WorkerDown(const HostId& host) const {
    return m_clock.Now() < m_agents.at(host).worker_down_until;
  }
  void CancelRandomJob();
  /// Throws `Violation` if jobs have not ended or only appear to be completed.
  void CheckOutcome();
  /// @returns whether the present owner shows each job as ended.
  bool AllJobsEnded() const;
  /// @returns whether the agent and the store have been undisturbed for the
  /// time after which the promises with a time limit hold.
  bool InTouch(const HostId& host) const;
  void Trace(const std::string& text) const;
  /// @returns a number from `min` to `max`, both included.
  int Random(int min, int max);
  bool Chance(double probability);

  const ProtocolSettings m_settings;
  std::mt19937_64 m_random;
  ManualClock m_clock;
  TaskOracle m_oracle{m_clock,
                      [this](const HostId& host) { return InTouch(host); }};
  SimulatedStore m_store;
  SimulatedMachines m_machines{
      m_clock, [this](const MachineId& machine) { BeginUpkeep(machine); }};
  /// When a perpetual task was last at work; with waves only.
  std::map<TaskKey, Instant> m_last_at_work;
  std::map<HostId, std::unique_ptr<SimulatedWorker>> m_workers;
  std::map<HostId, SimulatedAgent> m_agents;
  std::vector<SimulatedEntry> m_entries;
  std::multimap<Instant, std::function<void()>> m_scheduled_actions;
  std::map<std::pair<std::string, std::string>, Instant> m_cut_links;
  Instant m_store_available_at;
  std::map<HostId, Instant> m_agent_undisturbed_at;
  Instant m_late_calls_until;
  Instant m_ownerless_since;
  Instant m_calm_since;
  struct PerpetualTask {
    Instant last_run;      ///< When it was last at work, or submitted.
    Instant cramped_last;  ///< When there was last no room for it twice over.
  };
  std::map<TaskKey, PerpetualTask> m_perpetual_tasks;
  int m_submitted_jobs = 0;
  ProtocolReport m_report;
};

}  // namespace zinniacart::simulation
