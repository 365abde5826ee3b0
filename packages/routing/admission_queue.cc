#include "routing/admission_queue.h"

#include "base/invariant.h"

namespace zinniacart {
namespace {

/// Weight of the newest sample in the exponentially smoothed service time.
constexpr double kSmoothing = 0.1;

}  // namespace

AdmissionQueue::AdmissionQueue(int slots, int queue_length)
    : m_slots(slots), m_queue_length(queue_length) {}

Result<AdmissionQueue::Verdict> AdmissionQueue::Arrive(const RequestId& request,
                                                       Instant now,
                                                       Instant deadline) {
  if (m_draining) {
    return Fail(ErrorCode::kDraining, "backend server is leaving");
  }
  if (now >= deadline) {
    return Fail(ErrorCode::kDeadlineExceeded, "expired on arrival");
  }
  if (m_running < m_slots && m_waiting.empty()) {
    ++m_running;
    return Verdict::kRun;
  }
  if (queued() >= m_queue_length) {
    return Fail(ErrorCode::kOverloaded, "queue is full");
  }
  const double rounds_until_start = static_cast<double>(queued() + 1) / m_slots;
  const Duration expected_wait(
      static_cast<std::int64_t>(rounds_until_start * m_service_time_ms));
  if (now + expected_wait >= deadline) {
    return Fail(ErrorCode::kOverloaded, "queue is longer than the deadline");
  }
  m_waiting.push_back(Waiting{request, deadline});
  return Verdict::kWait;
}

AdmissionQueue::Departures AdmissionQueue::Complete(Instant now,
                                                    Duration service_time) {
  CheckInvariant(m_running > 0, "a completed request was running");
  --m_running;
  const auto sample = static_cast<double>(service_time.count());
  m_service_time_ms += kSmoothing * (sample - m_service_time_ms);
  Departures departures;
  while (!m_waiting.empty() && m_running < m_slots && !departures.run) {
    const Waiting first = m_waiting.front();
    m_waiting.pop_front();
    if (now >= first.deadline) {
      departures.expired.push_back(first.request);
      continue;
    }
    ++m_running;
    departures.run = first.request;
  }
  return departures;
}

std::vector<RequestId> AdmissionQueue::Expire(Instant now) {
  std::vector<RequestId> expired;
  std::erase_if(m_waiting, [&](const Waiting& waiting) {
    if (now < waiting.deadline) {
      return false;
    }
    expired.push_back(waiting.request);
    return true;
  });
  return expired;
}

Duration AdmissionQueue::service_time() const {
  return Duration(static_cast<std::int64_t>(m_service_time_ms));
}

}  // namespace zinniacart
