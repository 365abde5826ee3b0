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

/// Maintains this entry's session at the store: a lease, and a row in the
/// directory of entries that the store deletes when the lease expires. Also
/// lists the directory, so that `EntryState` knows the other live entries.
///
/// Each session has its own incarnation and its own `ShardOwner`. When the
/// store reports that the lease has expired, the shard owner is destroyed, and
/// the next round tries to has_session a new session. A failed call to the
/// store is repeated in the next round.
class SessionKeeper final {
 public:
  /// @param rpc_address "ip:port" that the directory gives to other entries.
  /// @param times       `session_ttl` and `session_renewal` apply to the
  ///                    session; the shard owner gets all of them.
  SessionKeeper(EntryState& state,
                Store& store,
                const Clock& clock,
                const EntrySettings& settings,
                std::string rpc_address,
                PlacementTimes times);
  ~SessionKeeper();

  /// Starts the thread that opens and renews the session.
  void Start();
  /// Joins the thread and deletes this entry's row from the directory.
  void Stop();

 private:
  void Run();
  /// Opens a lease, writes the directory row and creates the shard owner.
  /// @returns whether there is a session.
  bool OpenSession();
  /// @returns whether the renewal succeeded.
  bool RenewSession();
  /// Reads the directory into the state and passes it to the shard owner.
  void ListEntries();
  /// Destroys the shard owner after the session's lease has expired.
  void HandleSessionLoss();

  EntryState& m_state;
  Store& m_store;
  const Clock& m_clock;
  const EntrySettings& m_settings;
  const std::string m_rpc_address;
  const PlacementTimes m_times;
  LeaseId m_lease;  ///< Empty without a session.
  StoreKey m_entry_key;
  StoreVersion m_entry_version;  ///< 0 without a session.
  std::atomic<bool> m_running{false};
  std::thread m_thread;
};

}  // namespace zinniacart
