#pragma once

#include <string>

#include "base/error.h"

namespace zinniacart {

/// The state of a job as callers see it.
enum class JobState { kQueued, kRunning, kCompleted, kFailed, kCancelled };

/// @returns the name of the state. Names are stored and logged, so they must
/// not change.
const char* ToString(JobState state);

/// @returns the state with this name, or `kInvalidArgument` if there is none.
Result<JobState> ParseJobState(const std::string& name);

/// @returns whether the state is final.
inline bool IsTerminal(JobState state) {
  return state != JobState::kQueued && state != JobState::kRunning;
}

}  // namespace zinniacart
