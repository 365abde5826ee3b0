#pragma once

#include <cstdint>
#include <string>

#include "base/error.h"
#include "jobs/job_spec.h"
#include "jobs/queue.h"

namespace zinniacart {

/// An accepted job as it is stored: written once, never changed.
struct JobRecord {
  JobId id;
  QueueId queue;
  QueuePolicy policy;  ///< As of the acceptance; a newer declaration wins.
  std::int64_t accepted_at_ms = 0;  ///< Wall clock, since 1970.
  JobSpec spec;
};

/// @returns the record in its stored form.
std::string EncodeJobRecord(const JobRecord& record);

/// @returns the record, `kInvalidArgument` where the bytes hold none.
Result<JobRecord> DecodeJobRecord(const JobId& id, const std::string& bytes);

}  // namespace zinniacart
