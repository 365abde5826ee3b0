#include "hosting/simulation/varied_jobs.h"

#include <string>

namespace zinniacart::simulation {

JobSpec VariedJobSpec(const std::function<int(int, int)>& draw) {
  JobSpec spec;
  spec.payload = "payload";
  const int steps = draw(1, 2);
  for (int number = 0; number < steps; ++number) {
    StepSpec step;
    step.count = static_cast<std::uint32_t>(draw(2, 6));
    step.demand = Resources{draw(600, 1800), 100, 0};
    step.estimate = Duration(draw(400, 2000));
    step.checkpoints = draw(0, 2) > 0;
    step.speculative = draw(0, 2) == 0;
    step.best_effort = draw(0, 2) == 0;
    step.image = "batch-" + std::to_string(draw(0, 3));
    if (number > 0) {
      step.after = {0};
    }
    spec.steps.push_back(step);
  }
  return spec;
}

QueuePolicy VariedPolicy(const std::function<int(int, int)>& draw) {
  QueuePolicy policy;
  policy.stretch = 1.5;
  policy.objective = Duration(draw(300, 3000));
  policy.priority = draw(0, 1);
  return policy;
}

}  // namespace zinniacart::simulation
