#include "routing/tail_estimator.h"

namespace zinniacart {

void TailEstimator::Add(Duration latency) {
  const auto sample = static_cast<double>(latency.count());
  const double weight = sample > m_tail_ms ? kRiseWeight : kFallWeight;
  m_tail_ms += weight * (sample - m_tail_ms);
}

Duration TailEstimator::tail() const {
  return Duration(static_cast<std::int64_t>(m_tail_ms));
}

}  // namespace zinniacart
