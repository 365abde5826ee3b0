#pragma once

#include <memory>

#include "base/error.h"
#include "entry/entry_settings.h"

namespace zinniacart {

/// One entry: an instance of the scheduler's front end. It routes callers'
/// requests to backend servers, serves operators, owns shards of the jobs and
/// places their tasks on hosts. Owns every component and thread of the process;
/// `main` starts it, waits for a stop signal and stops it.
class EntryDaemon final {
 public:
  explicit EntryDaemon(EntrySettings settings);
  ~EntryDaemon();

  /// Binds the three listeners and starts the background threads. A port of 0
  /// in the settings lets the system choose one.
  /// @returns `kInvalidArgument` with the address that cannot be bound and the
  /// name of its setting.
  Result<void> Start();

  /// Performs a planned stop: reports not ready, so that the load balancer
  /// sends no more requests, lets the requests in flight finish, and releases
  /// the shards to the other entries. Blocks for at least
  /// `EntrySettings::drain_time`.
  void Stop();

  /// @returns the ports that were bound, which `main` prints in its "ready"
  /// line.
  int caller_port() const;
  int operator_port() const;
  int rpc_port() const;

 private:
  class Runtime;
  std::unique_ptr<Runtime> m_runtime;
};

}  // namespace zinniacart
