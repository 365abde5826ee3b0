#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <random>
#include <vector>

#include "base/clock.h"

namespace zinniacart::simulation {

/// The simulated time, the events scheduled in it, and the only source of
/// random numbers of a simulation: the same seed always gives the same run.
/// Events at the same time run in the order in which they were scheduled.
class EventQueue final {
 public:
  explicit EventQueue(std::uint64_t seed) : m_random(seed) {}

  /// Schedules `action` to run after `delay` of simulated time.
  void ScheduleAfter(Duration delay, std::function<void()> action);
  /// Runs all events up to and including `end`, which is the time afterwards.
  void RunUntil(Instant end);

  Instant now() const { return m_now; }

  /// @returns a random number from `min` to `max`, both included.
  std::int64_t RandomInt(std::int64_t min, std::int64_t max);
  /// @returns a random duration from `min` to `max` milliseconds, both
  /// included.
  Duration RandomDelay(std::int64_t min, std::int64_t max);
  /// @returns true with the given probability.
  bool RandomBool(double probability);

 private:
  struct Event {
    Instant at;
    std::uint64_t sequence_number = 0;
    std::function<void()> action;
  };
  /// Orders the queue so that its top is the event that runs first.
  struct RunsLater {
    bool operator()(const Event& a, const Event& b) const {
      return a.at != b.at ? a.at > b.at : a.sequence_number > b.sequence_number;
    }
  };

  std::mt19937_64 m_random;
  Instant m_now;
  std::uint64_t m_event_count = 0;
  std::priority_queue<Event, std::vector<Event>, RunsLater> m_events;
};

}  // namespace zinniacart::simulation
