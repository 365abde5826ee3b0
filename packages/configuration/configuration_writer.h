#pragma once

#include <functional>

#include "base/clock.h"
#include "configuration/configuration.h"
#include "ports/store.h"

namespace zinniacart {

/// Makes operators' changes durable: each is one compare-and-swap of the
/// configuration's key. A lost answer is resolved by looking for the change
/// id, so that a change applies exactly once however often it is tried.
class ConfigurationWriter final {
 public:
  /// The key that holds the whole configuration.
  static StoreKey Key() { return StoreKey("config/log"); }
  /// The prefix of the archive of changes that left the configuration.
  static constexpr const char* kArchivePrefix = "config/archive/";

  /// Waits between two attempts; tests pass one that advances their clock.
  using Pause = std::function<void(Duration)>;

  /// @param store must outlive the writer.
  ConfigurationWriter(Store& store, Pause pause);

  /// Makes `request` durable.
  /// @returns the configuration that holds it. `kStoreUnavailable`: surely
  /// not applied. `kOutcomeUnknown`: ask again with the same change id.
  /// `kConflict`, `kNotFound`: refused, not applied.
  Result<Configuration> Write(const ChangeRequest& request);

 private:
  struct Current {
    Configuration configuration;
    StoreVersion version;
  };
  Result<Configuration> TryOnce(const ChangeRequest& request);
  Result<Current> Read();
  Result<void> Archive(const Configuration& configuration);

  Store& m_store;
  const Pause m_pause;
};

}  // namespace zinniacart
