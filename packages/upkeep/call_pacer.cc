#include "upkeep/call_pacer.h"

#include <algorithm>
#include <cmath>

namespace zinniacart {
namespace {

constexpr double kMillisecondsPerSecond = 1000.0;
/// Calls use at most this share of the limit. Calls that are on their way for
/// different times arrive closer together than they were sent.
constexpr double kShareOfLimit = 0.8;
constexpr Duration kFirstBackOff{200};
constexpr Duration kLongestDelay{5000};
/// A limited caller returns to its normal interval by this factor a call.
constexpr int kRecoveryPercent = 80;

}  // namespace

CallPacer::CallPacer(double calls_per_second)
    : m_shortest(static_cast<std::int64_t>(std::ceil(
          kMillisecondsPerSecond / (calls_per_second * kShareOfLimit)))),
      m_interval(m_shortest) {}

void CallPacer::OnCalled(Instant now) {
  m_next_at = std::max(m_next_at, now + m_interval);
}

void CallPacer::OnAnswered() {
  m_back_off = Duration(0);
  m_interval = std::max(m_shortest, m_interval * kRecoveryPercent / 100);
}

void CallPacer::OnLimited(Instant now) {
  m_back_off = Duration(0);
  m_interval = std::max(m_shortest, std::min(m_interval * 2, kLongestDelay));
  m_next_at = std::max(m_next_at, now + m_interval);
}

void CallPacer::OnFailed(Instant now) {
  m_back_off = std::clamp(m_back_off * 2, kFirstBackOff, kLongestDelay);
  m_next_at = std::max(m_next_at, now + m_back_off);
}

}  // namespace zinniacart
