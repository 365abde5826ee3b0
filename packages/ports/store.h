#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/error.h"
#include "base/ids.h"

namespace zinniacart {

/// A key with its stored value and version.
struct StoreValue {
  StoreKey key;
  std::string bytes;
  StoreVersion version;
};

/// The platform's key-value service. Every call blocks, bounded by the timeout
/// given at construction; any thread may call it.
///
/// Errors common to all calls: `kStoreUnavailable` (the call certainly had no
/// effect) and `kOutcomeUnknown` (the call may have taken effect, because its
/// response was lost).
class Store {
 public:
  virtual ~Store() = default;

  /// Reads one key. @returns `kNotFound` if it does not exist.
  virtual Result<StoreValue> Get(const StoreKey& key) = 0;

  /// Reads one key unless its version is still `known`.
  /// @returns the value, or one with empty bytes and `known` when unchanged.
  virtual Result<StoreValue> GetIfChanged(const StoreKey& key,
                                          StoreVersion known) = 0;

  /// Like `GetIfChanged`, but waits up to `wait` (milliseconds) for a change.
  virtual Result<StoreValue> Watch(const StoreKey& key,
                                   StoreVersion known,
                                   Duration wait) = 0;

  /// Reads every key that starts with `prefix`.
  virtual Result<std::vector<StoreValue>> List(const std::string& prefix) = 0;

  /// Writes a key if it has version `expected` (0: the key must not exist).
  /// @param lease if not empty, the store deletes the key when this lease
  ///              expires.
  /// @returns the new version, or `kPreconditionFailed`.
  virtual Result<StoreVersion> CompareAndSwap(const StoreKey& key,
                                              const std::string& bytes,
                                              StoreVersion expected,
                                              const LeaseId& lease) = 0;

  /// Deletes a key if it has version `expected`.
  /// @returns `kPreconditionFailed` if it has another version, `kNotFound` if
  ///          it does not exist.
  virtual Result<void> Delete(const StoreKey& key, StoreVersion expected) = 0;

  /// Opens a lease that expires `ttl` (milliseconds) after its last renewal.
  virtual Result<LeaseId> OpenLease(Duration ttl) = 0;

  /// Renews a lease. @returns `kNotFound` once it has expired.
  virtual Result<void> RenewLease(const LeaseId& lease) = 0;
};

}  // namespace zinniacart
