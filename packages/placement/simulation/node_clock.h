#pragma once

#include "base/clock.h"
#include "placement/simulation/event_queue.h"

namespace zinniacart::simulation {

/// One host's monotonic clock: offset from true time and drifting.
class NodeClock final : public Clock {
 public:
  /// @param drift_ppm how much faster than true time, in millionths.
  NodeClock(const EventQueue& events, Duration offset, int drift_ppm)
      : m_events(events), m_offset(offset), m_drift_ppm(drift_ppm) {}

  Instant Now() const override {
    const std::int64_t true_ms = m_events.now().milliseconds;
    return Instant{m_offset.count() + true_ms +
                   true_ms * m_drift_ppm / 1'000'000};
  }

 private:
  const EventQueue& m_events;
  const Duration m_offset;
  const int m_drift_ppm;
};

}  // namespace zinniacart::simulation
