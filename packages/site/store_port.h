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
  std::uint64_t revision = 0;  ///< Of its last change; 0: it does not exist.
};

struct StoreSnapshot {
  std::vector<StoreItem> items;
  std::uint64_t as_of = 0;  ///< Changes after this one may be missing.
  Duration received_in{0};  ///< How long it took to come in.
};

struct StoreEvent {
  StoreItem item;
  bool deleted = false;
};

struct StoreEvents {
  std::vector<StoreEvent> events;
  std::uint64_t as_of = 0;
  Duration received_in{
      0};  ///< How long they took to come in, once one was there.
};

struct StoreCondition {
  std::string key;
  std::uint64_t revision = 0;  ///< 0: the key must not exist.
};

struct StoreWrite {
  std::string key;
  std::string value;
  LeaseId lease;  ///< Empty: the key lasts.
};

/// Takes effect as a whole or not at all.
struct StoreTransaction {
  std::vector<StoreCondition> conditions;
  std::vector<StoreWrite> writes;
  std::vector<std::string> removals;
};

struct StoreCommit {
  bool committed = false;
  std::uint64_t revision = 0;
  /// Where a condition failed: the current state of their keys.
  std::vector<StoreItem> current;
};

template <typename T>
using StoreCallback = std::function<void(Result<T>)>;

/// The platform's key-value store. Calls do not block; each callback runs once,
/// on the event loop. Errors: `kStoreUnavailable` and `kUnreachable` promise
/// that nothing was done, `kOutcomeUnknown` that it may have been or may yet
/// be, `kNotFound` that the key or lease does not exist, `kPreconditionFailed`
/// on a watch that the history it needs is gone.
class StorePort {
 public:
  virtual ~StorePort() = default;

  virtual void Get(const std::string& key,
                   Duration timeout,
                   StoreCallback<StoreItem> done) = 0;
  /// Reads all keys that begin with `prefix`.
  /// @param timeout how long nothing may come in; a large answer over a thin
  ///                link takes longer as a whole.
  virtual void List(const std::string& prefix,
                    Duration timeout,
                    StoreCallback<StoreSnapshot> done) = 0;
  /// Waits for changes after revision `after`, at most `wait`.
  /// @param timeout as for `List`.
  virtual void Watch(const std::string& prefix,
                     std::uint64_t after,
                     Duration wait,
                     Duration timeout,
                     StoreCallback<StoreEvents> done) = 0;
  virtual void Commit(const StoreTransaction& transaction,
                      Duration timeout,
                      StoreCallback<StoreCommit> done) = 0;
  virtual void OpenLease(Duration ttl,
                         Duration timeout,
                         StoreCallback<LeaseId> done) = 0;
  virtual void RenewLease(const LeaseId& lease,
                          Duration timeout,
                          StoreCallback<Duration> done) = 0;
  virtual void EndLease(const LeaseId& lease,
                        Duration timeout,
                        StoreCallback<Duration> done) = 0;
};

}  // namespace zinniacart
