#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <random>
#include <vector>

#include "base/clock.h"

namespace zinniacart::simulation {

/// True time and what happens when; one seed gives one run.
class EventQueue final {
 public:
  explicit EventQueue(std::uint64_t seed) : m_random(seed) {}

  /// Runs `action` after `delay` of true time.
  void After(Duration delay, std::function<void()> action);
  /// Runs events until true time reaches `end`.
  void RunUntil(Instant end);

  Instant now() const { return m_now; }

  /// @returns a number from `least` to `most`, both included.
  std::int64_t Between(std::int64_t least, std::int64_t most);
  /// @returns a duration from `least` to `most` milliseconds.
  Duration Delay(std::int64_t least, std::int64_t most);
  /// @returns true with the given probability.
  bool Chance(double probability);

 private:
  struct Event {
    Instant at;
    std::uint64_t number = 0;
    std::function<void()> action;
  };
  struct Later {
    bool operator()(const Event& a, const Event& b) const {
      return a.at != b.at ? a.at > b.at : a.number > b.number;
    }
  };

  std::mt19937_64 m_random;
  Instant m_now;
  std::uint64_t m_event_count = 0;
  std::priority_queue<Event, std::vector<Event>, Later> m_events;
};

}  // namespace zinniacart::simulation
