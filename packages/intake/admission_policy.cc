#include "intake/admission_policy.h"

#include <algorithm>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/json_text.h"

namespace zinniacart {
namespace {

/// An owner that was replaced, or a backlog that is gone, must not refuse jobs
/// for longer.
constexpr Duration kAdviceValidity{2000};
/// The predicted wait is divided by this, because declared and learned run
/// times are off by up to 90%.
constexpr double kWaitMargin = 2.0;
/// A job that ends later than this many times its objective is worth nothing.
constexpr double kLatestEnd = 3.0;
constexpr std::int64_t kShortestSeconds = 1;
constexpr std::int64_t kLongestSeconds = 30;
constexpr double kMillisecondsPerSecond = 1000.0;
constexpr const char* kWaits = "waits_ms";

}  // namespace

void AdmissionPolicy::SetAdvice(BacklogAdvice advice) {
  m_advice = std::move(advice);
  m_received_at = m_clock.Now();
}

std::optional<std::chrono::seconds> AdmissionPolicy::RefusalOf(
    const JobRecord& job) const {
  const auto advised = m_advice.find(job.queue);
  const bool repeated = job.spec.schedule.occurrences > 0;
  if (advised == m_advice.end() || repeated || job.spec.perpetual() ||
      m_clock.Now() - m_received_at > kAdviceValidity) {
    return std::nullopt;
  }
  const auto path = static_cast<double>(LongestChainEstimate(job.spec).count());
  const double objective = job.policy.stretch * path +
                           static_cast<double>(job.policy.objective.count());
  const double wait =
      static_cast<double>(advised->second.count()) / kWaitMargin;
  const double excess = wait + path - kLatestEnd * objective;
  if (excess <= 0) {
    return std::nullopt;
  }
  // While nothing of the queue is accepted, the wait shrinks as time passes.
  const auto seconds =
      static_cast<std::int64_t>(excess / kMillisecondsPerSecond) + 1;
  return std::chrono::seconds(
      std::clamp(seconds, kShortestSeconds, kLongestSeconds));
}

std::string EncodeBacklogAdvice(const BacklogAdvice& advice) {
  if (advice.empty()) {
    return {};
  }
  nlohmann::json waits = nlohmann::json::object();
  for (const auto& [queue, wait] : advice) {
    waits[queue.value()] = wait.count();
  }
  return DumpJson({{kWaits, std::move(waits)}});
}

Result<BacklogAdvice> DecodeBacklogAdvice(const std::string& text) {
  BacklogAdvice advice;
  if (text.empty()) {
    return advice;
  }
  try {
    const auto parsed = ParseJson(text);
    const auto& waits = parsed.at(kWaits);
    if (!waits.is_object()) {
      return Fail(ErrorCode::kInvalidArgument, "not an object", kWaits);
    }
    for (const auto& [queue, wait] : waits.items()) {
      advice[QueueId(queue)] = Duration(ReadInteger(wait, kWaits));
    }
  } catch (const std::exception& error) {
    return Fail(ErrorCode::kInvalidArgument, error.what(), kWaits);
  }
  return advice;
}

}  // namespace zinniacart
