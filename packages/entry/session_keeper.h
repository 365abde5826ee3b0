#pragma once

#include <atomic>
#include <string>
#include <thread>

#include "base/clock.h"
#include "entry/entry_settings.h"
#include "entry/entry_state.h"
#include "placement/placement_times.h"
#include "ports/store.h"

namespace zinniacart {

/// Keeps this entry's session at the store: a lease, a row in the directory
/// of entries that vanishes with it, and the list of the others. A lapsed
/// session ends the shard owner; a new session gets a new incarnation.
class SessionKeeper final {
 public:
  SessionKeeper(EntryState& state,
                Store& store,
                const Clock& clock,
                const EntrySettings& settings,
                std::string rpc_address,
                PlacementTimes times);
  ~SessionKeeper();

  void Start();
  /// Stops and takes the row out of the directory.
  void Stop();

 private:
  void Run();
  bool Open();
  bool Renew();
  void ListEntries();
  void Lose();

  EntryState& m_state;
  Store& m_store;
  const Clock& m_clock;
  const EntrySettings& m_settings;
  const std::string m_rpc_address;
  const PlacementTimes m_times;
  LeaseId m_lease;
  StoreKey m_key;
  StoreVersion m_key_version;
  std::atomic<bool> m_running{false};
  std::thread m_thread;
};

}  // namespace zinniacart
