#pragma once

#include <memory>

#include "base/error.h"
#include "entry/entry_settings.h"

namespace zinniacart {

/// The whole entry process. `Start` it, wait for a stop signal, `Stop` it.
class EntryDaemon final {
 public:
  explicit EntryDaemon(EntrySettings settings);
  ~EntryDaemon();

  /// Binds and starts. @returns `kInvalidArgument` naming the address that
  /// cannot be bound.
  Result<void> Start();

  /// A planned stop: turns the balancer away, lets what is in flight finish,
  /// hands its shards over.
  void Stop();

  /// @returns the ports bound, for the ready line.
  int caller_port() const;
  int operator_port() const;
  int rpc_port() const;

 private:
  class Runtime;
  std::unique_ptr<Runtime> m_runtime;
};

}  // namespace zinniacart
