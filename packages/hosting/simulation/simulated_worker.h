#pragma once

#include <map>
#include <random>
#include <vector>

#include "base/resources.h"
#include "hosting/simulation/task_oracle.h"
#include "hosting/worker_calls.h"

namespace zinniacart::simulation {

/// What a worker may do wrong.
struct WorkerFaults {
  bool ignores_leases = false;
  bool ignores_deadlines = false;  ///< Of starts that are carried out late.
  double failing_share = 0.03;     ///< Runs that end failed.
};

/// A worker that runs tasks in true time, holds their lease by its own clock
/// and tells the oracle what it really runs.
class SimulatedWorker final {
 public:
  SimulatedWorker(HostId host,
                  TaskOracle& oracle,
                  WorkerFaults faults,
                  double clock_speed,
                  std::uint64_t seed);

  /// Lets `duration` of true time pass.
  void Advance(Duration duration);
  /// Everything on it ends; it is back as another life.
  void Crash();

  Result<WorkerLists> Hold(const HoldCall& call);
  StartAnswer Start(const StartCall& call);
  bool Stop(const StopCall& call);

  WorkerFacts Facts() const;
  std::uint64_t NextAnnouncement() { return ++m_announcements; }

 private:
  struct Run {
    Duration left{0};
  };

  bool Fenced(Epoch token);
  void End(const TaskRun& id, EndKind how);
  WorkerInstant Now() const;

  const HostId m_host;
  TaskOracle& m_oracle;
  const WorkerFaults m_faults;
  const double m_clock_speed;
  std::mt19937_64 m_random;
  double m_clock_ms = 100000;
  WorkerIncarnation m_incarnation{1000};
  std::uint64_t m_announcements = 0;
  Epoch m_fence;
  std::int64_t m_lease_until_ms = 0;
  std::map<TaskRun, Run> m_runs;
  std::map<TaskKey, RunNumber> m_barred;
  std::vector<EndedTask> m_ended;
  std::uint64_t m_last_end = 0;
};

}  // namespace zinniacart::simulation
