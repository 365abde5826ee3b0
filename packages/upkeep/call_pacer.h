#pragma once

#include "base/clock.h"

namespace zinniacart {

/// Spaces the calls of this process to a service with a rate limit, and backs
/// off while it refuses them or does not answer.
class CallPacer final {
 public:
  /// @param calls_per_second limit over all callers; above 0.
  explicit CallPacer(double calls_per_second);

  bool MayCall(Instant now) const { return now >= m_next_at; }
  /// @returns the shortest time between two calls.
  Duration interval() const { return m_interval; }

  /// A call is sent, or a former caller may just have sent one.
  void OnCalled(Instant now);
  /// The service has answered.
  void OnAnswered();
  /// The service has refused the call because of the rate limit.
  void OnLimited(Instant now);
  /// The call was not answered or did not reach the service.
  void OnFailed(Instant now);

 private:
  Duration m_shortest;
  Duration m_interval;
  Duration m_back_off{0};
  Instant m_next_at;
};

}  // namespace zinniacart
