#include "jobs/job_state.h"

namespace zinniacart {

const char* ToString(JobState state) {
  switch (state) {
    case JobState::kQueued:
      return "queued";
    case JobState::kRunning:
      return "running";
    case JobState::kCompleted:
      return "completed";
    case JobState::kFailed:
      return "failed";
    case JobState::kCancelled:
      return "cancelled";
  }
  return "unknown";
}

Result<JobState> ParseJobState(const std::string& name) {
  for (const JobState state :
       {JobState::kQueued, JobState::kRunning, JobState::kCompleted,
        JobState::kFailed, JobState::kCancelled}) {
    if (name == ToString(state)) {
      return state;
    }
  }
  return Fail(ErrorCode::kInvalidArgument,
              "\"" + name + "\" is not a job's state", "state");
}

}  // namespace zinniacart
