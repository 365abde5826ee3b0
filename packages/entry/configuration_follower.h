#pragma once

#include <atomic>
#include <thread>

#include "base/clock.h"
#include "entry/entry_state.h"
#include "ports/store.h"

namespace zinniacart {

/// Watches the configuration's key at the store and puts each newer
/// configuration in force on this entry. A configuration with a lower serial
/// than the current one is ignored. `Refresh` may be called from any thread.
class ConfigurationFollower final {
 public:
  ConfigurationFollower(EntryState& state, Store& store, const Clock& clock);
  ~ConfigurationFollower();

  /// Starts the thread that watches the key.
  void Start();
  /// Joins the thread; blocks until the current watch returns, about 5 s at
  /// most.
  void Stop();

  /// Reads the configuration immediately and applies it if it has changed.
  /// @returns whether the newest configuration is in force on this entry; false
  /// where the store cannot be read or the value cannot be parsed.
  bool Refresh();

 private:
  void Run();
  /// Applies the result of a read.
  /// @returns whether the newest configuration is in force.
  bool Apply(const Result<StoreValue>& value);

  EntryState& m_state;
  Store& m_store;
  const Clock& m_clock;
  std::atomic<std::uint64_t> m_version{0};  ///< Of the key; 0: never read.
  std::atomic<bool> m_running{false};
  std::thread m_thread;
};

/// Replaces the configuration in `state` and passes it to the shard owner, if
/// the serial of `configuration` is higher than the current one.
void PutInForce(EntryState& state,
                const Configuration& configuration,
                Instant now);

}  // namespace zinniacart
