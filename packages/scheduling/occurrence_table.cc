#include "scheduling/occurrence_table.h"

#include <algorithm>

namespace zinniacart {
namespace {

using Interval = boost::icl::interval<std::uint64_t>;

}  // namespace

OccurrenceTable::OccurrenceTable(const JobSpec& spec)
    : m_count(spec.occurrences()) {
  for (const StepSpec& step : spec.steps) {
    m_tasks_per_step.push_back(step.count);
  }
}

OccurrenceTable::Steps& OccurrenceTable::Open(std::uint32_t occurrence) {
  const auto [entry, added] = m_open.try_emplace(occurrence);
  if (added) {
    for (const std::uint32_t tasks : m_tasks_per_step) {
      entry->second.emplace_back().tasks.resize(tasks);
    }
  }
  return entry->second;
}

void OccurrenceTable::Complete(const Range& range) {
  m_complete +=
      Interval::right_open(range.first, std::uint64_t{range.second} + 1);
  m_open.erase(m_open.lower_bound(range.first),
               m_open.upper_bound(range.second));
}

void OccurrenceTable::CompleteIfDone(std::uint32_t occurrence) {
  const Steps& steps = At(occurrence);
  const bool done =
      std::all_of(steps.begin(), steps.end(),
                  [](const StepTasks& step) { return step.complete(); });
  if (done) {
    Complete({occurrence, occurrence});
  }
}

void OccurrenceTable::CompleteAllDone() {
  for (auto entry = m_open.begin(); entry != m_open.end();) {
    const std::uint32_t occurrence = entry->first;
    ++entry;
    CompleteIfDone(occurrence);
  }
}

bool OccurrenceTable::IsComplete(std::uint32_t occurrence) const {
  return boost::icl::contains(m_complete, std::uint64_t{occurrence});
}

bool OccurrenceTable::AllComplete() const {
  return boost::icl::cardinality(m_complete) == m_count;
}

std::vector<OccurrenceTable::Range> OccurrenceTable::CompleteRanges() const {
  std::vector<Range> ranges;
  for (const auto& interval : m_complete) {
    ranges.emplace_back(boost::icl::first(interval),
                        boost::icl::last(interval));
  }
  return ranges;
}

std::optional<std::uint32_t> OccurrenceTable::FirstUnopened() {
  while (m_first_unopened < m_count) {
    const auto number = static_cast<std::uint32_t>(m_first_unopened);
    const auto range = m_complete.find(m_first_unopened);
    if (range != m_complete.end()) {
      m_first_unopened = boost::icl::last(*range) + 1;
    } else if (m_open.contains(number)) {
      ++m_first_unopened;
    } else {
      return number;
    }
  }
  return std::nullopt;
}

}  // namespace zinniacart
