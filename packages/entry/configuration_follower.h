#pragma once

#include <atomic>
#include <thread>

#include "base/clock.h"
#include "entry/entry_state.h"
#include "ports/store.h"

namespace zinniacart {

/// Follows the configuration's key with a waiting watch and puts each newer
/// configuration in force here. An older one is never taken.
class ConfigurationFollower final {
 public:
  ConfigurationFollower(EntryState& state, Store& store, const Clock& clock);
  ~ConfigurationFollower();

  void Start();
  void Stop();

  /// Reads the configuration now if it has changed.
  /// @returns whether the newest one is in force here.
  bool Refresh();

 private:
  void Run();
  bool Take(const Result<StoreValue>& value);

  EntryState& m_state;
  Store& m_store;
  const Clock& m_clock;
  std::atomic<std::uint64_t> m_version{0};
  std::atomic<bool> m_running{false};
  std::thread m_thread;
};

/// Puts `configuration` in force in `state` if it is newer.
void PutInForce(EntryState& state,
                const Configuration& configuration,
                Instant now);

}  // namespace zinniacart
