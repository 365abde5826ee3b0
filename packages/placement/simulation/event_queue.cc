#include "placement/simulation/event_queue.h"

namespace zinniacart::simulation {

void EventQueue::ScheduleAfter(Duration delay, std::function<void()> action) {
  m_events.push(Event{m_now + delay, ++m_event_count, std::move(action)});
}

void EventQueue::RunUntil(Instant end) {
  while (!m_events.empty() && m_events.top().at <= end) {
    const Event event = m_events.top();
    m_events.pop();
    m_now = event.at;
    event.action();
  }
  m_now = end;
}

std::int64_t EventQueue::RandomInt(std::int64_t min, std::int64_t max) {
  const auto value_count = static_cast<std::uint64_t>(max - min + 1);
  return min + static_cast<std::int64_t>(m_random() % value_count);
}

Duration EventQueue::RandomDelay(std::int64_t min, std::int64_t max) {
  return Duration(RandomInt(min, max));
}

bool EventQueue::RandomBool(double probability) {
  constexpr std::uint64_t kResolution = 1'000'000;
  const auto threshold = static_cast<std::uint64_t>(
      probability * static_cast<double>(kResolution));
  return m_random() % kResolution < threshold;
}

}  // namespace zinniacart::simulation
