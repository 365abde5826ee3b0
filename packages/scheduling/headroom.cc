#include "scheduling/headroom.h"

#include <algorithm>
#include <cmath>

namespace zinniacart {

void Headroom::Observe(std::int64_t wanted, std::int64_t used, Instant now) {
  const double elapsed_half_lives =
      static_cast<double>((now - m_observed_at).count()) /
      static_cast<double>(m_settings.half_life.count());
  m_peak = std::max(static_cast<double>(wanted),
                    m_peak * std::exp2(-elapsed_half_lives));
  m_used = used;
  m_observed_at = now;
}

std::int64_t Headroom::Reserve() const {
  return std::max<std::int64_t>(
      0, static_cast<std::int64_t>(m_settings.margin * m_peak) - m_used);
}

}  // namespace zinniacart
