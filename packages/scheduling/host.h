#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "base/clock.h"
#include "base/ids.h"
#include "base/resources.h"
#include "jobs/job_spec.h"
#include "scheduling/host_health.h"
#include "scheduling/host_messages.h"
#include "scheduling/host_pacing.h"
#include "scheduling/interference_model.h"

namespace zinniacart {

/// A run that is on a host, or may be.
struct HostedRun {
  WorkerIncarnation incarnation;  ///< The life of the worker that has it.
  Resources demand;
  std::string image;
  bool best_effort = false;
  bool serves = false;
  Duration estimate{0};
  Duration latency_target{0};
  int wanted_percent = kFullSpeed;   ///< The share of its speed it may work at.
  std::optional<Instant> halted_at;  ///< Since when it may not work at all.
  bool pace_pending = false;         ///< It has not been sent yet.
  Instant paced_at;                  ///< When its pace was changed last.
  bool never_slowed = true;          ///< It was never slowed.
  bool perpetual = false;
  /// Version of the job that must be written before the start is ordered.
  std::uint64_t job_version = 0;
  bool ordered = false;    ///< The start may be sent.
  bool started = false;    ///< The worker has it.
  bool stopping = false;   ///< A stop may be sent.
  bool recovered = false;  ///< Found in the store; ordered by an older owner.
  StartOrder order;
  /// Agent run that has the newest order, and since when.
  Incarnation delivered_to;
  Instant delivered_at;
  Instant started_at;
  RunningTask latest;  ///< As last listed.
  /// A serving task: the margin it is expected to have without best-effort
  /// work; nothing before its first measure.
  std::optional<double> expected_margin;

  /// @returns a serving task's target divided by its tail latency; nothing
  /// where it is not measured.
  std::optional<double> margin() const;
};

/// Less spare margin than this counts as this much, where something is divided
/// by it.
constexpr double kMinSpareMargin = 0.05;

/// Which of the possible disturbances is reckoned with.
enum class EstimateBound { kExpected, kConservative };

/// The owner's belief about one host.
class Host final {
 public:
  explicit Host(HostId id) : m_id(std::move(id)) {}

  const HostId& id() const { return m_id; }

  // What the agent last said.
  std::optional<WorkerFacts> facts;
  WorkerIncarnation incarnation;  ///< Whose runs `runs` holds.
  Incarnation agent;
  std::uint64_t sequence = 0;
  bool listed = false;     ///< It has listed its runs under our epoch.
  bool reachable = false;  ///< Agent and worker answer.
  Instant last_report_at;

  /// The newest stamp that may be granted, and when it came in.
  Instant stamp;
  Instant stamp_received;
  /// When the stamp that was granted last came in; nothing before the first.
  std::optional<Instant> granted_stamp_received;

  std::map<TaskRun, HostedRun> runs;
  /// Runs that nobody wants; they get a stop until they are gone.
  std::set<TaskRun> orphans;
  std::uint64_t orphans_from_list = 0;  ///< The list that they were taken from.

  /// Ends by number, with what must be written before they are forgotten.
  struct PendingEnd {
    JobId job;
    std::uint64_t job_version = 0;
  };
  std::map<std::uint64_t, PendingEnd> pending_ends;
  std::uint64_t processed_ends = 0;  ///< Ends up to this one were handled.
  std::uint64_t recorded_ends = 0;   ///< Ends up to this one may be forgotten.

  /// Best-effort work that ended lately, which measures may still show.
  struct EndedUse {
    std::string image;
    double cores = 0;
    Instant at;
  };
  std::vector<EndedUse> ended_use;
  std::uint64_t measured_list = 0;  ///< The list that paces were decided from.
  Instant measured_at;              ///< When that was.
  HostPacing pacing;
  HostHealth health;

  // Outcomes, for telling a sick host from a bad job.
  std::uint32_t failures_in_row = 0;
  std::optional<Instant> quarantined_until;

  /// Something waits to be sent.
  bool has_orders = false;

  /// Has the next orders stop the run; `run` is one of `runs`.
  void OrderStop(HostedRun& run);
  /// @returns the capacity less what runs, or may run, here. Best-effort work
  /// does not count against the processors.
  Resources Free() const;
  /// @returns millicores that best-effort work could use beyond what it has.
  std::int64_t IdleMillicores() const;
  /// @returns the share of their margin above the planned one that serving
  /// tasks would lose, at the worst, if `cores` more of best-effort `image`
  /// worked here; 1 uses up the margin.
  double PredictSpareMarginUse(
      const InterferenceModel& model,
      const std::string& image,
      double cores,
      Instant now,
      EstimateBound bound = EstimateBound::kExpected) const;
  /// @returns the margin that a serving run has above the planned one, as far
  /// as it is expected without best-effort work.
  double SpareMargin(const HostedRun& run) const;
  /// @returns whether a task with a latency target is here.
  bool HasServingTask() const;
  /// @returns how many tasks of the step run, or may run, here.
  std::uint32_t CountOf(const JobId& job,
                        std::uint32_t occurrence,
                        std::uint32_t step) const;
  /// @returns whether new work may go here.
  bool IsSchedulable(Instant now) const;
  /// @returns whether the worker has the label: its kind, its rack.
  bool HasLabel(const std::string& label) const;

 private:
  HostId m_id;
};

}  // namespace zinniacart
