#pragma once

#include <atomic>
#include <chrono>
#include <compare>
#include <cstdint>

namespace zinniacart {

using Duration = std::chrono::milliseconds;

/// A point on one host's monotonic clock. Comparable only on that host.
struct Instant {
  std::int64_t milliseconds = 0;

  auto operator<=>(const Instant&) const = default;
  Instant operator+(Duration duration) const {
    return Instant{milliseconds + duration.count()};
  }
  Instant operator-(Duration duration) const {
    return Instant{milliseconds - duration.count()};
  }
  Duration operator-(Instant other) const {
    return Duration(milliseconds - other.milliseconds);
  }
};

/// The runtime's clock. Decision code takes its time from here only.
class Clock {
 public:
  virtual ~Clock() = default;
  /// @returns the current monotonic time.
  virtual Instant Now() const = 0;
};

/// The host's monotonic clock.
class SteadyClock final : public Clock {
 public:
  Instant Now() const override;
};

/// The host's monotonic clock that also counts the time for which the host was
/// suspended, so that leases end in time however long that was.
class BootClock final : public Clock {
 public:
  Instant Now() const override;
};

/// A clock that moves only when a test says so.
class ManualClock final : public Clock {
 public:
  Instant Now() const override { return Instant{m_now.load()}; }
  /// Moves the clock forward by `duration`.
  void Advance(Duration duration) { m_now += duration.count(); }

 private:
  std::atomic<std::int64_t> m_now{0};
};

/// @returns a number that grows with each start on one host: the wall clock
/// in microseconds since 1970. It names one run of a process.
std::uint64_t DrawRunNumber();

/// @returns the wall clock as milliseconds since 1970; for audit records only.
std::int64_t WallClockMilliseconds();

}  // namespace zinniacart
