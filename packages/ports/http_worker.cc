#include "ports/http_worker.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace zinniacart {
namespace {

using nlohmann::json;

constexpr int kOk = 200;

Result<json> ToJson(Result<HttpAnswer> answer) {
  if (!answer) {
    return tl::unexpected<Error>(answer.error());
  }
  if (answer->status != kOk) {
    return Fail(ErrorCode::kPreconditionFailed, answer->body);
  }
  auto body = json::parse(answer->body, nullptr, false);
  if (body.is_discarded()) {
    return Fail(ErrorCode::kOutcomeUnknown, "unreadable answer of the worker");
  }
  return body;
}

Result<void> ToVoid(Result<HttpAnswer> answer) {
  auto body = ToJson(std::move(answer));
  if (!body) {
    return tl::unexpected<Error>(body.error());
  }
  return {};
}

json ToJson(const Resources& resources) {
  return json{{"millicores", resources.millicores},
              {"memory_mb", resources.memory_mb},
              {"accelerators", resources.accelerators}};
}

Resources ToResources(const json& body) {
  return Resources{body.value("millicores", std::int64_t{0}),
                   body.value("memory_mb", std::int64_t{0}),
                   body.value("accelerators", std::int64_t{0})};
}

WorkerTaskStatus ToStatus(const json& row) {
  WorkerTaskStatus status;
  status.task.task = TaskId(row.at("task"));
  status.task.generation = Generation(row.at("generation"));
  status.task.shard = ShardId(row.at("shard"));
  status.task.demand = ToResources(row.at("demand"));
  status.task.task_class = row.value("class", 0);
  status.state = static_cast<WorkerTaskState>(row.at("state").get<int>());
  status.lease_until = Instant{row.at("lease_until_ms")};
  status.checkpoint = CheckpointId(row.value("checkpoint", std::string()));
  return status;
}

std::string TaskPath(const TaskId& task, const char* operation) {
  return "/v1/tasks/" + task.value() + "/" + operation;
}

}  // namespace

HttpWorker::HttpWorker(Endpoint endpoint, Duration timeout)
    : m_client(std::move(endpoint), timeout) {}

Result<void> HttpWorker::Attach(Incarnation incarnation) {
  m_incarnation = incarnation;
  const json body{{"incarnation", incarnation.value()}};
  return ToVoid(m_client.Call("POST", "/v1/attach", body.dump()));
}

Result<Resources> HttpWorker::Capacity() {
  auto body = ToJson(m_client.Call("GET", "/v1/capacity", {}));
  if (!body) {
    return tl::unexpected<Error>(body.error());
  }
  return ToResources(*body);
}

Result<std::vector<WorkerTaskStatus>> HttpWorker::List() {
  auto body = ToJson(m_client.Call("GET", "/v1/tasks", {}));
  if (!body) {
    return tl::unexpected<Error>(body.error());
  }
  std::vector<WorkerTaskStatus> tasks;
  for (const auto& row : *body) {
    tasks.push_back(ToStatus(row));
  }
  return tasks;
}

Result<void> HttpWorker::Start(const WorkerTask& task,
                               Instant not_after,
                               Instant lease_until) {
  const json body{{"incarnation", m_incarnation.value()},
                  {"generation", task.generation.value()},
                  {"shard", task.shard.value()},
                  {"demand", ToJson(task.demand)},
                  {"class", task.task_class},
                  {"run_time_ms", task.run_time.count()},
                  {"resume_from", task.resume_from.value()},
                  {"not_after_ms", not_after.milliseconds},
                  {"lease_until_ms", lease_until.milliseconds}};
  return ToVoid(
      m_client.Call("POST", TaskPath(task.task, "start"), body.dump()));
}

Result<void> HttpWorker::Renew(const TaskId& task,
                               Generation generation,
                               Instant lease_until) {
  const json body{{"incarnation", m_incarnation.value()},
                  {"generation", generation.value()},
                  {"lease_until_ms", lease_until.milliseconds}};
  return ToVoid(m_client.Call("POST", TaskPath(task, "renew"), body.dump()));
}

Result<CheckpointId> HttpWorker::Stop(const TaskId& task,
                                      Generation generation) {
  const json body{{"incarnation", m_incarnation.value()},
                  {"generation", generation.value()}};
  auto answer =
      ToJson(m_client.Call("POST", TaskPath(task, "stop"), body.dump()));
  if (!answer) {
    return tl::unexpected<Error>(answer.error());
  }
  return CheckpointId(answer->value("checkpoint", std::string()));
}

Result<void> HttpWorker::Throttle(const TaskId& task, int percent) {
  const json body{{"incarnation", m_incarnation.value()}, {"percent", percent}};
  return ToVoid(m_client.Call("POST", TaskPath(task, "throttle"), body.dump()));
}

Result<void> HttpWorker::Forget(const TaskId& task, Generation generation) {
  const json body{{"incarnation", m_incarnation.value()},
                  {"generation", generation.value()}};
  return ToVoid(m_client.Call("POST", TaskPath(task, "forget"), body.dump()));
}

}  // namespace zinniacart
