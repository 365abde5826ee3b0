// Stand-in for a worker: runs tasks as entries of a table under leases.
#include <httplib.h>

#include <algorithm>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>

#include "base/clock.h"
#include "ports/http_server.h"
#include "ports/worker.h"
#include "standin_process.h"

namespace zinniacart::standin {
namespace {

using httplib::Request;
using httplib::Response;
using nlohmann::json;

constexpr int kFullSpeedPercent = 100;

struct Task {
  json demand;
  std::uint64_t generation = 0;
  std::uint32_t shard = 0;
  int task_class = 0;
  std::int64_t work_ms = 0;  ///< 0: runs until stopped.
  std::int64_t done_ms = 0;
  int percent = kFullSpeedPercent;
  WorkerTaskState state = WorkerTaskState::kRunning;
  Instant lease_until;
  Instant progressed_at;
  std::string checkpoint;
};

/// A checkpoint is the work done so far, written as a number.
std::int64_t WorkDone(const std::string& checkpoint) {
  return checkpoint.empty() ? 0 : std::strtoll(checkpoint.c_str(), nullptr, 10);
}

class WorkerTable final {
 public:
  WorkerTable(json capacity, bool fails_everything)
      : m_capacity(std::move(capacity)), m_fails(fails_everything) {}

  void Register(httplib::Server& server) {
    server.Post("/v1/attach", [this](auto& in, auto& out) { Attach(in, out); });
    server.Get("/v1/capacity", [this](auto&, auto& out) {
      out.set_content(m_capacity.dump(), "application/json");
    });
    server.Get("/v1/tasks", [this](auto&, auto& out) { List(out); });
    server.Post("/v1/tasks/([^/]+)/(\\w+)",
                [this](auto& in, auto& out) { Operate(in, out); });
  }

 private:
  void Attach(const Request& request, Response& response) {
    const std::lock_guard lock(m_mutex);
    const auto body = json::parse(request.body);
    m_incarnation = body.at("incarnation");
    response.set_content("{}", "application/json");
  }

  void Progress(Task& task) {
    const Instant now = m_clock.Now();
    if (task.state != WorkerTaskState::kRunning) {
      return;
    }
    const Instant until = std::min(now, task.lease_until);
    const std::int64_t elapsed =
        std::max<std::int64_t>(0, (until - task.progressed_at).count());
    task.done_ms += elapsed * task.percent / kFullSpeedPercent;
    task.progressed_at = until;
    if (task.work_ms > 0 && task.done_ms >= task.work_ms) {
      task.state = WorkerTaskState::kFinished;
    } else if (now >= task.lease_until) {
      task.state = WorkerTaskState::kStopped;
      task.checkpoint = std::to_string(task.done_ms);
    }
  }

  void List(Response& response) {
    const std::lock_guard lock(m_mutex);
    json rows = json::array();
    for (auto& [name, task] : m_tasks) {
      Progress(task);
      rows.push_back({{"task", name},
                      {"generation", task.generation},
                      {"shard", task.shard},
                      {"class", task.task_class},
                      {"demand", task.demand},
                      {"state", static_cast<int>(task.state)},
                      {"lease_until_ms", task.lease_until.milliseconds},
                      {"checkpoint", task.checkpoint}});
    }
    response.set_content(rows.dump(), "application/json");
  }

  void Operate(const Request& request, Response& response) {
    const std::lock_guard lock(m_mutex);
    const auto body = json::parse(request.body);
    const std::string name = request.matches[1];
    const std::string operation = request.matches[2];
    response.status = 409;
    if (body.at("incarnation") != m_incarnation) {
      response.set_content("stale agent", "text/plain");
      return;
    }
    if (operation == "start") {
      Start(name, body, response);
      return;
    }
    const auto found = m_tasks.find(name);
    if (found == m_tasks.end()) {
      response.set_content("no such task", "text/plain");
      return;
    }
    Task& task = found->second;
    Progress(task);
    const bool named =
        body.value("generation", task.generation) == task.generation;
    if (!named) {
      response.set_content("another generation", "text/plain");
      return;
    }
    response.status = 200;
    json answer = json::object();
    if (operation == "renew" && task.state == WorkerTaskState::kRunning) {
      task.lease_until =
          std::max(task.lease_until, Instant{body.at("lease_until_ms")});
    } else if (operation == "throttle") {
      task.percent = body.at("percent");
    } else if (operation == "stop") {
      Stop(task, answer);
    } else if (operation == "forget") {
      m_tasks.erase(found);
    }
    response.set_content(answer.dump(), "application/json");
  }

  void Start(const std::string& name, const json& body, Response& response) {
    const Instant now = m_clock.Now();
    const auto found = m_tasks.find(name);
    if (found != m_tasks.end()) {
      Progress(found->second);
      if (found->second.state == WorkerTaskState::kRunning) {
        response.set_content("runs already", "text/plain");
        return;
      }
    }
    if (now > Instant{body.at("not_after_ms")}) {
      response.set_content("too late", "text/plain");
      return;
    }
    Task task;
    task.demand = body.at("demand");
    task.generation = body.at("generation");
    task.shard = body.at("shard");
    task.task_class = body.value("class", 0);
    task.work_ms = body.at("run_time_ms");
    task.checkpoint = body.value("resume_from", std::string());
    task.done_ms = WorkDone(task.checkpoint);
    task.lease_until = Instant{body.at("lease_until_ms")};
    task.progressed_at = now;
    if (m_fails) {
      task.state = WorkerTaskState::kFailed;
    }
    m_tasks[name] = task;
    response.status = 200;
    response.set_content("{}", "application/json");
  }

  static void Stop(Task& task, json& answer) {
    if (task.state == WorkerTaskState::kRunning) {
      task.state = WorkerTaskState::kStopped;
      task.checkpoint = std::to_string(task.done_ms);
    }
    answer["checkpoint"] = task.checkpoint;
  }

  SteadyClock m_clock;
  std::mutex m_mutex;
  const json m_capacity;
  const bool m_fails;
  std::uint64_t m_incarnation = 0;
  std::map<std::string, Task> m_tasks;
};

}  // namespace
}  // namespace zinniacart::standin

int main(int argc, char** argv) {
  using namespace zinniacart;
  CLI::App app{"Stand-in for a worker"};
  int port = 0;
  int millicores = 16000;
  int memory_mb = 60000;
  int accelerators = 0;
  bool fails_everything = false;
  app.add_option("--port", port, "Port on 127.0.0.1; 0: the kernel chooses");
  app.add_option("--millicores", millicores, "Processors, in thousandths");
  app.add_option("--memory-mb", memory_mb, "Memory in MB");
  app.add_option("--accelerators", accelerators, "Accelerators");
  app.add_flag("--fail-everything", fails_everything, "Every task fails");
  CLI11_PARSE(app, argc, argv);
  const sigset_t signals = standin::BlockStopSignals();
  const nlohmann::json capacity{{"millicores", millicores},
                                {"memory_mb", memory_mb},
                                {"accelerators", accelerators}};
  standin::WorkerTable worker(capacity, fails_everything);
  HttpServer server;
  worker.Register(server.server());
  if (!server.Start(Endpoint{"127.0.0.1", port})) {
    std::fprintf(stderr, "cannot bind port %d\n", port);
    return 1;
  }
  standin::ServeUntilStopped(signals, server.port());
  server.Stop();
  return 0;
}
