#include "jobs/job_record.h"

#include <nlohmann/json.hpp>

namespace zinniacart {
namespace {

using nlohmann::json;

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
  step.count = row.at("count");
  step.demand.millicores = row.at("millicores");
  step.demand.memory_mb = row.at("memory_mb");
  step.estimate = Duration(row.at("estimate_ms").get<std::int64_t>());
  step.demand.accelerators = row.value("accelerators", std::int64_t{0});
  step.after = row.value("after", std::vector<std::uint32_t>{});
  step.checkpoints = row.value("checkpoints", false);
  step.gang = row.value("gang", false);
  step.same_rack = row.value("same_rack", false);
  step.required_label = row.value("label", std::string());
  step.preferred_rack = row.value("rack", std::string());
  step.most_per_host = row.value("most_per_host", 0U);
  step.speculative = row.value("speculative", false);
  step.perpetual = row.value("perpetual", false);
  step.image = row.value("image", std::string());
  step.latency_target =
      Duration(row.value("latency_target_ms", std::int64_t{0}));
  step.best_effort = row.value("best_effort", false);
  step.disruption_budget = row.value("disruption_budget", 0U);
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
  policy.priority = row.at("priority");
  policy.max_attempts = row.at("max_attempts");
  policy.stretch = row.at("stretch");
  policy.objective = Duration(row.at("objective_ms").get<std::int64_t>());
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
  return row.dump(-1, ' ', false, json::error_handler_t::replace);
}

Result<JobRecord> DecodeJobRecord(const JobId& id, const std::string& bytes) {
  try {
    const json row = json::parse(bytes);
    JobRecord record;
    record.id = id;
    record.queue = QueueId(row.at("queue").get<std::string>());
    record.policy = DecodePolicy(row.at("policy"));
    record.policy_version = row.value("policy_version", std::uint64_t{0});
    record.accepted_at_ms = row.at("accepted_at_ms");
    record.spec.payload = row.at("payload");
    for (const json& step : row.at("steps")) {
      record.spec.steps.push_back(DecodeStep(step));
    }
    if (const auto schedule = row.find("schedule"); schedule != row.end()) {
      record.spec.schedule.occurrences = schedule->at("occurrences");
      record.spec.schedule.first_at_ms = schedule->at("first_at_ms");
      record.spec.schedule.interval =
          Duration(schedule->at("interval_ms").get<std::int64_t>());
    }
    return record;
  } catch (const json::exception& error) {
    return Fail(ErrorCode::kInvalidArgument, error.what(), "job " + id.value());
  }
}

}  // namespace zinniacart
