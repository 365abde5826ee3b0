#include "placement/simulation/event_queue.h"

namespace zinniacart::simulation {

void EventQueue::After(Duration delay, std::function<void()> action) {
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

std::int64_t EventQueue::Between(std::int64_t least, std::int64_t most) {
  const auto span = static_cast<std::uint64_t>(most - least + 1);
  return least + static_cast<std::int64_t>(m_random() % span);
}

Duration EventQueue::Delay(std::int64_t least, std::int64_t most) {
  return Duration(Between(least, most));
}

bool EventQueue::Chance(double probability) {
  constexpr std::uint64_t kSteps = 1'000'000;
  const auto bound =
      static_cast<std::uint64_t>(probability * static_cast<double>(kSteps));
  return m_random() % kSteps < bound;
}

}  // namespace zinniacart::simulation
