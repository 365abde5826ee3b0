#pragma once

#include <map>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>

#include "base/clock.h"
#include "base/ids.h"
#include "base/resources.h"

namespace zinniacart::simulation {

/// A promise of the brief was broken.
class Violation final : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// Sees what really happens on the workers, in true time, and throws
/// `Violation` when a promise is broken.
class Oracle final {
 public:
  /// No task starts in a domain that has been out for longer than this.
  static constexpr Duration kDomainOutBound{3'000};

  void OnStarted(const TaskId& task,
                 Generation generation,
                 const HostId& host,
                 const DomainId& domain,
                 const std::string& resume_from,
                 const Resources& host_use,
                 const Resources& host_capacity,
                 Instant now);
  void OnEnded(const TaskId& task, Generation generation, const HostId& host);
  void OnCheckpoint(const TaskId& task, const std::string& checkpoint);
  void OnFinished(const TaskId& task);
  void OnDomain(const DomainId& domain, bool available, Instant now);

  /// @returns how often the task's work was finished.
  int Finished(const TaskId& task) const;
  std::uint64_t starts() const { return m_started.size(); }

 private:
  std::map<TaskId, std::pair<Generation, HostId>> m_running;
  std::set<std::pair<TaskId, Generation>> m_started;
  std::map<TaskId, std::set<std::string>> m_checkpoints;
  std::map<TaskId, int> m_finished;
  std::map<DomainId, Instant> m_out_since;
};

}  // namespace zinniacart::simulation
