#pragma once

#include <cstdint>
#include <vector>

#include "base/clock.h"
#include "ordering/job_order.h"
#include "ordering/run_time_model.h"
#include "ordering/step_run_times.h"
#include "scheduling/job.h"

namespace zinniacart {

/// The expected run times of a job's steps and what is left of them, for its
/// rank. Refers to the job.
class JobForecast final {
 public:
  /// @param siblings what is known of the job's steps; nullptr: estimates come
  ///                 from the queue alone, and running tasks count as a whole.
  JobForecast(const Job& job,
              const RunTimeModel& model,
              const StepRunTimes* siblings,
              Instant now);

  /// @returns the properties that rank the pending tasks of a step.
  /// @param occurrence one that is open.
  /// @param age        time since the occurrence was accepted or due.
  RankingInputs InputsFor(std::uint32_t occurrence,
                          std::uint32_t step,
                          Duration age) const;
  /// @returns the work of the tasks in open occurrences that are not done, in
  /// core-seconds.
  double core_seconds_left() const { return m_core_seconds_left; }

 private:
  /// One step of an open occurrence.
  struct StepForecast {
    Duration time{0};     ///< Run time of one task.
    Duration longest{0};  ///< As `time`, or longer if such a task is known.
    Duration left{0};     ///< Until the last task ends if all ran now.
  };
  struct Occurrence {
    std::uint32_t number;
    std::vector<StepForecast> steps;
  };

  StepForecast ForecastOf(const Job& job,
                          std::uint32_t occurrence,
                          std::uint32_t step,
                          const RunTimeEstimate& usual);

  const Job& m_job;
  const RunTimeModel& m_model;
  const StepRunTimes* m_siblings;
  const Instant m_now;
  std::vector<Occurrence> m_occurrences;
  double m_core_seconds_left = 0;
};

/// @returns the estimate for the tasks of a step.
/// @param step     named by its first task.
/// @param siblings as for `JobForecast`.
RunTimeEstimate EstimateStep(const Job& job,
                             const TaskKey& step,
                             const RunTimeModel& model,
                             const StepRunTimes* siblings);

}  // namespace zinniacart
