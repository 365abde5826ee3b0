#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

#include "base/clock.h"

namespace zinniacart {

struct HealthSettings {
  /// Samples of finished tasks are used for this long.
  Duration window{3000};
  /// A running task gives no sample before this time.
  Duration min_elapsed{400};
  /// Fewer samples give no speed: a single task may just take long.
  std::size_t min_samples = 2;
  /// A host is unhealthy below this share of the reference speed.
  double unhealthy_below = 0.4;
  /// An unhealthy host becomes healthy again when no evaluation has found it
  /// slow for longer than this.
  Duration retry_after{3000};
};

/// Detects an unhealthy host from the speed of its tasks: the estimated run
/// time divided by the time taken. It finds workers that become slow or make no
/// progress while their announcements stay normal.
///
/// For each report, call `BeginEvaluation`, then `OnRunning` for each running
/// task, then `FinishEvaluation`. Call `OnFinished` when a task finishes.
class HostHealth final {
 public:
  explicit HostHealth(HealthSettings settings = {}) : m_settings(settings) {}

  /// Adds the sample of a task that finished in `elapsed`.
  /// @param estimate of its run time; the task is ignored if it is not
  /// positive.
  void OnFinished(Duration estimate, Duration elapsed, Instant now);

  /// @returns the speed of a task, 1 where it takes as long as estimated;
  /// empty before `min_elapsed` and before half of the estimated run time.
  /// @param progress from 0 to 1.
  std::optional<double> ObservedSpeed(Duration estimate,
                                      Duration elapsed,
                                      double progress) const;
  /// Discards the samples of running tasks before they are added anew.
  void BeginEvaluation();
  /// Adds the sample of a running task, if it gives one.
  /// @param progress from 0 to 1.
  void OnRunning(Duration estimate, Duration elapsed, double progress);
  /// Computes the speed from all samples and decides whether the host is
  /// unhealthy.
  /// @param reference speed of the other hosts; empty where none is known.
  void FinishEvaluation(std::optional<double> reference, Instant now);

  /// @returns the host's mean speed, 1 where tasks take as long as estimated;
  /// empty with fewer samples than `min_samples`.
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

}  // namespace zinniacart
