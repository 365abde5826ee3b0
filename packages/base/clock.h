#pragma once

#include <atomic>
#include <chrono>
#include <compare>
#include <cstdint>

namespace zinniacart {

using Duration = std::chrono::milliseconds;

/// A point in time on one host's monotonic clock. Values from different hosts
/// must not be compared.
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

/// The source of monotonic time. Code that makes decisions reads the time only
/// through this interface, so that tests can control it.
class Clock {
 public:
  virtual ~Clock() = default;
  /// @returns the current monotonic time.
  virtual Instant Now() const = 0;
};

/// The host's monotonic clock, which stops while the host is suspended.
class SteadyClock final : public Clock {
 public:
  Instant Now() const override;
};

/// The host's monotonic clock including time spent suspended
/// (`CLOCK_BOOTTIME`), so that leases expire on time even when the host was
/// suspended.
class BootClock final : public Clock {
 public:
  Instant Now() const override;
};

/// A clock for tests that advances only on request. Starts at 0 ms.
class ManualClock final : public Clock {
 public:
  Instant Now() const override { return Instant{m_now.load()}; }
  /// Moves the clock forward by `duration`.
  void Advance(Duration duration) { m_now += duration.count(); }

 private:
  std::atomic<std::int64_t> m_now{0};
};

/// Creates the number that identifies one run of a process, such as its
/// incarnation.
/// @returns the wall clock in microseconds since 1970, so that each restart on
/// a host gets a larger number.
std::uint64_t DrawRunNumber();

/// @returns the wall clock in milliseconds since 1970. Use it only for audit
/// records.
std::int64_t WallClockMilliseconds();

}  // namespace zinniacart
