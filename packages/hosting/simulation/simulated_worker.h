#pragma once

#include <map>
#include <optional>
#include <random>
#include <vector>

#include "base/resources.h"
#include "hosting/simulation/task_oracle.h"
#include "hosting/worker_calls.h"

namespace zinniacart::simulation {

/// Capacity of a worker that has not shrunk.
inline constexpr std::int64_t kFullMillicores = 4000;

/// Behaviour of a worker, most of it faulty.
struct WorkerFaults {
  /// Runs take about a second, and the lists show their progress.
  bool steady = false;
  bool ignores_leases = false;     ///< Runs continue after the lease expired.
  bool ignores_deadlines = false;  ///< Starts are accepted after `not_after`.
  bool ignores_capacity = false;   ///< Every start is accepted.
  bool hides_capacity = false;     ///< Changes of it are not announced.
  bool clock_restarts = false;     ///< Each incarnation's clock begins at 0.
  double failure_probability = 0.03;   ///< Of each run.
  std::size_t max_ends_in_list = 500;  ///< The oldest ones are listed.
  /// How long a run of a crashing task works until it crashes the worker.
  Duration crash_after{0};
  /// Share of the runs that take eight times as long.
  double slow_runs = 0;
  /// How long a run still works after the worker has accepted a stop of it.
  Duration stop_time{0};
};

/// A worker that runs tasks in simulated time, measures its lease by its own
/// clock, and reports to the oracle what it runs.
class SimulatedWorker final {
 public:
  /// @param clock_speed speed of the worker's clock relative to simulated time.
  SimulatedWorker(HostId host,
                  TaskOracle& oracle,
                  WorkerFaults faults,
                  double clock_speed,
                  std::uint64_t seed);

  /// Advances simulated time by `duration`.
  void Advance(Duration duration);
  /// From now on the worker announces and has this capacity.
  /// @param settled_at when starts beyond it count as violations.
  void SetCapacity(std::int64_t millicores, Instant settled_at);
  /// Ends all runs and restarts the worker as a new incarnation without state.
  void Crash();

  /// @returns the processors that its runs leave free, in millicores.
  std::int64_t FreeMillicores() const;
  /// @returns whether a task of the step of `task` is at work here.
  bool RunsTaskOfStep(const TaskKey& task) const;
  /// @returns whether the task is at work here.
  bool Runs(const TaskKey& task) const;
  /// @returns when the oldest run ended of which the owner has not recorded the
  /// end; nothing if there is none.
  std::optional<Instant> OldestUnrecordedEnd() const;

  Result<WorkerLists> Hold(const HoldCall& call);
  StartAnswer Start(const StartCall& call);
  bool Stop(const StopCall& call);

  WorkerFacts Facts() const;
  /// @returns the present time on the worker's clock.
  WorkerInstant Now() const;
  std::uint64_t NextAnnouncement() { return ++m_announcements; }

 private:
  struct Run {
    Duration total{0};
    Duration left{0};
    bool crashes = false;  ///< See `WorkerFaults::crash_after`.
    bool perpetual = false;
    CheckpointId resumed_from;
    std::optional<Duration> until_stopped;  ///< Set once a stop was accepted.
  };

  /// Remembers the newest token.
  /// @returns whether `token` is older than it, so that the call is refused.
  bool Fenced(Epoch token);
  /// @returns the run as it is listed.
  RunningTask List(const TaskRun& id, const Run& run) const;
  /// @returns the newest checkpoint of the run; empty if its task saves none.
  CheckpointId CheckpointOf(const TaskRun& id, const Run& run) const;
  void End(const TaskRun& id, EndKind how);
  /// Lets a run work on for `duration`, at the most until it ends.
  void Work(const TaskRun& id, Run& run, Duration duration);

  const HostId m_host;
  TaskOracle& m_oracle;
  const WorkerFaults m_faults;
  const double m_clock_speed;
  std::mt19937_64 m_random;
  double m_clock_ms = 100000;
  std::int64_t m_millicores = kFullMillicores;
  Instant m_capacity_settled_at;
  WorkerIncarnation m_incarnation{1000};
  std::uint64_t m_announcements = 0;
  Epoch m_fence;
  std::int64_t m_lease_until_ms = 0;
  std::map<TaskRun, Run> m_runs;
  /// For each task the newest run that has ended or was stopped; this run and
  /// older ones may not start.
  std::map<TaskKey, RunNumber> m_newest_closed_run;
  std::vector<EndedTask> m_ended;
  std::map<std::uint64_t, Instant> m_ended_at;  ///< By number of the end.
  std::uint64_t m_last_end_number = 0;
};

}  // namespace zinniacart::simulation
