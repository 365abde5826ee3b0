#pragma once

#include <boost/icl/interval_set.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "jobs/job_spec.h"
#include "scheduling/task.h"

namespace zinniacart {

/// The tasks of a job by occurrence.
///
/// A job may repeat for years, so tasks are held only for occurrences that are
/// open: those that have come due, or of which a task has been heard, and that
/// are not complete. Complete occurrences are held as ranges of their numbers,
/// and nothing is held for those to come.
class OccurrenceTable final {
 public:
  /// The tasks of each step of one occurrence.
  using Steps = std::vector<StepTasks>;
  /// First and last number.
  using Range = std::pair<std::uint32_t, std::uint32_t>;

  explicit OccurrenceTable(const JobSpec& spec);

  const std::map<std::uint32_t, Steps>& open() const { return m_open; }
  std::map<std::uint32_t, Steps>& open() { return m_open; }
  /// @param occurrence must be open.
  Steps& At(std::uint32_t occurrence) { return m_open.at(occurrence); }
  const Steps& At(std::uint32_t occurrence) const {
    return m_open.at(occurrence);
  }

  /// Opens the occurrence unless it is open.
  /// @param occurrence must not be complete.
  Steps& Open(std::uint32_t occurrence);
  /// Drops the tasks of the occurrences, which are all done.
  /// @param range first <= last, and last is the number of an occurrence.
  void Complete(const Range& range);
  /// Drops the tasks of an open occurrence if all of them are done.
  void CompleteIfDone(std::uint32_t occurrence);
  /// As `CompleteIfDone`, for each open occurrence.
  void CompleteAllDone();
  /// @returns whether all tasks of the occurrence are done.
  bool IsComplete(std::uint32_t occurrence) const;
  /// @returns whether all tasks of all occurrences are done.
  bool AllComplete() const;
  /// @returns the complete occurrences as ranges, in ascending order.
  std::vector<Range> CompleteRanges() const;
  /// @returns the first occurrence that is neither open nor complete; nothing
  /// if there is none.
  std::optional<std::uint32_t> FirstUnopened();

 private:
  using Numbers = boost::icl::interval_set<std::uint64_t>;

  const std::uint32_t m_count;  ///< Number of occurrences.
  std::vector<std::uint32_t> m_tasks_per_step;
  std::map<std::uint32_t, Steps> m_open;
  Numbers m_complete;
  /// All occurrences before this one are open or complete.
  std::uint64_t m_first_unopened = 0;
};

}  // namespace zinniacart
