#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/error.h"
#include "base/ids.h"

namespace zinniacart {

/// One key of the platform's store.
struct StoreItem {
  std::string key;
  std::string value;
  /// Store revision of the key's last change; 0: the key does not exist.
  std::uint64_t revision = 0;
};

/// All keys with one prefix.
struct StoreSnapshot {
  std::vector<StoreItem> items;
  /// Store revision; changes after it may be missing.
  std::uint64_t as_of = 0;
  /// Time from the first byte of the response to its end; the sum if the
  /// listing takes several calls.
  Duration received_in{0};
};

/// A change of one key.
struct StoreEvent {
  StoreItem item;  ///< The key after the change.
  bool deleted = false;
};

/// Result of a watch.
struct StoreEvents {
  std::vector<StoreEvent> events;
  std::uint64_t as_of = 0;  ///< Store revision that the next watch follows.
  /// Time from the first byte of the response to its end; does not include the
  /// wait for a change.
  Duration received_in{0};
};

/// Requires that a key is still at a revision.
struct StoreCondition {
  std::string key;
  std::uint64_t revision = 0;  ///< 0: the key must not exist.
};

struct StoreWrite {
  std::string key;
  std::string value;
  /// The key is deleted when this lease ends. Empty: it stays until deleted.
  LeaseId lease;
};

/// Writes and deletes keys if all conditions hold; applied atomically.
struct StoreTransaction {
  std::vector<StoreCondition> conditions;
  std::vector<StoreWrite> writes;
  std::vector<std::string> removals;  ///< Keys to delete.
};

/// Result of a transaction that the store has decided.
struct StoreCommit {
  bool committed = false;      ///< False: a condition failed.
  std::uint64_t revision = 0;  ///< Store revision of the commit.
  /// If a condition failed: the current state of the conditions' keys.
  std::vector<StoreItem> current;
};

template <typename T>
using StoreCallback = std::function<void(Result<T>)>;

/// The platform's key-value store. Calls do not block; each callback runs once,
/// on the event loop. Errors:
/// - `kStoreUnavailable`, `kUnreachable`: the call has had and will have no
///   effect.
/// - `kOutcomeUnknown`: the call may have taken effect or may yet do so.
/// - `kNotFound`: the key or lease does not exist.
/// - `kPreconditionFailed` on a watch: the store no longer keeps the history
///   since `after`, or the changes since then are too large for one response;
///   the prefix must be listed again.
class StorePort {
 public:
  virtual ~StorePort() = default;

  virtual void Get(const std::string& key,
                   Duration timeout,
                   StoreCallback<StoreItem> done) = 0;
  /// Reads all keys that begin with `prefix`.
  /// @param timeout longest time without received data. A large response over a
  ///                slow link may take longer as a whole.
  virtual void List(const std::string& prefix,
                    Duration timeout,
                    StoreCallback<StoreSnapshot> done) = 0;
  /// Waits for changes after revision `after`, at most `wait`; returns no
  /// events if there were none.
  /// @param timeout as for `List`.
  virtual void Watch(const std::string& prefix,
                     std::uint64_t after,
                     Duration wait,
                     Duration timeout,
                     StoreCallback<StoreEvents> done) = 0;
  /// A failed condition is not an error: see `StoreCommit::committed`.
  virtual void Commit(const StoreTransaction& transaction,
                      Duration timeout,
                      StoreCallback<StoreCommit> done) = 0;
  virtual void OpenLease(Duration ttl,
                         Duration timeout,
                         StoreCallback<LeaseId> done) = 0;
  /// @param done receives the time to live of the renewed lease.
  virtual void RenewLease(const LeaseId& lease,
                          Duration timeout,
                          StoreCallback<Duration> done) = 0;
  /// Ends a lease at once, which deletes the keys written under it.
  virtual void EndLease(const LeaseId& lease,
                        Duration timeout,
                        StoreCallback<Duration> done) = 0;
};

}  // namespace zinniacart
