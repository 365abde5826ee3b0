#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "configuration/configuration.h"
#include "placement/task_supervisor.h"
#include "ports/worker.h"
#include "zinniacart.pb.h"

namespace zinniacart {

/// Connects the task supervisor, which does no I/O, to the worker and the
/// entries: passes it the messages of owners and the results of the worker,
/// calls the worker as its effects demand, and queues its messages until they
/// are sent to the entries. Thread-safe.
class SupervisorDriver final {
 public:
  /// Runs a blocking function on another thread and returns at once.
  using RunBlocking = std::function<void(std::function<void()>)>;

  /// @param worker must outlive the driver.
  SupervisorDriver(HostId host,
                   const Clock& clock,
                   Worker& worker,
                   TaskSupervisor supervisor,
                   RunBlocking run_blocking);

  /// Attaches to the worker and rebuilds the ledger of reserved resources from
  /// its task list; blocks. Until this succeeds, the supervisor refuses work.
  /// @param incarnation the only agent incarnation that the worker accepts from
  ///                    now on.
  /// @returns the worker's error; call again later.
  Result<void> Attach(Incarnation incarnation);

  /// Handles the messages of an owner. A batch for another host is ignored.
  /// @returns the messages queued for the sending entry so far; what depends on
  /// the worker follows with a later reply or sync.
  wire::AgentBatch Handle(const wire::OwnerBatch& batch);

  /// Handles the owner messages in an entry's reply to a `Sync` call.
  void HandleReply(const EntryId& entry, const wire::SyncReply& reply);

  /// Sets the entries that orphaned tasks are reported to.
  void SetEntries(std::vector<EntryId> entries);
  /// Applies whether the configuration allows work on this host.
  void SetConfiguration(const Configuration& configuration,
                        const DomainId& domain,
                        const HostId& host);

  /// Sends heartbeats, ends expired leases and drops expired reservations. Does
  /// nothing before `Attach` has succeeded. Call every 100 ms.
  void Tick();
  /// Passes the worker's task list to the supervisor; blocks. Call every
  /// second after `Attach` has succeeded.
  void PollWorker();

  /// Removes and returns the queued messages.
  std::map<EntryId, std::vector<wire::AgentMessage>> TakeMessages();
  bool HasMessages() const;

  /// The state of the supervisor at one moment.
  struct Snapshot {
    bool ready = false;  ///< Whether `Attach` has succeeded.
    Resources capacity;
    Resources committed;  ///< Reserved or in use, as the ledger holds it.
    Stamp stamp;          ///< Of the time of the call.
    std::size_t running_batch = 0;  ///< Running batch tasks.
  };
  Snapshot snapshot() const;

  /// Runs `action` on the supervisor under the lock, then carries out the
  /// effects. `action` must not call this object.
  void WithSupervisor(
      const std::function<void(TaskSupervisor&, Instant)>& action);

 private:
  /// Queues messages and passes calls of the worker to other threads.
  void CarryOut(std::vector<TaskSupervisor::Effect> effects);

  const HostId m_host;
  const Clock& m_clock;
  Worker& m_worker;
  const RunBlocking m_run_blocking;
  mutable std::mutex m_mutex;
  TaskSupervisor m_supervisor;
  std::map<EntryId, std::vector<wire::AgentMessage>> m_outbox;
};

}  // namespace zinniacart
