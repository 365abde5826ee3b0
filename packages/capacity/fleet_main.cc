// Many hosts in one process, each with the real task supervisor over a table
// instead of a worker, so that one real entry can be measured against them.
#include <grpcpp/grpcpp.h>
#include <signal.h>

#include <CLI/CLI.hpp>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "placement/task_supervisor.h"
#include "placement/wire_conversion.h"
#include "rpc/channel_pool.h"
#include "rpc/server_builder.h"
#include "zinniacart.grpc.pb.h"

namespace zinniacart {
namespace {

constexpr Resources kHostCapacity{16'000, 60'000, 2};
constexpr std::chrono::milliseconds kCallTimeout{2'000};
constexpr int kSyncThreads = 4;

/// One host: the real supervisor, and a table that runs its tasks.
class FleetHost final {
 public:
  FleetHost(int number, int domains, const Clock& clock, PlacementTimes times)
      : m_host("host-" + std::to_string(number)),
        m_domain("domain-" + std::to_string(number % domains)),
        m_clock(clock),
        m_supervisor(m_domain, m_host, Incarnation(1), times) {
    m_supervisor.Rebuild(kHostCapacity, {}, m_clock.Now());
  }

  const HostId& host() const { return m_host; }

  wire::AgentBatch Handle(const wire::OwnerBatch& batch) {
    const std::lock_guard lock(m_mutex);
    for (const auto& in : batch.messages()) {
      if (const auto message = FromWire(in)) {
        m_supervisor.Handle(EntryId(batch.entry()), *message, m_clock.Now());
      }
    }
    CarryOut();
    wire::AgentBatch answers;
    for (auto& message : TakeMessages(EntryId(batch.entry()))) {
      *answers.add_messages() = std::move(message);
    }
    return answers;
  }

  wire::SyncRequest MakeSync(const std::string& address, const EntryId& entry) {
    const std::lock_guard lock(m_mutex);
    m_supervisor.SetEntries({entry});
    EndTasks();
    m_supervisor.Tick(m_clock.Now());
    CarryOut();
    HostAnnouncement announcement;
    announcement.host = m_host;
    announcement.domain = m_domain;
    announcement.address = address;
    announcement.stamp = m_supervisor.MakeStamp(m_clock.Now());
    announcement.capacity = m_supervisor.ledger().capacity();
    announcement.committed = m_supervisor.ledger().committed();
    announcement.backends.push_back(BackendAnnouncement{
        BackendId(m_host.value() + "-b"), ServiceId("echo")});
    announcement.config_serial = ConfigSerial(m_serial);
    wire::SyncRequest request;
    request.set_host(m_host.value());
    request.set_config_serial(m_serial);
    *request.mutable_announcement() = ToWire(announcement);
    for (auto& message : TakeMessages(entry)) {
      *request.add_messages() = std::move(message);
    }
    return request;
  }

  void Take(const EntryId& entry, const wire::SyncReply& reply) {
    const std::lock_guard lock(m_mutex);
    m_serial += static_cast<std::uint64_t>(reply.config_changes_size());
    for (const auto& in : reply.messages()) {
      if (const auto message = FromWire(in)) {
        m_supervisor.Handle(entry, *message, m_clock.Now());
      }
    }
    CarryOut();
  }

  std::uint64_t starts() const { return m_starts; }

 private:
  struct Running {
    WorkerTaskStatus status;
    Instant ends;
  };

  std::vector<wire::AgentMessage> TakeMessages(const EntryId& entry) {
    return std::exchange(m_outbox[entry], {});
  }

  void EndTasks() {
    std::vector<WorkerTaskStatus> rows;
    for (auto& [id, task] : m_running) {
      const bool ended =
          task.status.task.run_time.count() > 0 && m_clock.Now() >= task.ends;
      task.status.state =
          ended ? WorkerTaskState::kFinished : WorkerTaskState::kRunning;
      rows.push_back(task.status);
    }
    m_supervisor.OnWorkerList(rows, m_clock.Now(), m_clock.Now());
  }

  void CarryOut() {
    for (const auto& effect : m_supervisor.TakeEffects()) {
      std::visit(Visitor{[&](const TaskSupervisor::Send& send) {
                           m_outbox[send.entry].push_back(ToWire(send.message));
                         },
                         [&](const TaskSupervisor::StartOnWorker& start) {
                           ++m_starts;
                           Running running;
                           running.status.task = start.task;
                           running.ends = m_clock.Now() + start.task.run_time;
                           m_running[start.task.task] = running;
                           m_supervisor.OnWorkerStarted(start.task.task,
                                                        start.task.generation,
                                                        {}, m_clock.Now());
                         },
                         [&](const TaskSupervisor::ForgetOnWorker& forget) {
                           m_running.erase(forget.task);
                         },
                         [&](const TaskSupervisor::StopOnWorker& stop) {
                           m_running.erase(stop.task);
                           m_supervisor.OnWorkerStopped(
                               stop.task, stop.generation, CheckpointId("1"),
                               m_clock.Now());
                         },
                         [](const TaskSupervisor::RenewOnWorker&) {}},
                 effect);
    }
    if (!m_supervisor.TakeEffects().empty()) {
      CarryOut();
    }
  }

  const HostId m_host;
  const DomainId m_domain;
  const Clock& m_clock;
  std::mutex m_mutex;
  TaskSupervisor m_supervisor;
  std::map<EntryId, std::vector<wire::AgentMessage>> m_outbox;
  std::map<TaskId, Running> m_running;
  std::uint64_t m_serial = 0;
  std::atomic<std::uint64_t> m_starts{0};
};

/// Answers placement batches for all hosts at one address.
class FleetService final : public wire::Agent::Service {
 public:
  void Add(FleetHost* host) { m_hosts[host->host().value()] = host; }

  grpc::Status Place(grpc::ServerContext*,
                     const wire::OwnerBatch* batch,
                     wire::AgentBatch* answers) override {
    const auto found = m_hosts.find(batch->host());
    if (found != m_hosts.end()) {
      *answers = found->second->Handle(*batch);
    }
    return grpc::Status::OK;
  }

 private:
  std::map<std::string, FleetHost*> m_hosts;
};

/// Synchronizes its share of the hosts, spread evenly over the interval.
void RunSyncs(std::vector<FleetHost*> hosts,
              const std::string& entry_address,
              const std::string& own_address,
              std::chrono::milliseconds interval,
              const std::atomic<bool>& running) {
  ChannelPool channels;
  const EntryId entry("entry-0");
  auto next = std::chrono::steady_clock::now();
  while (running) {
    for (FleetHost* host : hosts) {
      next += interval / static_cast<int>(hosts.size());
      std::this_thread::sleep_until(next);
      const auto stub = wire::Entry::NewStub(channels.Get(entry_address));
      grpc::ClientContext context;
      context.set_deadline(std::chrono::system_clock::now() + kCallTimeout);
      wire::SyncReply reply;
      const auto request = host->MakeSync(own_address, entry);
      if (stub->Sync(&context, request, &reply).ok()) {
        host->Take(entry, reply);
      }
    }
  }
}

}  // namespace
}  // namespace zinniacart

int main(int argc, char** argv) {
  using namespace zinniacart;
  CLI::App app{"Many hosts in one process, to measure one entry against"};
  int count = 50;
  int domains = 6;
  int sync_ms = 1'000;
  std::string entry;
  app.add_option("--hosts", count, "How many hosts");
  app.add_option("--domains", domains, "Over how many failure domains");
  app.add_option("--sync-ms", sync_ms, "Interval of each host's announcement");
  app.add_option("--entry", entry, "The entry's rpc ip:port")->required();
  CLI11_PARSE(app, argc, argv);
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  const SteadyClock clock;
  PlacementTimes times;
  times.heartbeat = Duration(sync_ms / 2);
  std::vector<std::unique_ptr<FleetHost>> hosts;
  FleetService service;
  std::vector<std::vector<FleetHost*>> shares(kSyncThreads);
  for (int number = 0; number < count; ++number) {
    hosts.push_back(std::make_unique<FleetHost>(number, domains, clock, times));
    service.Add(hosts.back().get());
    shares[number % kSyncThreads].push_back(hosts.back().get());
  }
  auto server = ServeRpc(service, "127.0.0.1", 0);
  std::atomic<bool> running{true};
  std::vector<std::thread> threads;
  for (const auto& share : shares) {
    threads.emplace_back([&, share] {
      RunSyncs(share, entry, "127.0.0.1:" + std::to_string(server.port),
               std::chrono::milliseconds(sync_ms), running);
    });
  }
  std::printf("ready port=%d\n", server.port);
  std::fflush(stdout);
  int signal_number = 0;
  sigwait(&signals, &signal_number);
  running = false;
  for (auto& thread : threads) {
    thread.join();
  }
  server.server->Shutdown();
  return 0;
}
