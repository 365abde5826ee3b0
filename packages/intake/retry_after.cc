#include "intake/retry_after.h"

#include <algorithm>
#include <cstdint>
#include <memory>
#include <random>

namespace zinniacart {
namespace {

constexpr std::int64_t kShortestSeconds = 1;
constexpr std::int64_t kLongestSeconds = 5;
/// The wait grows by one second for each two seconds of the outage.
constexpr Duration kOutagePerSecond{2000};

}  // namespace

RandomSource MakeRandomSource() {
  auto engine = std::make_shared<std::mt19937>(std::random_device{}());
  return [engine] {
    return std::uniform_real_distribution<double>(0.0, 1.0)(*engine);
  };
}

std::chrono::seconds RetryAfterOutage(Duration away_for,
                                      const RandomSource& random) {
  const std::int64_t middle = std::min<std::int64_t>(
      kLongestSeconds, kShortestSeconds + away_for / kOutagePerSecond);
  const std::int64_t least = std::max(kShortestSeconds, middle - 1);
  const std::int64_t most = std::min(kLongestSeconds, middle + 1);
  const auto choices = static_cast<double>(most - least + 1);
  const auto drawn = static_cast<std::int64_t>(random() * choices);
  return std::chrono::seconds(std::min(most, least + drawn));
}

}  // namespace zinniacart
