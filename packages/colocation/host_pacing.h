#pragma once

#include <optional>
#include <vector>

#include "base/clock.h"
#include "jobs/task_key.h"

namespace zinniacart {

/// Pace of a run that is not slowed, in percent.
inline constexpr int kFullSpeed = 100;

/// The last measurement of a serving task. A margin is the latency target
/// divided by the tail latency: 1 is exactly at the target, more is better.
struct ServingMeasure {
  double margin = 0;
  double baseline = 0;  ///< Estimated margin without best-effort work.
  /// As `baseline`, at the time when a new pace takes effect.
  double expected_baseline = 0;
};

/// A best-effort run and its pace.
struct BestEffortPace {
  TaskRun id;
  int percent = kFullSpeed;  ///< Pace; 0 halts the run.
  double cores = 0;          ///< Cores used at full speed.
  /// It started or changed its pace so recently that the measurements do not
  /// show the effect yet.
  bool unsteady = false;
  /// For each serving task of the host: the margin that it is expected to lose
  /// for each core of this run.
  std::vector<double> loss_per_core;
};

struct PacingSettings {
  /// Paces are planned for this margin. The part above 1 allows for measurement
  /// error and for interference that grows until a new pace takes effect.
  double planned_margin = 1.1;
  /// A task whose margin stays below `halt_below` for `halt_after` because of
  /// interference shows that the plan is wrong: all best-effort runs are halted
  /// that are not harmless.
  double halt_below = 1.0;
  Duration halt_after{600};
  /// After a halt, the plan is resumed in steps of `recover_step` of each pace,
  /// one every `recover_every`.
  Duration recover_every{700};
  double recover_step = 0.5;
  /// A loss of margin up to this share may be measurement noise.
  double noise = 0.12;
  /// A pace below this percentage becomes 0: the progress is not worth the
  /// interference.
  int min_percent = 10;
  /// Smaller changes of a pace, in percent, are not sent: they are not worth a
  /// call.
  int min_change = 10;
  /// Runs that are expected to take less margin than this are not slowed by the
  /// plan: it gives less back to the serving task than the plan may be off, and
  /// a job waits for its slowest task.
  double negligible_loss = 0.3;
  /// Runs that are expected to take less margin than this are not halted
  /// either.
  double harmless_loss = 0.08;
};

/// Decides how fast best-effort runs may work that are colocated with serving
/// tasks on one host. Interference differs by pair of images and changes within
/// seconds, so paces are planned from the estimate of each pair and decided
/// anew with each measurement.
///
/// Runs get their pace in ascending order of expected interference, each
/// limited by the margin that is left. Where a tail latency stays over its
/// target all the same, all runs but harmless ones are halted and resumed in
/// steps. A serving task may thus exceed its target for `halt_after`; otherwise
/// jobs beside it would wait at every peak of its traffic. A run whose newest
/// pace the measurements do not show yet may be slowed further, but not sped
/// up.
class HostPacing final {
 public:
  explicit HostPacing(PacingSettings settings = {}) : m_settings(settings) {}

  /// Plans the paces; call it once for each new measurement of the host.
  /// @param serving the newest measurement of each serving task.
  /// @param paced   the best-effort runs with their present paces.
  /// @returns the runs whose pace changes, with the new pace.
  std::vector<BestEffortPace> Decide(const std::vector<ServingMeasure>& serving,
                                     std::vector<BestEffortPace> paced,
                                     Instant now);

  /// @returns the margin that paces are planned for.
  double planned_margin() const { return m_settings.planned_margin; }
  /// @returns the smallest measured margin at the last decision; empty where no
  /// serving task was measured.
  std::optional<double> min_margin() const { return m_min_margin; }

 private:
  void AdjustConfidence(const std::vector<ServingMeasure>& serving,
                        Instant now);
  /// @returns the loss of margin below which a run is not slowed at present.
  double ToleratedLoss() const;
  int Plan(const BestEffortPace& task, std::vector<double>& spare) const;
  bool IsSignificantChange(const BestEffortPace& task, int percent) const;

  PacingSettings m_settings;
  std::optional<double> m_min_margin;
  /// Confidence in the plan, from 0 to 1: the upper limit of planned paces.
  double m_confidence = 1.0;
  std::optional<Instant> m_confidence_changed_at;
  std::optional<Instant> m_over_target_since;
};

}  // namespace zinniacart
