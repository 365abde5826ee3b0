#include "base/clock.h"

#include <time.h>

namespace zinniacart {

Instant SteadyClock::Now() const {
  const auto since_boot = std::chrono::steady_clock::now().time_since_epoch();
  return Instant{std::chrono::duration_cast<Duration>(since_boot).count()};
}

Instant BootClock::Now() const {
  constexpr std::int64_t kMillisecondsPerSecond = 1000;
  constexpr std::int64_t kNanosecondsPerMillisecond = 1000000;
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return Instant{now.tv_sec * kMillisecondsPerSecond +
                 now.tv_nsec / kNanosecondsPerMillisecond};
}

std::uint64_t DrawRunNumber() {
  const auto since_1970 = std::chrono::system_clock::now().time_since_epoch();
  const auto micros =
      std::chrono::duration_cast<std::chrono::microseconds>(since_1970);
  return static_cast<std::uint64_t>(micros.count());
}

std::int64_t WallClockMilliseconds() {
  const auto since_1970 = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<Duration>(since_1970).count();
}

}  // namespace zinniacart
