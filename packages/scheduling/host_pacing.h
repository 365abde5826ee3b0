#pragma once

#include <optional>
#include <vector>

#include "base/clock.h"
#include "jobs/task_key.h"

namespace zinniacart {

/// A serving task as last measured.
struct ServingMeasure {
  double pressure = 0;  ///< Its users' tail latency as a share of its target.
  double undisturbed = 0;  ///< What that would be without best-effort work.
};

/// A best-effort task and the share of its speed that it was told to work at.
struct BestEffortPace {
  TaskRun id;
  int percent = 100;
  /// For each serving task of the host: the share of its target that this task
  /// is believed to add at full speed.
  std::vector<double> harm;
};

struct PacingSettings {
  /// The paces are planned for tails at this share of their targets; the rest
  /// is for rough measures and for load that grows meanwhile.
  double planned = 0.8;
  /// A measured tail beyond this share means that the plan is too hopeful.
  double slow_at = 0.9;
  /// Beyond this share all suspects are halted at once.
  double halt_at = 1.2;
  /// An effect shows in the measures after this time.
  Duration settle{700};
  /// Between two steps back to the plan, and their size.
  Duration recover_every{1000};
  double recover_step = 0.2;
  /// Less than this is not worth the disturbance.
  int least_percent = 10;
  /// A smaller change of a pace is not worth a call.
  int least_change = 15;
  /// Tasks that are believed to add less than this are left alone.
  double harmless = 0.03;
  /// Tasks that do less than this share of the worst one's harm are not made
  /// to pay for a plan that was too hopeful.
  double suspect_share = 0.25;
};

/// Decides how fast best-effort tasks may work beside serving tasks on one
/// host. Load it answers: disturbance that differs by pair of images and
/// changes within seconds. The paces are planned from what is believed of each
/// pair, the least harmful first; measures that contradict the plan cut it at
/// once and let it recover in steps.
class HostPacing final {
 public:
  explicit HostPacing(PacingSettings settings = {}) : m_settings(settings) {}

  /// @param serving the newest measures.
  /// @param paced   what the best-effort tasks were told so far.
  /// @returns the tasks whose pace changes.
  std::vector<BestEffortPace> Decide(const std::vector<ServingMeasure>& serving,
                                     std::vector<BestEffortPace> paced,
                                     Instant now);

  /// @returns the largest share that a tail has of its target, as of the last
  /// decision; 0 where nothing serves.
  double pressure() const { return m_pressure; }

 private:
  void AdjustTrust(Instant now);
  int Plan(const std::vector<ServingMeasure>& serving,
           const BestEffortPace& task,
           double trust,
           std::vector<double>& planned) const;

  PacingSettings m_settings;
  double m_pressure = 0;
  /// The part of the plan that is carried out, from 0 to 1.
  double m_trust = 1.0;
  std::optional<Instant> m_trust_changed_at;
};

}  // namespace zinniacart
