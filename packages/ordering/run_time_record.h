#pragma once

#include <cstddef>
#include <string>

#include "base/error.h"
#include "ordering/run_time_model.h"

namespace zinniacart {

/// Most queues that a record holds, those with most runs first, and most bytes
/// of their names: a record takes 20 KB at most.
inline constexpr std::size_t kMaxRecordedQueues = 100;
inline constexpr std::size_t kMaxRecordedQueueBytes = 8192;

/// @returns the statistics of the queues, as the JSON text that the owner
/// stores for its successor. Without it, a new owner would order jobs by
/// declared times alone until eight tasks of each queue have ended.
std::string EncodeRunTimes(const RunTimeModel& model);

/// Adds the statistics of a record to `model`, except those of queues of which
/// it knows more runs.
/// @param bytes the output of `EncodeRunTimes`.
/// @returns `kInvalidArgument` if `bytes` is malformed, of another version, or
///          holds implausible values; `model` is then unchanged.
Result<void> RestoreRunTimes(const std::string& bytes, RunTimeModel& model);

}  // namespace zinniacart
