#include "agent/agent_daemon.h"

#include <grpcpp/grpcpp.h>
#include <httplib.h>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>
#include <unistd.h>

#include <asio.hpp>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

#include "agent/agent_service.h"
#include "agent/backend_pool.h"
#include "agent/entry_sync.h"
#include "agent/interference_control.h"
#include "agent/supervisor_driver.h"
#include "base/logging.h"
#include "placement/wire_conversion.h"
#include "ports/http_server.h"
#include "ports/http_worker.h"
#include "rpc/server_builder.h"

namespace zinniacart {
namespace {

/// Each request at a backend server holds one of these threads.
constexpr std::size_t kBackendThreads = 64;
/// Calls of the worker block; they have threads of their own, so that they do
/// not wait for requests.
constexpr std::size_t kWorkerThreads = 8;
constexpr Duration kWorkerTimeout{1'000};
constexpr std::chrono::milliseconds kTickInterval{100};
constexpr std::chrono::milliseconds kWorkerPollInterval{1'000};
/// How often the sync thread checks whether there is something to send.
constexpr std::chrono::milliseconds kSyncPollInterval{50};
/// The host is announced this often even if nothing has changed.
constexpr Duration kAnnounceInterval{1'000};
/// Minimum interval between two announcements when the state of a backend
/// server has changed; without a change, `kAnnounceInterval` applies.
constexpr Duration kLoadChangeAnnounceInterval{200};

void RespondWithError(const Error& error, httplib::Response& response) {
  response.status = error.code == ErrorCode::kConflict ? 409 : 400;
  const nlohmann::json problem{{"title", ToString(error.code)},
                               {"detail", error.detail},
                               {"field", error.field},
                               {"status", response.status}};
  response.set_content(problem.dump(), "application/problem+json");
}

}  // namespace

class AgentDaemon::Runtime final {
 public:
  explicit Runtime(AgentSettings settings)
      : m_settings(std::move(settings)),
        m_incarnation(DrawRunNumber()),
        m_worker(m_settings.worker, kWorkerTimeout),
        m_pool(m_clock,
               m_incarnation,
               [this](auto job) { asio::post(m_backend_threads, job); }),
        m_driver(m_settings.host,
                 m_clock,
                 m_worker,
                 TaskSupervisor(m_settings.domain,
                                m_settings.host,
                                m_incarnation,
                                PlacementTimes()),
                 [this](auto job) { asio::post(m_worker_threads, job); }),
        m_service(m_pool,
                  [this](const auto& batch) { return m_driver.Handle(batch); }),
        m_sync(m_settings.host, SeedAddresses()) {}

  ~Runtime() { Stop(); }

  Result<void> Start() {
    auto rpc = ServeRpc(m_service, m_settings.rpc.ip, m_settings.rpc.port);
    if (!rpc.server) {
      return Fail(ErrorCode::kInvalidArgument,
                  "cannot bind " + m_settings.rpc.ToString(), "rpc");
    }
    m_server = std::move(rpc.server);
    m_rpc_port = rpc.port;
    RegisterLocalRoutes();
    if (!m_local.Start(m_settings.local)) {
      return Fail(ErrorCode::kInvalidArgument,
                  "cannot bind " + m_settings.local.ToString(), "local");
    }
    m_running = true;
    m_sync_thread = std::thread([this] { RunSync(); });
    ScheduleTick();
    ScheduleWorkerPoll();
    ScheduleInterferenceControl();
    m_timer_thread = std::thread([this] { m_io.run(); });
    return {};
  }

  void Stop() {
    if (!m_running) {
      return;
    }
    LogInfo("agent.stopping", {{"host", m_settings.host.value()}});
    // The announcements now say that the host drains, so entries choose others;
    // requests that still arrive in the meantime are served.
    m_stopping = true;
    std::this_thread::sleep_for(m_settings.drain_time);
    m_pool.DrainAll();
    m_pool.WaitUntilIdle();
    m_server->Shutdown();
    m_running = false;
    m_io.stop();
    m_timer_thread.join();
    m_sync_thread.join();
    m_backend_threads.join();
    m_worker_threads.join();
    m_local.Stop();
  }

  int rpc_port() const { return m_rpc_port; }
  int local_port() const { return m_local.port(); }

 private:
  std::vector<std::string> SeedAddresses() const {
    std::vector<std::string> seeds;
    for (const Endpoint& entry : m_settings.entries) {
      seeds.push_back(entry.ToString());
    }
    return seeds;
  }

  void ScheduleTick() {
    m_tick_timer.expires_after(kTickInterval);
    m_tick_timer.async_wait([this](const asio::error_code& error) {
      if (!error) {
        m_pool.Tick();
        m_driver.Tick();
        ScheduleTick();
      }
    });
  }

  void ScheduleWorkerPoll() {
    asio::post(m_worker_threads, [this] { AttachOrPollWorker(); });
    m_worker_poll_timer.expires_after(kWorkerPollInterval);
    m_worker_poll_timer.async_wait([this](const asio::error_code& error) {
      if (!error) {
        ScheduleWorkerPoll();
      }
    });
  }

  void AttachOrPollWorker() {
    // Skips this poll if the previous one still waits for the worker.
    const std::unique_lock lock(m_worker_poll_mutex, std::try_to_lock);
    if (!lock.owns_lock()) {
      return;
    }
    if (m_driver.snapshot().ready) {
      m_driver.PollWorker();
      return;
    }
    const auto attached = m_driver.Attach(m_incarnation);
    if (!attached) {
      LogWarning("worker.attach.failed", {{"detail", attached.error().detail}});
    }
  }

  void ScheduleInterferenceControl() {
    m_interference_timer.expires_after(
        InterferenceControl::kObservationInterval);
    m_interference_timer.async_wait([this](const asio::error_code& error) {
      if (!error) {
        ControlInterference();
        ScheduleInterferenceControl();
      }
    });
  }

  void ControlInterference() {
    InterferenceControl::Observation observation;
    for (const auto& latency : m_pool.Latencies()) {
      const auto tail = static_cast<double>(latency.tail.count());
      const auto target = static_cast<double>(latency.target.count());
      observation.has_traffic |= latency.has_traffic;
      observation.latency_ratio =
          std::max(observation.latency_ratio, tail / target);
    }
    m_driver.WithSupervisor([&](TaskSupervisor& supervisor, Instant) {
      for (const auto& task : supervisor.RunningBatchTasks()) {
        observation.batch_tasks.push_back(task.task);
      }
    });
    const auto actions = m_interference.Observe(observation, m_clock.Now());
    for (const auto& action : actions) {
      std::visit(
          Visitor{[this](const InterferenceControl::Throttle& throttle) {
                    LogInfo("task.throttle", {{"task", throttle.task.value()},
                                              {"percent", throttle.percent}});
                    asio::post(m_worker_threads, [this, throttle] {
                      m_worker.Throttle(throttle.task, throttle.percent);
                    });
                  },
                  [this](const InterferenceControl::Evict& evict) {
                    LogInfo("task.evict", {{"task", evict.task.value()}});
                    m_driver.WithSupervisor(
                        [&](TaskSupervisor& supervisor, Instant now) {
                          supervisor.Evict(evict.task, now);
                        });
                  }},
          action);
    }
  }

  void RunSync() {
    Instant announced_at{0};
    std::vector<BackendAnnouncement> announced;
    while (m_running) {
      const Instant now = m_clock.Now();
      const auto backends = m_pool.Announcements();
      const Duration since = now - announced_at;
      const bool announcement_due =
          since >= kAnnounceInterval ||
          (backends != announced && since >= kLoadChangeAnnounceInterval);
      if (!announcement_due && !m_driver.HasMessages()) {
        std::this_thread::sleep_for(kSyncPollInterval);
        continue;
      }
      auto round = m_sync.RunRound(m_driver.TakeMessages(),
                                   Announcement(backends), announcement_due);
      if (announcement_due) {
        announced_at = now;
        announced = backends;
      }
      ApplyRound(round);
    }
  }

  void ApplyRound(const EntrySync::Round& round) {
    m_reached_entry = round.reached_any;
    if (round.host_conflict) {
      LogError("host.conflict", {{"host", m_settings.host.value()}});
    }
    if (round.configuration_changed) {
      m_sync_serial = m_sync.configuration().serial().value();
      m_pool.SetConfiguration(m_sync.configuration());
      m_driver.SetConfiguration(m_sync.configuration(), m_settings.domain,
                                m_settings.host);
    }
    m_driver.SetEntries(m_sync.Entries());
    for (const auto& [entry, reply] : round.replies) {
      if (!reply.messages().empty()) {
        m_driver.HandleReply(entry, reply);
      }
    }
  }

  wire::HostAnnouncement Announcement(
      std::vector<BackendAnnouncement> backends) const {
    const auto snapshot = m_driver.snapshot();
    HostAnnouncement announcement;
    announcement.host = m_settings.host;
    announcement.domain = m_settings.domain;
    const Endpoint own{m_settings.rpc.ip, m_rpc_port};
    announcement.address = m_settings.advertised.value_or(own).ToString();
    announcement.stamp = snapshot.stamp;
    announcement.capacity = snapshot.capacity;
    announcement.committed = snapshot.committed;
    announcement.backends = std::move(backends);
    announcement.draining = m_stopping;
    announcement.config_serial = m_sync.configuration().serial();
    return ToWire(announcement);
  }

  void RegisterLocalRoutes() {
    auto& server = m_local.server();
    server.Post("/v1/announce", [this](const auto& in, auto& out) {
      HandleAnnouncement(in, out, true);
    });
    server.Post("/v1/withdraw", [this](const auto& in, auto& out) {
      HandleAnnouncement(in, out, false);
    });
    server.Get("/healthz", [](const auto&, auto& out) {
      out.set_content("ok", "text/plain");
    });
    server.Get("/readyz", [this](const auto&, auto& out) {
      const bool ready =
          m_driver.snapshot().ready && m_reached_entry && !m_stopping;
      out.status = ready ? 200 : 503;
      out.set_content(ready ? "ready" : "not ready", "text/plain");
    });
    server.Get("/metrics", [this](const auto&, auto& out) {
      out.set_content(FormatMetrics(), "text/plain; version=0.0.4");
    });
  }

  void HandleAnnouncement(const httplib::Request& request,
                          httplib::Response& response,
                          bool present) {
    const auto body = nlohmann::json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
      RespondWithError(
          Error{ErrorCode::kInvalidArgument, "expected an object", ""},
          response);
      return;
    }
    const auto backend = ParseName(body, "backend");
    const auto service = ParseName(body, "service");
    for (const auto* name : {&backend, &service}) {
      if (!*name) {
        RespondWithError(name->error(), response);
        return;
      }
    }
    if (!present) {
      m_pool.Withdraw(BackendId(*backend));
      return;
    }
    const auto address = body.find("address");
    if (address == body.end() || !address->is_string()) {
      RespondWithError(
          Error{ErrorCode::kInvalidArgument, "expected ip:port", "address"},
          response);
      return;
    }
    const auto announced = m_pool.Announce(
        BackendId(*backend), ServiceId(*service), address->get<std::string>());
    if (!announced) {
      RespondWithError(announced.error(), response);
    }
  }

  std::string FormatMetrics() {
    const auto counts = m_pool.counts();
    const auto snapshot = m_driver.snapshot();
    prometheus::Registry registry;
    auto& requests = prometheus::BuildGauge()
                         .Name("zinniacart_agent_requests_total")
                         .Help("Requests by outcome since the start")
                         .Register(registry);
    requests.Add({{"outcome", "answered"}})
        .Set(static_cast<double>(counts.answered));
    requests.Add({{"outcome", "not-run"}})
        .Set(static_cast<double>(counts.not_run));
    requests.Add({{"outcome", "unknown"}})
        .Set(static_cast<double>(counts.unknown));
    auto& committed = prometheus::BuildGauge()
                          .Name("zinniacart_agent_committed")
                          .Help("Resources promised on this host")
                          .Register(registry);
    committed.Add({{"resource", "millicores"}})
        .Set(static_cast<double>(snapshot.committed.millicores));
    committed.Add({{"resource", "memory_mb"}})
        .Set(static_cast<double>(snapshot.committed.memory_mb));
    committed.Add({{"resource", "accelerators"}})
        .Set(static_cast<double>(snapshot.committed.accelerators));
    prometheus::BuildGauge()
        .Name("zinniacart_agent_config_serial")
        .Help("The configuration in force")
        .Register(registry)
        .Add({})
        .Set(static_cast<double>(m_sync_serial.load()));
    return prometheus::TextSerializer().Serialize(registry.Collect());
  }

  const AgentSettings m_settings;
  const Incarnation m_incarnation;
  SteadyClock m_clock;
  asio::thread_pool m_backend_threads{kBackendThreads};
  asio::thread_pool m_worker_threads{kWorkerThreads};
  asio::io_context m_io;
  asio::steady_timer m_tick_timer{m_io};
  asio::steady_timer m_worker_poll_timer{m_io};
  asio::steady_timer m_interference_timer{m_io};
  HttpWorker m_worker;
  BackendPool m_pool;
  SupervisorDriver m_driver;
  AgentService m_service;
  EntrySync m_sync;
  InterferenceControl m_interference;
  HttpServer m_local;
  std::unique_ptr<grpc::Server> m_server;
  int m_rpc_port = 0;
  std::mutex m_worker_poll_mutex;
  std::atomic<bool> m_running{false};
  std::atomic<bool> m_stopping{false};
  std::atomic<bool> m_reached_entry{false};
  std::atomic<std::uint64_t> m_sync_serial{0};
  std::thread m_sync_thread;
  std::thread m_timer_thread;
};

AgentDaemon::AgentDaemon(AgentSettings settings)
    : m_runtime(std::make_unique<Runtime>(std::move(settings))) {}

AgentDaemon::~AgentDaemon() = default;

Result<void> AgentDaemon::Start() {
  return m_runtime->Start();
}

void AgentDaemon::Stop() {
  m_runtime->Stop();
}

int AgentDaemon::rpc_port() const {
  return m_runtime->rpc_port();
}

int AgentDaemon::local_port() const {
  return m_runtime->local_port();
}

}  // namespace zinniacart
