#pragma once

#include <functional>

#include "base/clock.h"
#include "configuration/configuration.h"
#include "ports/store.h"

namespace zinniacart {

/// Writes operators' changes to the store. The configuration is a single value,
/// and each change is one compare-and-swap of its key. If the response to a
/// write is lost, the next attempt reads the configuration again and looks for
/// the change id, so that a change applies exactly once regardless of retries.
/// This holds while the change is among the `Configuration::kKeptChanges` most
/// recent. Not synchronized.
class ConfigurationWriter final {
 public:
  /// The key that holds the whole configuration.
  static StoreKey Key() { return StoreKey("config/log"); }
  /// The prefix of the keys of the archive, which preserves the changes that
  /// the configuration no longer keeps. Each key ends in the serial that
  /// follows the last change of its segment.
  static constexpr const char* kArchivePrefix = "config/archive/";

  /// Blocks for the given time between two attempts. Tests pass a function that
  /// advances their clock instead.
  using Pause = std::function<void(Duration)>;

  /// @param store must outlive the writer.
  ConfigurationWriter(Store& store, Pause pause);

  /// Applies `request` to the stored configuration, with retries after
  /// concurrent changes and after writes whose outcome is unknown. Blocks
  /// meanwhile.
  /// @returns the configuration that includes the change, or one of these
  /// errors: `kStoreUnavailable` if the store can't be reached and the change
  /// is certainly not applied; `kOutcomeUnknown` if the change may be applied,
  /// so that the caller must repeat it with the same change id; `kConflict` if
  /// the precondition doesn't hold or concurrent changes won every attempt, and
  /// `kNotFound` if the resource to delete doesn't exist, both without effect.
  /// Other errors of the store and of `Configuration::Parse` are passed on.
  Result<Configuration> Write(const ChangeRequest& request);

 private:
  /// The stored configuration and the version to compare against when writing.
  /// Both are empty if nothing is stored yet.
  struct Current {
    Configuration configuration;
    StoreVersion version;
  };
  /// Makes one attempt. `kPreconditionFailed` means that another writer changed
  /// the configuration after it was read.
  Result<Configuration> TryOnce(const ChangeRequest& request);
  Result<Current> Read();
  /// Writes a segment of the archive if the serial of `configuration` completes
  /// one; otherwise does nothing.
  Result<void> Archive(const Configuration& configuration);

  Store& m_store;
  const Pause m_pause;
};

}  // namespace zinniacart
