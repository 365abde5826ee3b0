#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

#include "base/clock.h"

namespace zinniacart {

struct HealthSettings {
  /// What finished tasks showed counts for this long.
  Duration window{3000};
  /// A task says something about its host's speed after this time.
  Duration least_elapsed{400};
  /// Fewer samples say nothing: one task may simply be long.
  std::size_t least_samples = 2;
  /// A host below this share of the usual speed is sick.
  double unhealthy_below = 0.4;
  /// A sick host that has nothing left to judge is tried again after this.
  Duration retry_after{3000};
};

/// Judges one host by how fast its tasks get on, compared with what was
/// estimated. Load it answers: workers that turn slow or stand still while
/// their announcements stay good.
class HostHealth final {
 public:
  explicit HostHealth(HealthSettings settings = {}) : m_settings(settings) {}

  /// A task finished in `elapsed`.
  void OnFinished(Duration estimate, Duration elapsed, Instant now);

  /// @returns the speed that a running task shows, nothing while it is too
  /// early in its time.
  std::optional<double> ObservedSpeed(Duration estimate,
                                      Duration elapsed,
                                      double progress) const;
  /// Begins a new look at the tasks that run.
  void BeginEvaluation();
  /// @param progress from 0 to 1.
  void OnRunning(Duration estimate, Duration elapsed, double progress);
  /// Ends the look and judges.
  /// @param usual the speed of the other hosts; nothing where none is known.
  void FinishEvaluation(std::optional<double> usual, Instant now);

  /// @returns the host's speed, 1 where tasks take as long as estimated;
  /// nothing while too little is known.
  std::optional<double> speed() const { return m_speed; }
  bool unhealthy() const { return m_unhealthy_since.has_value(); }

 private:
  struct Finished {
    Instant at;
    double speed;
  };

  HealthSettings m_settings;
  std::deque<Finished> m_finished;
  std::vector<double> m_running;
  std::optional<double> m_speed;
  std::optional<Instant> m_unhealthy_since;
};

/// @returns the middle one of `speeds`, nothing where there is none.
std::optional<double> MedianSpeed(std::vector<double> speeds);

}  // namespace zinniacart
