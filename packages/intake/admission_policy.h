#pragma once

#include <chrono>
#include <optional>
#include <string>

#include "base/clock.h"
#include "base/error.h"
#include "intake/backlog_forecast.h"
#include "jobs/job_record.h"

namespace zinniacart {

/// Decides on an entry which new jobs are refused, by the owner's newest
/// advice. Does no I/O.
class AdmissionPolicy final {
 public:
  explicit AdmissionPolicy(const Clock& clock) : m_clock(clock) {}

  /// Replaces the advice. It is valid for 2 s.
  void SetAdvice(BacklogAdvice advice);

  /// Determines whether a job that is accepted now certainly ends later than
  /// three times its objective, when it is worth nothing: even if it waits for
  /// half of the predicted time only. Jobs with a perpetual step or a schedule
  /// are never refused.
  /// @returns when its caller should come back, nothing if the job is accepted.
  std::optional<std::chrono::seconds> RefusalOf(const JobRecord& job) const;

 private:
  const Clock& m_clock;
  BacklogAdvice m_advice;
  Instant m_received_at;
};

/// @returns the JSON text that the owner sends to entries; empty if there is no
/// advice.
std::string EncodeBacklogAdvice(const BacklogAdvice& advice);

/// Parses what `EncodeBacklogAdvice` produced.
/// @returns the advice, `kInvalidArgument` if `text` is malformed.
Result<BacklogAdvice> DecodeBacklogAdvice(const std::string& text);

}  // namespace zinniacart
