#pragma once

#include <cstdint>
#include <variant>

#include "placement/messages.h"
#include "placement/shard_record.h"

namespace zinniacart {

/// The chosen host becomes the task's next placement.
struct AssignChange {
  TaskId task;
  HostId host;
};

/// A placement has ended.
struct FinishChange {
  TaskId task;
  Generation generation;
  HostId host;
  ReportedState state = ReportedState::kAbsent;
  CheckpointId checkpoint;
};

/// A job is added, or a service's replicas change.
struct AddJobChange {
  std::uint64_t call = 0;
  JobRecord job;
};

/// A job is to be stopped for good.
struct CancelJobChange {
  std::uint64_t call = 0;
  JobId job;
};

/// Ownership alone changes.
struct ChangeOwnerChange {};

/// One transition of a shard's record; several go into one write.
using ShardChange = std::variant<AssignChange,
                                 FinishChange,
                                 AddJobChange,
                                 CancelJobChange,
                                 ChangeOwnerChange>;

/// A job that fails this often is given up.
inline constexpr int kMostFailures = 5;
/// Jobs that are done are kept for their status; the oldest go first.
inline constexpr std::size_t kMostDoneJobs = 64;

/// Applies `change` to `record`.
/// @returns why it does not apply; the record is then unchanged.
Result<void> ApplyChange(const ShardChange& change, ShardRecord& record);

/// Drops the oldest done jobs beyond those kept.
void DropOldestDoneJobs(ShardRecord& record);

}  // namespace zinniacart
