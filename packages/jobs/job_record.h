#pragma once

#include <cstdint>
#include <string>

#include "base/error.h"
#include "jobs/job_spec.h"
#include "jobs/queue.h"

namespace zinniacart {

/// An accepted job as it is stored. The record is written once, at acceptance,
/// and never changes; the progress of the job is stored separately.
struct JobRecord {
  JobId id;
  QueueId queue;
  QueuePolicy policy;  ///< As of acceptance; replaced by newer declarations.
  /// Version of the configuration that declared `policy`.
  std::uint64_t policy_version = 0;
  std::int64_t accepted_at_ms = 0;  ///< Wall clock, since 1970.
  JobSpec spec;
};

/// @returns the record as the JSON text that is stored.
std::string EncodeJobRecord(const JobRecord& record);

/// Parses what `EncodeJobRecord` produced.
/// @returns the record, or `kInvalidArgument` if `bytes` is not a valid record.
Result<JobRecord> DecodeJobRecord(const JobId& id, const std::string& bytes);

}  // namespace zinniacart
