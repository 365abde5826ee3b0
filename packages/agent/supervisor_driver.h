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

/// Runs the task supervisor: carries out its effects on the worker and
/// gathers its messages for the entries. Thread-safe.
class SupervisorDriver final {
 public:
  /// Runs a blocking job on some thread.
  using RunBlocking = std::function<void(std::function<void()>)>;

  /// @param worker must outlive the driver.
  SupervisorDriver(HostId host,
                   const Clock& clock,
                   Worker& worker,
                   TaskSupervisor supervisor,
                   RunBlocking run_blocking);

  /// Attaches to the worker and rebuilds the ledger from its list.
  /// @returns the worker's error; try again.
  Result<void> Attach(Incarnation incarnation);

  /// Handles a batch of an owner and returns the answers that are ready.
  wire::AgentBatch Handle(const wire::OwnerBatch& batch);

  /// Takes the answers of an entry to a `Sync`.
  void HandleFrom(const EntryId& entry, const wire::SyncReply& reply);

  /// Takes the entries there are and the configuration's view of the host.
  void SetEntries(std::vector<EntryId> entries);
  void SetConfiguration(const Configuration& configuration,
                        const DomainId& domain,
                        const HostId& host);

  /// Lets time pass; call every 100 ms.
  void Tick();
  /// Asks the worker for its list; blocks. Call every second.
  void PollWorker();

  /// @returns the messages waiting for entries, and forgets them.
  std::map<EntryId, std::vector<wire::AgentMessage>> TakeMessages();
  bool HasMessages() const;

  /// @returns the ledger's sums and a stamp for now.
  struct Snapshot {
    bool ready = false;
    Resources capacity;
    Resources committed;
    Stamp stamp;
    std::size_t running_batch = 0;
  };
  Snapshot snapshot() const;

  /// Runs `action` on the supervisor under the lock.
  void WithSupervisor(
      const std::function<void(TaskSupervisor&, Instant)>& action);

 private:
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
