#pragma once

#include <functional>

#include "jobs/job_record.h"

namespace zinniacart::simulation {

/// Makes jobs whose tasks are late, preempted, copied and moved: they are
/// large, some save checkpoints, some are best-effort, and some speculative.
/// @param draw gives a random number from its first to its second argument.
JobSpec VariedJobSpec(const std::function<int(int, int)>& draw);

/// @returns how such jobs are scheduled, without the service.
QueuePolicy VariedPolicy(const std::function<int(int, int)>& draw);

}  // namespace zinniacart::simulation
