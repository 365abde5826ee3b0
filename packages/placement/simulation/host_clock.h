#pragma once

#include "base/clock.h"
#include "placement/simulation/event_queue.h"

namespace zinniacart::simulation {

/// The monotonic clock of one simulated host, with an offset from the simulated
/// time and a constant drift.
class HostClock final : public Clock {
 public:
  /// @param offset the clock's reading at simulated time 0.
  /// @param drift_ppm how much faster the clock runs than the simulated time,
  /// in parts per million; negative where it runs slower.
  HostClock(const EventQueue& events, Duration offset, int drift_ppm)
      : m_events(events), m_offset(offset), m_drift_ppm(drift_ppm) {}

  Instant Now() const override {
    const std::int64_t simulated_ms = m_events.now().milliseconds;
    return Instant{m_offset.count() + simulated_ms +
                   simulated_ms * m_drift_ppm / 1'000'000};
  }

 private:
  const EventQueue& m_events;
  const Duration m_offset;
  const int m_drift_ppm;
};

}  // namespace zinniacart::simulation
