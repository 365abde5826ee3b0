#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/error.h"
#include "base/ids.h"

namespace zinniacart {

/// One key's value as the store holds it.
struct StoreValue {
  StoreKey key;
  std::string bytes;
  StoreVersion version;
};

/// The platform's key-value service. Every call blocks for at most the
/// timeout given at construction; calls may be made from any thread.
///
/// Errors common to all calls: `kStoreUnavailable` (the call surely had no
/// effect) and `kOutcomeUnknown` (its answer was lost).
class Store {
 public:
  virtual ~Store() = default;

  /// Reads one key. @returns `kNotFound` where it does not exist.
  virtual Result<StoreValue> Get(const StoreKey& key) = 0;

  /// Reads one key unless it still has `known`.
  /// @returns the value, or one with empty bytes and `known` when unchanged.
  virtual Result<StoreValue> GetIfChanged(const StoreKey& key,
                                          StoreVersion known) = 0;

  /// Like `GetIfChanged`, but waits up to `wait` for a change.
  virtual Result<StoreValue> Watch(const StoreKey& key,
                                   StoreVersion known,
                                   Duration wait) = 0;

  /// Reads every key that starts with `prefix`.
  virtual Result<std::vector<StoreValue>> List(const std::string& prefix) = 0;

  /// Writes a key if it has version `expected` (0: must not exist).
  /// @param lease where not empty, the key vanishes with this lease.
  /// @returns the new version, or `kPreconditionFailed`.
  virtual Result<StoreVersion> CompareAndSwap(const StoreKey& key,
                                              const std::string& bytes,
                                              StoreVersion expected,
                                              const LeaseId& lease) = 0;

  /// Deletes a key if it has version `expected`.
  virtual Result<void> Delete(const StoreKey& key, StoreVersion expected) = 0;

  /// Opens a lease that ends `ttl` after its last renewal.
  virtual Result<LeaseId> OpenLease(Duration ttl) = 0;

  /// Renews a lease. @returns `kNotFound` once it has lapsed.
  virtual Result<void> RenewLease(const LeaseId& lease) = 0;
};

}  // namespace zinniacart
