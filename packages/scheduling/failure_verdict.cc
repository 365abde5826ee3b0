#include "scheduling/failure_verdict.h"

namespace zinniacart {

std::uint32_t FailuresOfHost(const std::vector<StepFailures>& in_row) {
  constexpr std::size_t kStepsThatMayConvict = 2;
  std::uint32_t failures = 0;
  for (const StepFailures& step : in_row) {
    const bool host_fails_more =
        in_row.size() >= kStepsThatMayConvict && in_row.size() >= step.hosts;
    failures += step.step_succeeds || host_fails_more ? step.failures : 0;
  }
  return failures;
}

}  // namespace zinniacart
