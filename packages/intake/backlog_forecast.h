#pragma once

#include <deque>
#include <map>
#include <optional>

#include "base/clock.h"
#include "jobs/queue.h"

namespace zinniacart {

/// What the owner observes of one queue at one time.
struct QueueLoad {
  /// Work of tasks that could run and wait for capacity, of the queue's service
  /// and of the queue's or a higher priority, as far as it precedes a new job.
  double waiting_core_seconds = 0;
  /// Work of finished tasks of the same service and priorities, since any fixed
  /// time.
  double finished_core_seconds = 0;
  /// The age of the newest job of the queue of which a task was placed. A new
  /// job does not certainly wait for longer.
  std::optional<Duration> newest_begun_age;
};

/// For how long a job that is accepted now will wait for capacity, by queue.
/// Queues without a wait, or without a prediction, are absent.
using BacklogAdvice = std::map<QueueId, Duration>;

struct BacklogSettings {
  /// False: no advice is given, so that entries refuse nothing.
  bool enabled = true;
  Duration observation_interval{500};
  /// The rate at which work ends is taken from this time.
  Duration window{6000};
  /// Without observations for this long, nothing is predicted: one task may run
  /// for seconds.
  Duration min_observed{5000};
  /// Shorter waits are not predicted.
  Duration min_wait{1000};
};

/// Predicts for each queue how long a new job will wait, from the waiting work
/// and the rate at which work has ended. Does no I/O.
///
/// Each assumption favours the job: the wait is the shortest of the last two
/// seconds, the rate the higher of the whole window's and that of its last two
/// seconds, and a wait that the newest jobs of the queue did not have is not
/// predicted. Work must have waited throughout the window, since the rate at
/// which an idle site ends work says nothing about its capacity.
class BacklogForecast final {
 public:
  BacklogForecast(BacklogSettings settings, const Clock& clock);

  /// Forgets all observations: this process has just become the owner.
  void Reset() { m_samples.clear(); }
  /// @returns whether the next observation is due.
  bool IsDue() const;
  void Observe(const std::map<QueueId, QueueLoad>& loads);
  BacklogAdvice Advice() const;

 private:
  struct Sample {
    Instant at;
    std::map<QueueId, QueueLoad> loads;
  };

  std::optional<Duration> WaitOf(const QueueId& queue) const;
  /// @returns core-seconds per second from `first` to the newest sample.
  double RateSince(const Sample& first, const QueueId& queue) const;

  const BacklogSettings m_settings;
  const Clock& m_clock;
  std::deque<Sample> m_samples;  ///< Oldest first.
};

}  // namespace zinniacart
