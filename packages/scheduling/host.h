#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "base/clock.h"
#include "base/ids.h"
#include "base/resources.h"
#include "colocation/host_pacing.h"
#include "colocation/interference_model.h"
#include "jobs/job_spec.h"
#include "scheduling/host_health.h"
#include "scheduling/host_messages.h"

namespace zinniacart {

/// A run that is placed on a host: running there, or possibly running because
/// its start was ordered.
struct HostedRun {
  WorkerIncarnation incarnation;  ///< Of the worker that holds the run.
  Resources demand;
  std::string image;
  bool best_effort = false;
  bool serves = false;               ///< It has a latency target.
  Duration estimate{0};              ///< Of the run time.
  Duration latency_target{0};        ///< Of a serving task.
  int wanted_percent = kFullSpeed;   ///< Pace to work at.
  std::optional<Instant> halted_at;  ///< Since when its pace is 0.
  bool pace_pending = false;         ///< `wanted_percent` is not sent yet.
  Instant paced_at;                  ///< Last change of its pace.
  bool never_slowed = true;          ///< Always had `kFullSpeed`.
  bool perpetual = false;
  /// Version of the job that must be in the store before the start is sent.
  std::uint64_t job_version = 0;
  bool ordered = false;  ///< The start may be sent.
  bool started = false;  ///< The worker reported it as started.
  /// The agent refused the start, but an earlier agent may have sent it too.
  bool refused = false;
  bool stopping = false;   ///< A stop may be sent.
  bool recovered = false;  ///< Read from the store; a former owner ordered it.
  /// It has survived its start, see `HostReport::unproven`.
  bool proven = false;
  /// Once it has worked for this long no late crash speaks against its task any
  /// more; empty if none does.
  std::optional<Duration> acquits_after;
  /// While it is on trial, until this time at the latest, nothing else is
  /// started beside it: if the worker crashes, the run is the only suspect.
  Instant trial_until;
  StartOrder order;
  /// Incarnation of the agent that received the newest order, and when.
  Incarnation delivered_to;
  Instant delivered_at;
  Incarnation first_delivered_to;  ///< As above, of the first start order.
  Instant started_at;              ///< When a report first showed it at work.
  /// How often the start was sent, and when last.
  std::uint32_t start_deliveries = 0;
  Instant start_delivered_at;
  /// When it began, for its run time. Earlier than `started_at` where the
  /// report that showed the start was late.
  Instant began_at;
  RunningTask latest;     ///< As the worker last listed it.
  int saved_percent = 0;  ///< Progress when its checkpoint last changed.
  /// A serving task: the margin it is expected to have without best-effort
  /// work once a new pace takes effect; empty before its first measurement.
  std::optional<double> expected_margin;

  /// @returns whether the worker may have begun the run, and a crash of the
  /// worker now could have the run as its cause.
  bool MayCrashItsWorker() const { return ordered && !proven && !recovered; }
  /// @returns whether nothing else may be started beside it.
  bool IsOnTrial(Instant now) const {
    return now < trial_until && (!proven || acquits_after);
  }
  /// @returns what the run takes of its host's capacity. Best-effort work uses
  /// only processors that others leave idle.
  Resources ReservedDemand() const;
  /// @returns a serving task's latency target divided by its tail latency;
  /// empty for other tasks and while no latency is measured.
  std::optional<double> margin() const;
};

/// What the upkeep of a host asks of the scheduler.
enum class HostUpkeep {
  kNone,
  /// It gets no new tasks, and its tasks are moved.
  kEmptying,
  /// Its upkeep was ordered: it gets no new tasks, and its tasks count as away,
  /// as they may end at any time.
  kOrdered,
};

/// Lower bound of a spare margin that is used as a divisor.
constexpr double kMinSpareMargin = 0.05;

/// The shard owner's state of one host: what its agent last reported, the runs
/// placed there, and the orders still to be sent. Not thread-safe.
class Host final {
 public:
  explicit Host(HostId id) : m_id(std::move(id)) {}

  const HostId& id() const { return m_id; }

  // From the agent's last report.
  std::optional<WorkerFacts> facts;
  WorkerIncarnation incarnation;  ///< Worker that `runs` belong to.
  Incarnation agent;
  std::uint64_t sequence = 0;
  bool listed = false;     ///< Its runs were listed under our epoch.
  bool reachable = false;  ///< Agent and worker both respond.
  /// The agent has not reached its worker since the agent started. Its reports
  /// do not tell what becomes of the runs.
  bool without_worker = false;
  Instant last_report_at;

  /// The newest stamp that may be granted, and when it was received.
  Instant stamp;
  Instant stamp_received;
  /// When the last granted stamp was received; empty before the first grant.
  std::optional<Instant> granted_stamp_received;

  std::map<TaskRun, HostedRun> runs;
  /// Orphaned runs: the worker lists them, but the owner needs none of them. A
  /// stop is sent until they are no longer listed.
  std::set<TaskRun> orphans;
  std::uint64_t orphans_from_list = 0;  ///< List number they were taken from.
  Resources orphan_demand;  ///< What the listed orphaned runs take up.
  /// When the worker last refused a start for lack of capacity. Its capacity
  /// may have shrunk, which only its next announcement tells.
  std::optional<Instant> refused_capacity_at;

  /// Ended runs that the worker must keep until the job's version is stored.
  struct PendingEnd {
    JobId job;
    std::uint64_t job_version = 0;
  };
  std::map<std::uint64_t, PendingEnd> pending_ends;  ///< By end number.
  std::uint64_t processed_ends = 0;  ///< Ends up to this number are handled.
  std::uint64_t recorded_ends = 0;   ///< Ends up to this number are stored;
                                     ///< the worker may forget them.

  /// Cores in use by best-effort work at the last pacing decision, by image.
  std::map<std::string, double> measured_use;
  /// List number and time of the last pacing decision.
  std::uint64_t measured_list = 0;
  Instant measured_at;
  HostPacing pacing;
  HostHealth health;

  /// Failed runs of one step.
  struct FailuresInRow {
    std::uint32_t failures = 0;
    Instant newest;
    /// They have put the host into quarantine. If the step fails again it says
    /// nothing new, and others get their turn.
    bool judged = false;
  };
  /// By the first task of the step; since a run last ended otherwise.
  std::map<TaskKey, FailuresInRow> failures_in_row;
  std::optional<Instant> quarantined_until;
  HostUpkeep upkeep = HostUpkeep::kNone;

  /// The newest incarnation of which it is known how it has ended.
  WorkerIncarnation examined;
  /// When the host last crashed without a suspect, or the last suspect of a
  /// crash was cleared: it may fail by itself.
  std::optional<Instant> failed_by_itself_at;

  /// Orders are waiting to be sent.
  bool has_orders = false;

  /// Includes a stop of the run in the next orders.
  /// @param run an element of `runs`.
  void OrderStop(HostedRun& run);
  /// @returns the capacity minus the demand of all runs placed here and of
  /// orphaned runs; nothing while the capacity is unknown. Best-effort work
  /// takes no processors. Negative where the capacity has shrunk under them.
  Resources Free() const;
  /// Stops starts that the worker has not confirmed, newest run first, until
  /// what is placed here fits into the capacity again. A stop bars the start
  /// even if it was sent before.
  /// @returns the runs that are stopped so.
  std::vector<TaskRun> WithdrawStartsBeyondCapacity();
  /// @returns millicores that further best-effort work could use: the free
  /// ones and those that serving tasks usually leave idle, minus what
  /// best-effort work uses at its pace. May be negative.
  std::int64_t IdleMillicores() const;
  /// Predicts the interference of additional best-effort work.
  /// @param image of the additional work.
  /// @param cores that the additional work would use.
  /// @returns the share of its spare margin that the worst affected serving
  /// task would lose to all best-effort work here; 1 uses up the spare margin.
  double PredictSpareMarginUse(const InterferenceModel& model,
                               const std::string& image,
                               double cores,
                               Instant now) const;
  /// @returns the margin that a serving run is expected to have without
  /// best-effort work, minus the planned margin of `HostPacing`.
  double SpareMargin(const HostedRun& run) const;
  /// @returns whether a task with a latency target is placed here.
  bool HasServingTask() const;
  /// @returns how many tasks of the step are placed here.
  std::uint32_t CountOf(const JobId& job,
                        std::uint32_t occurrence,
                        std::uint32_t step) const;
  /// @returns whether no new tasks may be placed here because of failed runs.
  bool IsQuarantined(Instant now) const {
    return quarantined_until && now < *quarantined_until;
  }
  /// @returns whether new tasks may be placed here.
  bool IsSchedulable(Instant now) const;
  /// @returns whether the worker has the label, such as its kind or its rack.
  bool HasLabel(const std::string& label) const;

 private:
  HostId m_id;
};

}  // namespace zinniacart
