#pragma once

#include <cstdint>
#include <variant>

#include "placement/messages.h"
#include "placement/shard_record.h"

namespace zinniacart {

/// Places a task on the chosen host, under its next generation.
struct AssignChange {
  TaskId task;
  HostId host;
};

/// Records how a placement ended.
struct FinishChange {
  TaskId task;
  Generation generation;
  HostId host;
  ReportedState state = ReportedState::kAbsent;
  CheckpointId checkpoint;
};

/// Adds a job, or changes the replicas and demand of a service.
struct AddJobChange {
  /// The call to answer once the change is stored or refused.
  std::uint64_t call = 0;
  JobRecord job;
};

/// Cancels a job permanently.
struct CancelJobChange {
  /// The call to answer once the change is stored or refused.
  std::uint64_t call = 0;
  JobId job;
};

/// Changes only the owner; the jobs stay as they are.
struct ChangeOwnerChange {};

/// One change to a shard's record. A single write carries several changes.
using ShardChange = std::variant<AssignChange,
                                 FinishChange,
                                 AddJobChange,
                                 CancelJobChange,
                                 ChangeOwnerChange>;

/// A task of a job is marked as failed after this many failures. Tasks of a
/// service are restarted without limit.
inline constexpr int kMaxTaskFailures = 5;
/// Number of completed jobs that a shard keeps so that their status can be
/// queried. The oldest are removed first.
inline constexpr std::size_t kMaxDoneJobs = 64;

/// Applies `change` to `record`.
/// @returns an error where the change does not apply; the record is then
/// unchanged.
Result<void> ApplyChange(const ShardChange& change, ShardRecord& record);

/// Removes the oldest completed jobs beyond `kMaxDoneJobs`; services are kept.
void DropOldestDoneJobs(ShardRecord& record);

}  // namespace zinniacart
