#include "entry/entry_daemon.h"

#include <grpcpp/grpcpp.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <asio.hpp>
#include <atomic>
#include <chrono>
#include <nlohmann/json.hpp>
#include <thread>

#include "base/logging.h"
#include "entry/caller_frontend.h"
#include "entry/configuration_follower.h"
#include "entry/entry_service.h"
#include "entry/idempotency_keys.h"
#include "entry/job_desk.h"
#include "entry/operator_frontend.h"
#include "entry/peer_exchange.h"
#include "entry/placement_driver.h"
#include "entry/request_dispatcher.h"
#include "entry/session_keeper.h"
#include "ports/http_store.h"
#include "rpc/server_builder.h"

namespace zinniacart {
namespace {

/// Limit of each call to the store.
constexpr Duration kStoreTimeout{1'000};
/// Interval of `PlacementDriver::Tick`.
constexpr std::chrono::milliseconds kPlacementTickInterval{20};
/// Pause between two rounds of the host exchange with the other entries.
constexpr std::chrono::milliseconds kExchangeInterval{250};
/// Limit for the release of all shards at a planned stop.
constexpr Duration kHandOverTimeout{3'000};
/// Interval of the checks whether all shards are released.
constexpr std::chrono::milliseconds kHandOverPollInterval{20};

void AddGauge(prometheus::Registry& registry,
              const char* name,
              const char* help,
              double value) {
  prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({}).Set(
      value);
}

}  // namespace

class EntryDaemon::Runtime final {
 public:
  explicit Runtime(EntrySettings settings)
      : m_settings(std::move(settings)),
        m_instance(DrawRunNumber()),
        m_state(m_settings.domain, m_instance),
        m_store(m_settings.store, kStoreTimeout),
        m_follower(m_state, m_store, m_clock),
        m_placement(m_state,
                    m_store,
                    m_clock,
                    m_follower,
                    m_agents,
                    m_settings.entry),
        m_jobs(m_state, m_clock, m_placement, m_entries, m_settings.entry),
        m_service(m_state, m_clock, m_placement, m_jobs),
        m_exchange(m_state, m_clock, m_entries, m_settings.entry),
        m_dispatcher(m_state, m_clock, m_agents, m_settings.entry, m_instance),
        m_keys(m_store, m_clock, m_dispatcher),
        m_callers(m_clock, m_dispatcher, m_keys, m_settings.caller_threads),
        m_operators(m_state, m_store, m_clock, m_jobs, [this] {
          return Metrics();
        }) {}

  ~Runtime() { Stop(); }

  Result<void> Start() {
    auto rpc = ServeRpc(m_service, m_settings.rpc.ip, m_settings.rpc.port);
    if (!rpc.server) {
      return CannotBind(m_settings.rpc, "rpc");
    }
    m_server = std::move(rpc.server);
    m_rpc_port = rpc.port;
    if (!m_operators.Start(m_settings.operators)) {
      return CannotBind(m_settings.operators, "operators");
    }
    if (!m_callers.Start(m_settings.callers)) {
      return CannotBind(m_settings.callers, "callers");
    }
    const Endpoint own{m_settings.rpc.ip, m_rpc_port};
    m_session =
        std::make_unique<SessionKeeper>(m_state, m_store, m_clock, m_settings,
                                        own.ToString(), PlacementTimes());
    m_running = true;
    m_session->Start();
    m_follower.Start();
    ScheduleTick();
    m_timer_thread = std::thread([this] { m_io.run(); });
    m_exchange_thread = std::thread([this] { RunExchange(); });
    return {};
  }

  void Stop() {
    if (!m_running) {
      return;
    }
    LogInfo("entry.stopping", {{"entry", m_settings.entry.value()}});
    m_operators.BeginDrain();
    m_callers.BeginDrain();
    std::this_thread::sleep_for(m_settings.drain_time);
    m_callers.Stop();
    HandOver();
    m_running = false;
    m_session->Stop();
    m_server->Shutdown();
    m_io.stop();
    m_timer_thread.join();
    m_exchange_thread.join();
    m_placement.Stop();
    m_follower.Stop();
    m_operators.Stop();
  }

  int caller_port() const { return m_callers.port(); }
  int operator_port() const { return m_operators.port(); }
  int rpc_port() const { return m_rpc_port; }

 private:
  static Result<void> CannotBind(const Endpoint& endpoint, const char* field) {
    return Fail(ErrorCode::kInvalidArgument,
                "cannot bind " + endpoint.ToString(), field);
  }

  void ScheduleTick() {
    m_timer.expires_after(kPlacementTickInterval);
    m_timer.async_wait([this](const asio::error_code& error) {
      if (!error) {
        m_placement.Tick();
        ScheduleTick();
      }
    });
  }

  void RunExchange() {
    while (m_running) {
      m_exchange.Run();
      std::this_thread::sleep_for(kExchangeInterval);
    }
  }

  /// Releases all shards, so that other entries can claim them before this
  /// entry's session expires. Returns after `kHandOverTimeout` at the latest,
  /// even if some are not released.
  void HandOver() {
    const Instant deadline = m_clock.Now() + kHandOverTimeout;
    {
      const std::lock_guard lock(m_state.mutex);
      if (m_state.owner) {
        m_state.owner->BeginLeave(m_clock.Now());
      }
    }
    while (m_clock.Now() < deadline) {
      {
        const std::lock_guard lock(m_state.mutex);
        if (!m_state.owner || m_state.owner->HasLeft()) {
          return;
        }
      }
      std::this_thread::sleep_for(kHandOverPollInterval);
    }
  }

  /// @returns the metrics in the Prometheus text format.
  std::string Metrics() {
    prometheus::Registry registry;
    auto& requests = prometheus::BuildGauge()
                         .Name("zinniacart_entry_requests_total")
                         .Help("Callers' requests by outcome since the start")
                         .Register(registry);
    const auto& counts = m_callers.counts();
    requests.Add({{"outcome", "answered"}})
        .Set(static_cast<double>(counts.answered));
    requests.Add({{"outcome", "not-run"}})
        .Set(static_cast<double>(counts.not_run));
    requests.Add({{"outcome", "unknown"}})
        .Set(static_cast<double>(counts.unknown));
    AddGauge(registry, "zinniacart_entry_requests_in_flight",
             "Callers' requests in flight",
             static_cast<double>(counts.in_flight));
    const std::lock_guard lock(m_state.mutex);
    AddGauge(registry, "zinniacart_entry_hosts", "Hosts known",
             static_cast<double>(m_state.hosts.size()));
    AddGauge(registry, "zinniacart_entry_config_serial",
             "The configuration in force",
             static_cast<double>(m_state.configuration->serial().value()));
    if (m_state.owner) {
      AddGauge(registry, "zinniacart_entry_owned_shards", "Shards owned",
               static_cast<double>(m_state.owner->OwnedShards().size()));
      AddGauge(registry, "zinniacart_entry_store_confirmed",
               "1 while the session at the store is confirmed",
               m_state.owner->IsConfirmed(m_clock.Now()) ? 1.0 : 0.0);
    }
    return prometheus::TextSerializer().Serialize(registry.Collect());
  }

  const EntrySettings m_settings;
  const Incarnation m_instance;
  SteadyClock m_clock;
  EntryState m_state;
  HttpStore m_store;
  ChannelPool m_agents;
  ChannelPool m_entries;
  ConfigurationFollower m_follower;
  PlacementDriver m_placement;
  JobDesk m_jobs;
  EntryService m_service;
  PeerExchange m_exchange;
  RequestDispatcher m_dispatcher;
  IdempotencyKeys m_keys;
  CallerFrontend m_callers;
  OperatorFrontend m_operators;
  std::unique_ptr<SessionKeeper> m_session;
  std::unique_ptr<grpc::Server> m_server;
  int m_rpc_port = 0;
  std::atomic<bool> m_running{false};
  asio::io_context m_io;
  asio::steady_timer m_timer{m_io};
  std::thread m_timer_thread;
  std::thread m_exchange_thread;
};

EntryDaemon::EntryDaemon(EntrySettings settings)
    : m_runtime(std::make_unique<Runtime>(std::move(settings))) {}

EntryDaemon::~EntryDaemon() = default;

Result<void> EntryDaemon::Start() {
  return m_runtime->Start();
}

void EntryDaemon::Stop() {
  m_runtime->Stop();
}

int EntryDaemon::caller_port() const {
  return m_runtime->caller_port();
}

int EntryDaemon::operator_port() const {
  return m_runtime->operator_port();
}

int EntryDaemon::rpc_port() const {
  return m_runtime->rpc_port();
}

}  // namespace zinniacart
