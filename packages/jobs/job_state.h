#pragma once

#include <string>

#include "base/error.h"

namespace zinniacart {

/// What a caller sees of a job.
enum class JobState { kQueued, kRunning, kCompleted, kFailed, kCancelled };

/// @returns the state's stable name, as stored and logged.
const char* ToString(JobState state);

/// @returns the state of that name, `kInvalidArgument` where there is none.
Result<JobState> ParseJobState(const std::string& name);

/// @returns whether the state never changes again.
inline bool IsTerminal(JobState state) {
  return state != JobState::kQueued && state != JobState::kRunning;
}

}  // namespace zinniacart
