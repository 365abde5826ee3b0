#include "scheduling/job_forecast.h"

#include <algorithm>
#include <cmath>

namespace zinniacart {
namespace {

RunTimeEstimate Combine(const Job& job,
                        const RunTimeEstimate& usual,
                        const StepObservation* observed,
                        const RunTimeModel& model) {
  return observed == nullptr
             ? usual
             : CombineWithSiblings(
                   usual, model.VarianceWithinStep(job.record().queue, usual),
                   observed);
}

/// @returns for the steps from `first` on, with the time that `time_of` gives
/// each, the length of the longest chain that begins with each.
template <typename TimeOf>
std::vector<Duration> LongestChains(const JobSpec& spec,
                                    std::uint32_t first,
                                    const TimeOf& time_of) {
  std::vector<Duration> to_end(spec.steps.size(), Duration(0));
  for (std::size_t number = spec.steps.size(); number-- > first;) {
    to_end[number] += time_of(number);
    for (const std::uint32_t earlier : spec.steps[number].after) {
      to_end[earlier] = std::max(to_end[earlier], to_end[number]);
    }
  }
  return to_end;
}

}  // namespace

RunTimeEstimate EstimateStep(const Job& job,
                             const TaskKey& step,
                             const RunTimeModel& model,
                             const StepRunTimes* siblings) {
  const RunTimeEstimate usual =
      model.Estimate(job.record().queue, job.spec().steps[step.step].estimate);
  return Combine(job, usual,
                 siblings == nullptr ? nullptr : siblings->Find(step), model);
}

JobForecast::JobForecast(const Job& job,
                         const RunTimeModel& model,
                         const StepRunTimes* siblings,
                         Instant now)
    : m_job(job), m_model(model), m_siblings(siblings), m_now(now) {
  std::vector<RunTimeEstimate> usual;
  usual.reserve(job.spec().steps.size());
  for (const StepSpec& step : job.spec().steps) {
    usual.push_back(model.Estimate(job.record().queue, step.estimate));
  }
  for (const auto& [number, steps] : job.occurrences().open()) {
    Occurrence& occurrence = m_occurrences.emplace_back();
    occurrence.number = number;
    occurrence.steps.reserve(steps.size());
    for (std::uint32_t step = 0; step < steps.size(); ++step) {
      occurrence.steps.push_back(ForecastOf(job, number, step, usual[step]));
    }
  }
}

JobForecast::StepForecast JobForecast::ForecastOf(
    const Job& job,
    std::uint32_t occurrence,
    std::uint32_t step,
    const RunTimeEstimate& usual) {
  const StepTasks& tasks = job.At(occurrence, step);
  const StepSpec& declared = job.spec().steps[step];
  const StepObservation* observed =
      m_siblings == nullptr
          ? nullptr
          : m_siblings->Find(TaskKey{job.id(), occurrence, step, 0});
  StepForecast forecast;
  forecast.time = declared.estimate.count() <= 0
                      ? declared.estimate
                      : Combine(job, usual, observed, m_model).Median();
  forecast.longest = forecast.time;
  const std::size_t open = tasks.tasks.size() - tasks.done;
  auto tasks_left = static_cast<double>(open);
  forecast.left =
      open > 0 || m_siblings == nullptr ? forecast.time : Duration(0);
  if (observed != nullptr) {
    tasks_left = std::max(0.0, tasks_left - observed->running_done);
    forecast.longest = std::max(forecast.longest, observed->longest);
    const Duration running_left =
        std::max(Duration(0), observed->last_end - m_now);
    // The other tasks have yet to start.
    const Duration others_left =
        open > observed->running ? forecast.time : Duration(0);
    forecast.left =
        open == 0 ? Duration(0) : std::max(running_left, others_left);
  }
  m_core_seconds_left += tasks_left * declared.demand.cores() *
                         std::chrono::duration<double>(forecast.time).count();
  return forecast;
}

RankingInputs JobForecast::InputsFor(std::uint32_t occurrence,
                                     std::uint32_t step,
                                     Duration age) const {
  const auto found = std::find_if(
      m_occurrences.begin(), m_occurrences.end(),
      [&](const Occurrence& open) { return open.number == occurrence; });
  const std::vector<StepForecast>& steps = found->steps;
  const JobSpec& spec = m_job.spec();
  const QueuePolicy& policy = m_job.policy();
  const auto whole = LongestChains(
      spec, 0, [&](std::size_t number) { return steps[number].longest; });
  const auto left = LongestChains(
      spec, 0, [&](std::size_t number) { return steps[number].left; });
  RankingInputs inputs;
  inputs.objective =
      Duration(static_cast<std::int64_t>(
          policy.stretch *
          static_cast<double>(
              std::max_element(whole.begin(), whole.end())->count()))) +
      policy.objective;
  inputs.age = age;
  inputs.chain_left = left[step];
  inputs.critical_left = m_siblings == nullptr
                             ? left[step]
                             : *std::max_element(left.begin(), left.end());
  inputs.core_seconds_left = m_core_seconds_left;
  return inputs;
}

}  // namespace zinniacart
