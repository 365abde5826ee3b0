#pragma once

#include <optional>
#include <vector>

#include "base/clock.h"
#include "jobs/task_key.h"

namespace zinniacart {

/// The pace of work that is not slowed, in percent.
inline constexpr int kFullSpeed = 100;

/// A serving task as last measured. Margins are the target divided by the tail
/// latency: 1 is just at the target, more is better.
struct ServingMeasure {
  double margin = 0;
  double undisturbed = 0;  ///< The margin without best-effort work.
  double expected = 0;     ///< As `undisturbed`, when a new pace shows effect.
};

/// A best-effort task and the share of its speed that it was told to work at.
struct BestEffortPace {
  TaskRun id;
  int percent = kFullSpeed;
  double cores = 0;  ///< What it uses at full speed.
  /// It began or changed its pace so lately that the measures do not show it.
  bool unsteady = false;
  /// For each serving task of the host: the margin that each core of this one
  /// must be expected to take from it.
  std::vector<double> loss_per_core;
};

struct PacingSettings {
  /// The paces are planned for this margin; what is above 1 is for rough
  /// measures and for disturbance that grows meanwhile.
  double planned_margin = 1.1;
  /// A tail that stays below this margin for so long shows that the plan is
  /// wrong, and all suspects are halted.
  double halt_below = 1.0;
  Duration halt_after{600};
  /// Between two steps back to the plan, and their size.
  Duration recover_every{700};
  double recover_step = 0.5;
  /// A loss of margin up to this share is noise of the measures.
  double noise = 0.12;
  /// Less than this is not worth the disturbance.
  int least_percent = 10;
  /// A smaller change of a pace is not worth a call.
  int least_change = 10;
  /// Tasks that are believed to take less margin than this are left alone.
  double harmless = 0.08;
};

/// Decides how fast best-effort tasks may work beside serving tasks on one
/// host. Load it answers: disturbance that differs by pair of images and
/// changes within seconds. The paces are planned from what is believed of each
/// pair, the least harmful first. Where a tail is over its target all the
/// same, the suspects are halted and come back in steps. A task whose newest
/// pace the measures do not show yet may be slowed further, but not sped up.
class HostPacing final {
 public:
  explicit HostPacing(PacingSettings settings = {}) : m_settings(settings) {}

  /// @param serving the newest measures.
  /// @param paced   what the best-effort tasks were told so far.
  /// @returns the tasks whose pace changes.
  std::vector<BestEffortPace> Decide(const std::vector<ServingMeasure>& serving,
                                     std::vector<BestEffortPace> paced,
                                     Instant now);

  /// @returns the margin that paces are planned for.
  double planned_margin() const { return m_settings.planned_margin; }
  /// @returns the smallest margin, as of the last decision; nothing where no
  /// serving task is measured.
  std::optional<double> min_margin() const { return m_min_margin; }

 private:
  void AdjustTrust(const std::vector<ServingMeasure>& serving, Instant now);
  int Plan(const BestEffortPace& task, std::vector<double>& room) const;
  bool WorthTelling(const BestEffortPace& task, int percent) const;

  PacingSettings m_settings;
  std::optional<double> m_min_margin;
  /// The part of the plan that is carried out, from 0 to 1.
  double m_trust = 1.0;
  std::optional<Instant> m_trust_changed_at;
  std::optional<Instant> m_disturbed_since;
};

}  // namespace zinniacart
