#pragma once

#include <cstdint>
#include <string>

#include "base/ids.h"
#include "jobs/task_key.h"

namespace zinniacart {

/// The progress of one job, to be written to the store.
struct ProgressWrite {
  JobId job;
  std::string bytes;           ///< See `Job::EncodeProgress`.
  std::uint64_t version = 0;   ///< The `Job::version` that `bytes` encodes.
  std::uint64_t revision = 0;  ///< Expected store revision.
};

/// The progress of one job as the store has it.
struct StoredProgress {
  std::string bytes;
  std::uint64_t revision = 0;  ///< 0: nothing is stored.
};

/// A scheduling decision, for the log. Fields that do not apply are empty.
struct DecisionEvent {
  const char* name;
  TaskRun run;
  HostId host;
  std::string detail;
};

}  // namespace zinniacart
