#include "jobs/job_record.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>

#include "base/json_text.h"

namespace zinniacart {
namespace {

using nlohmann::json;

using Int64 = std::numeric_limits<std::int64_t>;

json EncodeStep(const StepSpec& step) {
  json row{{"count", step.count},
           {"millicores", step.demand.millicores},
           {"memory_mb", step.demand.memory_mb},
           {"estimate_ms", step.estimate.count()}};
  const auto put = [&row](const char* name, const auto& value) {
    if (value != std::decay_t<decltype(value)>{}) {
      row[name] = value;
    }
  };
  put("accelerators", step.demand.accelerators);
  put("after", step.after);
  put("checkpoints", step.checkpoints);
  put("gang", step.gang);
  put("same_rack", step.same_rack);
  put("label", step.required_label);
  put("rack", step.preferred_rack);
  put("most_per_host", step.most_per_host);
  put("speculative", step.speculative);
  put("perpetual", step.perpetual);
  put("image", step.image);
  put("latency_target_ms", step.latency_target.count());
  put("best_effort", step.best_effort);
  put("disruption_budget", step.disruption_budget);
  return row;
}

StepSpec DecodeStep(const json& row) {
  StepSpec step;
  step.count = ReadCountField(row, "count");
  step.demand.millicores = ReadIntegerField(row, "millicores");
  step.demand.memory_mb = ReadIntegerField(row, "memory_mb");
  step.estimate = Duration(ReadIntegerField(row, "estimate_ms"));
  step.demand.accelerators = ReadOptionalIntegerField(row, "accelerators");
  step.after = ReadOptionalCountsField(row, "after");
  step.checkpoints = row.value("checkpoints", false);
  step.gang = row.value("gang", false);
  step.same_rack = row.value("same_rack", false);
  step.required_label = row.value("label", std::string());
  step.preferred_rack = row.value("rack", std::string());
  step.most_per_host = ReadOptionalCountField(row, "most_per_host");
  step.speculative = row.value("speculative", false);
  step.perpetual = row.value("perpetual", false);
  step.image = row.value("image", std::string());
  step.latency_target =
      Duration(ReadOptionalIntegerField(row, "latency_target_ms"));
  step.best_effort = row.value("best_effort", false);
  step.disruption_budget = ReadOptionalCountField(row, "disruption_budget");
  return step;
}

json EncodePolicy(const QueuePolicy& policy) {
  return {{"service", policy.service.value()},
          {"priority", policy.priority},
          {"max_attempts", policy.max_attempts},
          {"stretch", policy.stretch},
          {"objective_ms", policy.objective.count()},
          {"needs_advice", policy.needs_advice}};
}

QueuePolicy DecodePolicy(const json& row) {
  QueuePolicy policy;
  policy.service = ServiceId(row.at("service").get<std::string>());
  policy.priority = static_cast<int>(
      ReadIntegerField(row, "priority", std::numeric_limits<int>::min(),
                       std::numeric_limits<int>::max()));
  policy.max_attempts = ReadCountField(row, "max_attempts");
  policy.stretch = row.at("stretch");
  // It is as declared, so it is bounded here instead of rejected.
  policy.objective = Duration(std::clamp(
      ReadIntegerField(row, "objective_ms", Int64::min(), Int64::max()),
      -kMaxJsonInteger, kMaxJsonInteger));
  policy.needs_advice = row.value("needs_advice", false);
  return policy;
}

}  // namespace

std::string EncodeJobRecord(const JobRecord& record) {
  json steps = json::array();
  for (const StepSpec& step : record.spec.steps) {
    steps.push_back(EncodeStep(step));
  }
  json row{{"queue", record.queue.value()},
           {"policy", EncodePolicy(record.policy)},
           {"policy_version", record.policy_version},
           {"accepted_at_ms", record.accepted_at_ms},
           {"payload", record.spec.payload},
           {"steps", std::move(steps)}};
  if (record.spec.schedule.occurrences > 0) {
    row["schedule"] = {{"occurrences", record.spec.schedule.occurrences},
                       {"first_at_ms", record.spec.schedule.first_at_ms},
                       {"interval_ms", record.spec.schedule.interval.count()}};
  }
  return DumpJson(row);
}

Result<JobRecord> DecodeJobRecord(const JobId& id, const std::string& bytes) {
  try {
    if (id.value().empty()) {
      return Fail(ErrorCode::kInvalidArgument, "the job's id is empty", "id");
    }
    const json row = ParseJson(bytes);
    JobRecord record;
    record.id = id;
    record.queue = QueueId(row.at("queue").get<std::string>());
    record.policy = DecodePolicy(row.at("policy"));
    record.policy_version = row.value("policy_version", std::uint64_t{0});
    record.accepted_at_ms = ReadIntegerField(row, "accepted_at_ms");
    record.spec.payload = row.at("payload");
    for (const json& step : row.at("steps")) {
      // A decoded step takes up to a hundred times its text.
      if (record.spec.steps.size() > JobLimits{}.max_steps) {
        break;  // `Validate` rejects the job.
      }
      record.spec.steps.push_back(DecodeStep(step));
    }
    if (const auto schedule = row.find("schedule"); schedule != row.end()) {
      record.spec.schedule.occurrences =
          ReadCountField(*schedule, "occurrences");
      record.spec.schedule.first_at_ms =
          ReadIntegerField(*schedule, "first_at_ms", -kMaxJsonInteger);
      record.spec.schedule.interval =
          Duration(ReadIntegerField(*schedule, "interval_ms"));
    }
    const auto valid = Validate(record.spec);
    if (!valid) {
      return tl::unexpected(valid.error());
    }
    return record;
  } catch (const std::exception& error) {
    return Fail(ErrorCode::kInvalidArgument, error.what(), "job " + id.value());
  }
}

}  // namespace zinniacart
