#pragma once

#include <memory>

#include "agent/agent_settings.h"
#include "base/error.h"

namespace zinniacart {

/// The whole agent process: backend pool, task supervisor, and their faces.
/// `Start` it, wait for a stop signal, then `Stop` it.
class AgentDaemon final {
 public:
  explicit AgentDaemon(AgentSettings settings);
  ~AgentDaemon();

  /// Binds and starts. @returns `kInvalidArgument` naming the address that
  /// cannot be bound.
  Result<void> Start();

  /// A planned stop: takes no new work, lets what is in flight finish.
  void Stop();

  /// @returns the ports bound, for the ready line.
  int rpc_port() const;
  int local_port() const;

 private:
  class Runtime;
  std::unique_ptr<Runtime> m_runtime;
};

}  // namespace zinniacart
