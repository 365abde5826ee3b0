#include "jobs/job_spec.h"

#include <algorithm>
#include <utility>

namespace zinniacart {
namespace {

std::string StepField(std::size_t step, const char* name) {
  return "steps[" + std::to_string(step) + "]." + name;
}

Result<void> ValidateStep(const StepSpec& step,
                          std::size_t number,
                          const JobLimits& limits) {
  if (step.count == 0 || step.count > limits.max_tasks_per_step) {
    return Fail(ErrorCode::kInvalidArgument,
                std::to_string(step.count) + " tasks, must be 1 to " +
                    std::to_string(limits.max_tasks_per_step),
                StepField(number, "count"));
  }
  if (!step.demand.IsNonNegative()) {
    return Fail(ErrorCode::kInvalidArgument, "a demand is negative",
                StepField(number, "demand"));
  }
  if (step.after.size() > limits.max_steps) {
    return Fail(ErrorCode::kInvalidArgument,
                std::to_string(step.after.size()) + " steps, at most " +
                    std::to_string(limits.max_steps),
                StepField(number, "after"));
  }
  for (const auto& [name, text] : {std::pair("image", &step.image),
                                   std::pair("label", &step.required_label),
                                   std::pair("rack", &step.preferred_rack)}) {
    if (text->size() > limits.max_name_bytes) {
      return Fail(ErrorCode::kInvalidArgument,
                  std::to_string(text->size()) + " bytes, at most " +
                      std::to_string(limits.max_name_bytes),
                  StepField(number, name));
    }
  }
  for (const std::uint32_t earlier : step.after) {
    if (earlier >= number) {
      return Fail(ErrorCode::kInvalidArgument,
                  "step " + std::to_string(earlier) + " is not an earlier one",
                  StepField(number, "after"));
    }
  }
  return {};
}

}  // namespace

bool JobSpec::perpetual() const {
  return std::any_of(steps.begin(), steps.end(),
                     [](const StepSpec& step) { return step.perpetual; });
}

Result<void> Validate(const JobSpec& spec, const JobLimits& limits) {
  if (spec.payload.size() > limits.max_payload_bytes) {
    return Fail(ErrorCode::kInvalidArgument,
                std::to_string(spec.payload.size()) + " bytes, at most " +
                    std::to_string(limits.max_payload_bytes),
                "payload");
  }
  if (spec.steps.empty() || spec.steps.size() > limits.max_steps) {
    return Fail(ErrorCode::kInvalidArgument,
                std::to_string(spec.steps.size()) + " steps, must be 1 to " +
                    std::to_string(limits.max_steps),
                "steps");
  }
  std::uint64_t tasks = 0;
  for (std::size_t number = 0; number < spec.steps.size(); ++number) {
    auto valid = ValidateStep(spec.steps[number], number, limits);
    if (!valid) {
      return valid;
    }
    tasks += spec.steps[number].count;
  }
  if (tasks > limits.max_tasks) {
    return Fail(ErrorCode::kInvalidArgument,
                std::to_string(tasks) + " tasks in all steps, at most " +
                    std::to_string(limits.max_tasks),
                "steps");
  }
  return {};
}

Duration DeclaredTime(const StepSpec& step) {
  return step.estimate;
}

Duration ChainEstimate(const JobSpec& spec,
                       std::uint32_t first_step,
                       const RunTimeEstimator& estimate_time) {
  std::vector<Duration> to_end(spec.steps.size(), Duration(0));
  for (std::size_t number = spec.steps.size(); number-- > first_step;) {
    to_end[number] += estimate_time(spec.steps[number]);
    for (const std::uint32_t earlier : spec.steps[number].after) {
      to_end[earlier] = std::max(to_end[earlier], to_end[number]);
    }
  }
  return to_end[first_step];
}

Duration LongestChainEstimate(const JobSpec& spec,
                              const RunTimeEstimator& estimate_time) {
  Duration longest{0};
  for (std::uint32_t step = 0; step < spec.steps.size(); ++step) {
    longest = std::max(longest, ChainEstimate(spec, step, estimate_time));
  }
  return longest;
}

}  // namespace zinniacart
