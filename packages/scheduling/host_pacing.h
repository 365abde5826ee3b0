#pragma once

#include <optional>
#include <vector>

#include "base/clock.h"
#include "jobs/task_key.h"

namespace zinniacart {

/// A serving task as last measured.
struct ServingMeasure {
  TaskRun id;
  Duration tail{0};    ///< Its users' tail latency.
  Duration target{0};  ///< What it must stay below.
};

/// A best-effort task and the share of its speed it was told to work at.
struct BestEffortPace {
  TaskRun id;
  int percent = 100;
  /// The share of a target that it is believed to add at full speed.
  double harm = 0;
};

struct PacingSettings {
  /// Best-effort work is slowed as soon as a tail reaches this share of its
  /// target: measures are half a second old and rough.
  double slow_at = 0.9;
  /// Beyond this share it is halted at once.
  double halt_at = 1.3;
  /// It speeds up again below this share.
  double raise_below = 0.7;
  /// An effect shows in the measures after this time.
  Duration settle{700};
  /// Between two steps up.
  Duration raise_every{900};
  int raise_step = 20;
  /// Tasks that are believed to do less than this share of the worst one's
  /// harm go on.
  double spare_below = 0.25;
  /// Less than this is not worth the disturbance.
  int least_percent = 20;
};

/// Decides how fast best-effort tasks may work beside serving tasks on one
/// host. Load it answers: disturbance that differs by pair of images and
/// changes within seconds. Quick down, slow up, one task up at a time, so that
/// the one that disturbs is found.
class HostPacing final {
 public:
  explicit HostPacing(PacingSettings settings = {}) : m_settings(settings) {}

  /// @param serving  the newest measures.
  /// @param paced    what the best-effort tasks were told so far.
  /// @returns the tasks whose pace changes.
  std::vector<BestEffortPace> Decide(const std::vector<ServingMeasure>& serving,
                                     const std::vector<BestEffortPace>& paced,
                                     Instant now);

  /// @returns the largest share that a tail has of its target, as of the last
  /// decision; 0 where nothing serves.
  double pressure() const { return m_pressure; }

 private:
  std::vector<BestEffortPace> Slow(const std::vector<BestEffortPace>& paced,
                                   Instant now);
  std::vector<BestEffortPace> Raise(const std::vector<BestEffortPace>& paced,
                                    Instant now);

  PacingSettings m_settings;
  double m_pressure = 0;
  std::optional<Instant> m_slowed_at;
  std::optional<Instant> m_raised_at;
};

}  // namespace zinniacart
