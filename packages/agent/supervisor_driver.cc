#include "agent/supervisor_driver.h"

#include <utility>

#include "base/logging.h"
#include "placement/wire_conversion.h"

#include <nlohmann/json.hpp>

namespace zinniacart {
namespace {

/// Limits the memory used for an entry that cannot be reached. Further
/// messages for it are dropped; heartbeats repeat the state of the tasks.
constexpr std::size_t kMaxQueuedMessagesPerEntry = 4'096;

}  // namespace

SupervisorDriver::SupervisorDriver(HostId host,
                                   const Clock& clock,
                                   Worker& worker,
                                   TaskSupervisor supervisor,
                                   RunBlocking run_blocking)
    : m_host(std::move(host)),
      m_clock(clock),
      m_worker(worker),
      m_run_blocking(std::move(run_blocking)),
      m_supervisor(std::move(supervisor)) {}

Result<void> SupervisorDriver::Attach(Incarnation incarnation) {
  auto attached = m_worker.Attach(incarnation);
  if (!attached) {
    return attached;
  }
  const auto capacity = m_worker.Capacity();
  if (!capacity) {
    return tl::unexpected(capacity.error());
  }
  const auto tasks = m_worker.List();
  if (!tasks) {
    return tl::unexpected(tasks.error());
  }
  const std::lock_guard lock(m_mutex);
  m_supervisor.Rebuild(*capacity, *tasks, m_clock.Now());
  return {};
}

wire::AgentBatch SupervisorDriver::Handle(const wire::OwnerBatch& batch) {
  const EntryId from(batch.entry());
  wire::AgentBatch replies;
  if (batch.host() != m_host.value()) {
    LogWarning("placement.wrong-host", {{"meant", batch.host()}});
    return replies;
  }
  std::vector<TaskSupervisor::Effect> effects;
  {
    const std::lock_guard lock(m_mutex);
    for (const auto& in : batch.messages()) {
      if (const auto message = FromWire(in)) {
        m_supervisor.Handle(from, *message, m_clock.Now());
      }
    }
    effects = m_supervisor.TakeEffects();
  }
  CarryOut(std::move(effects));
  const std::lock_guard lock(m_mutex);
  const auto queued = m_outbox.find(from);
  if (queued != m_outbox.end()) {
    for (auto& message : queued->second) {
      *replies.add_messages() = std::move(message);
    }
    m_outbox.erase(queued);
  }
  return replies;
}

void SupervisorDriver::HandleReply(const EntryId& entry,
                                   const wire::SyncReply& reply) {
  std::vector<TaskSupervisor::Effect> effects;
  {
    const std::lock_guard lock(m_mutex);
    for (const auto& in : reply.messages()) {
      if (const auto message = FromWire(in)) {
        m_supervisor.Handle(entry, *message, m_clock.Now());
      }
    }
    effects = m_supervisor.TakeEffects();
  }
  CarryOut(std::move(effects));
}

void SupervisorDriver::SetEntries(std::vector<EntryId> entries) {
  const std::lock_guard lock(m_mutex);
  m_supervisor.SetEntries(std::move(entries));
}

void SupervisorDriver::SetConfiguration(const Configuration& configuration,
                                        const DomainId& domain,
                                        const HostId& host) {
  const std::lock_guard lock(m_mutex);
  m_supervisor.SetWorkAllowed(configuration.AllowsWork(domain, host),
                              configuration.serial());
}

void SupervisorDriver::Tick() {
  std::vector<TaskSupervisor::Effect> effects;
  {
    const std::lock_guard lock(m_mutex);
    if (!m_supervisor.ready()) {
      return;
    }
    m_supervisor.Tick(m_clock.Now());
    effects = m_supervisor.TakeEffects();
  }
  CarryOut(std::move(effects));
}

void SupervisorDriver::PollWorker() {
  const Instant asked_at = m_clock.Now();
  const auto tasks = m_worker.List();
  if (!tasks) {
    LogWarning("worker.list.failed", {{"error", ToString(tasks.error().code)}});
    return;
  }
  std::vector<TaskSupervisor::Effect> effects;
  {
    const std::lock_guard lock(m_mutex);
    m_supervisor.OnWorkerList(*tasks, asked_at, m_clock.Now());
    effects = m_supervisor.TakeEffects();
  }
  CarryOut(std::move(effects));
}

std::map<EntryId, std::vector<wire::AgentMessage>>
SupervisorDriver::TakeMessages() {
  const std::lock_guard lock(m_mutex);
  return std::exchange(m_outbox, {});
}

bool SupervisorDriver::HasMessages() const {
  const std::lock_guard lock(m_mutex);
  return !m_outbox.empty();
}

SupervisorDriver::Snapshot SupervisorDriver::snapshot() const {
  const std::lock_guard lock(m_mutex);
  return Snapshot{m_supervisor.ready(), m_supervisor.ledger().capacity(),
                  m_supervisor.ledger().committed(),
                  m_supervisor.MakeStamp(m_clock.Now()),
                  m_supervisor.RunningBatchTasks().size()};
}

void SupervisorDriver::WithSupervisor(
    const std::function<void(TaskSupervisor&, Instant)>& action) {
  std::vector<TaskSupervisor::Effect> effects;
  {
    const std::lock_guard lock(m_mutex);
    action(m_supervisor, m_clock.Now());
    effects = m_supervisor.TakeEffects();
  }
  CarryOut(std::move(effects));
}

void SupervisorDriver::CarryOut(std::vector<TaskSupervisor::Effect> effects) {
  for (auto& effect : effects) {
    std::visit(
        Visitor{
            [this](const TaskSupervisor::Send& send) {
              const std::lock_guard lock(m_mutex);
              auto& outgoing = m_outbox[send.entry];
              if (outgoing.size() < kMaxQueuedMessagesPerEntry) {
                outgoing.push_back(ToWire(send.message));
              }
            },
            [this](const TaskSupervisor::StartOnWorker& start) {
              m_run_blocking([this, start] {
                const auto result = m_worker.Start(start.task, start.not_after,
                                                   start.lease_until);
                WithSupervisor([&](TaskSupervisor& supervisor, Instant now) {
                  supervisor.OnWorkerStarted(
                      start.task.task, start.task.generation, result, now);
                });
                LogInfo("task.start",
                        {{"task", start.task.task.value()},
                         {"generation", start.task.generation.value()},
                         {"ok", result.has_value()}});
              });
            },
            [this](const TaskSupervisor::RenewOnWorker& renew) {
              m_run_blocking([this, renew] {
                m_worker.Renew(renew.task, renew.generation, renew.lease_until);
              });
            },
            [this](const TaskSupervisor::StopOnWorker& stop) {
              m_run_blocking([this, stop] {
                const auto result = m_worker.Stop(stop.task, stop.generation);
                WithSupervisor([&](TaskSupervisor& supervisor, Instant now) {
                  supervisor.OnWorkerStopped(stop.task, stop.generation, result,
                                             now);
                });
                LogInfo("task.stop", {{"task", stop.task.value()},
                                      {"generation", stop.generation.value()},
                                      {"ok", result.has_value()}});
              });
            },
            [this](const TaskSupervisor::ForgetOnWorker& forget) {
              m_run_blocking([this, forget] {
                m_worker.Forget(forget.task, forget.generation);
              });
            }},
        effect);
  }
}

}  // namespace zinniacart
