#include "ordering/run_time_estimate.h"

#include <algorithm>
#include <cmath>

namespace zinniacart {
namespace {

constexpr double kMaxRatio = 20;

}  // namespace

Duration RunTimeEstimate::Median() const {
  return Duration(std::llround(std::exp(log_ms)));
}

double BoundedLogTime(Duration taken, Duration declared) {
  const double log_declared = std::log(static_cast<double>(declared.count()));
  const double max_log_ratio = std::log(kMaxRatio);
  return std::clamp(std::log(static_cast<double>(taken.count())),
                    log_declared - max_log_ratio, log_declared + max_log_ratio);
}

}  // namespace zinniacart
