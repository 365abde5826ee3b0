#pragma once

#include <memory>

#include "agent/agent_settings.h"
#include "base/error.h"

namespace zinniacart {

/// The agent process: runs the backend pool and the task supervisor, serves
/// entries over gRPC and backend servers over local HTTP, announces the host
/// and controls interference. Call `Start`, wait for a stop signal, then call
/// `Stop`.
class AgentDaemon final {
 public:
  explicit AgentDaemon(AgentSettings settings);
  ~AgentDaemon();

  /// Binds the listening addresses and starts the threads.
  /// @returns `kInvalidArgument` with the address that cannot be bound.
  Result<void> Start();

  /// Performs a planned stop: announces that the host drains, refuses new
  /// requests after `AgentSettings::drain_time`, waits for those in flight and
  /// ends all threads. Blocks.
  void Stop();

  /// @returns the bound gRPC and HTTP ports, for the line that reports the
  /// process as ready.
  int rpc_port() const;
  int local_port() const;

 private:
  class Runtime;
  std::unique_ptr<Runtime> m_runtime;
};

}  // namespace zinniacart
