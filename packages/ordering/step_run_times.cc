#include "ordering/step_run_times.h"

#include <algorithm>
#include <cmath>

namespace zinniacart {
namespace {

constexpr double kPercent = 100.0;
/// Usual variance of the logarithm within a step: the error of a run time that
/// is derived from progress is weighed against it.
constexpr double kUsualVariance = 0.3;
/// Error of the time since a start, from the delay of reports.
constexpr double kElapsedErrorMs = 150.0;

/// @returns the variance of the logarithm of a run time that is derived from
/// progress: the worker rounds the percentage.
double VarianceOfProgress(const TaskProgress& progress) {
  const double rounding = 1.0 / progress.percent;
  const double timing =
      kElapsedErrorMs / static_cast<double>(progress.elapsed.count());
  return rounding * rounding + timing * timing;
}

bool ShowsRunTime(const TaskProgress& progress) {
  return progress.from_beginning && progress.percent >= 1 &&
         progress.percent < kPercent && progress.elapsed.count() > 0;
}

Duration Scale(Duration time, double factor) {
  return Duration(
      std::llround(static_cast<double>(time.count()) * std::max(0.0, factor)));
}

}  // namespace

void StepRunTimes::Step::Summarize() {
  StepObservation& sum = observation;
  sum = {};
  sum.finished = finished;
  sum.samples = static_cast<double>(finished);
  sum.longest = longest_finished;
  sum.running = running.size();
  double log_sum = finished_log_sum;
  for (const auto& [index, task] : running) {
    sum.samples += task.weight;
    log_sum += task.weight * task.log_ms;
    sum.running_done += task.done;
    sum.last_end = std::max(sum.last_end, task.end);
    // A run time read from little progress is too uncertain for a maximum.
    if (task.weight > 0.5) {
      sum.longest =
          std::max(sum.longest, RunTimeEstimate{task.log_ms, 0}.Median());
    }
  }
  sum.mean_log_ms = sum.samples > 0 ? log_sum / sum.samples : 0;
}

void StepRunTimes::OnRunning(const TaskKey& task,
                             const TaskProgress& progress,
                             Duration declared,
                             Duration estimate,
                             Instant now) {
  if (declared.count() <= 0 || estimate.count() <= 0) {
    return;
  }
  const double done = std::clamp(progress.percent / kPercent, 0.0, 1.0);
  Running row;
  row.done = done;
  Duration total = estimate;
  if (ShowsRunTime(progress)) {
    const double log_ms =
        BoundedLogTime(Scale(progress.elapsed, 1 / done), declared);
    const double weight =
        kUsualVariance / (kUsualVariance + VarianceOfProgress(progress));
    const double log_estimate = std::log(static_cast<double>(estimate.count()));
    total = RunTimeEstimate{weight * log_ms + (1 - weight) * log_estimate, 0}
                .Median();
    if (progress.representative) {
      row.log_ms = log_ms;
      row.weight = weight;
    }
  }
  row.end = now + Scale(total, 1 - done);
  Step& step = m_steps[task.First()];
  step.running[task.index] = row;
  step.Summarize();
}

std::optional<double> StepRunTimes::OnFinished(const TaskKey& task,
                                               Duration taken,
                                               Duration declared) {
  if (declared.count() <= 0 || taken.count() <= 0) {
    return std::nullopt;
  }
  const double log_ms = BoundedLogTime(taken, declared);
  Step& step = m_steps[task.First()];
  std::optional<double> squared_deviation;
  if (step.finished > 0) {
    const auto before = static_cast<double>(step.finished);
    const double deviation = log_ms - step.finished_log_sum / before;
    squared_deviation = deviation * deviation * before / (before + 1);
  }
  ++step.finished;
  step.finished_log_sum += log_ms;
  step.longest_finished =
      std::max(step.longest_finished, RunTimeEstimate{log_ms, 0}.Median());
  step.running.erase(task.index);
  step.Summarize();
  return squared_deviation;
}

void StepRunTimes::Remove(const TaskKey& task) {
  const auto found = m_steps.find(task.First());
  if (found != m_steps.end() && found->second.running.erase(task.index) > 0) {
    found->second.Summarize();
  }
}

const StepObservation* StepRunTimes::Find(const TaskKey& step) const {
  const auto found = m_steps.find(step);
  return found == m_steps.end() ? nullptr : &found->second.observation;
}

StepObservation StepRunTimes::SiblingsOf(const TaskKey& task) const {
  const auto step = m_steps.find(task.First());
  if (step == m_steps.end()) {
    return {};
  }
  StepObservation others = step->second.observation;
  const auto own = step->second.running.find(task.index);
  if (own == step->second.running.end() || own->second.weight <= 0) {
    return others;
  }
  const double log_sum = others.samples * others.mean_log_ms -
                         own->second.weight * own->second.log_ms;
  others.samples = std::max(0.0, others.samples - own->second.weight);
  others.mean_log_ms = others.samples > 0 ? log_sum / others.samples : 0;
  return others;
}

void StepRunTimes::Forget(const JobId& job, std::uint32_t occurrence) {
  auto step = m_steps.lower_bound(TaskKey{job, occurrence, 0, 0});
  while (step != m_steps.end() && step->first.job == job &&
         step->first.occurrence == occurrence) {
    step = m_steps.erase(step);
  }
}

void StepRunTimes::Forget(const JobId& job) {
  auto step = m_steps.lower_bound(TaskKey{job, 0, 0, 0});
  while (step != m_steps.end() && step->first.job == job) {
    step = m_steps.erase(step);
  }
}

RunTimeEstimate CombineWithSiblings(const RunTimeEstimate& prior,
                                    double within,
                                    const StepObservation* observed) {
  const double common = prior.variance - within;
  if (observed == nullptr || observed->samples <= 0 || common <= 0) {
    return prior;
  }
  const double prior_weight = 1 / common;
  const double sibling_weight = observed->samples / within;
  const double weights = prior_weight + sibling_weight;
  return {
      (prior_weight * prior.log_ms + sibling_weight * observed->mean_log_ms) /
          weights,
      1 / weights + within};
}

}  // namespace zinniacart
