#include "configuration/configuration_writer.h"

#include <nlohmann/json.hpp>

namespace zinniacart {
namespace {

/// The number of changes in a segment of the archive. A segment is written
/// every half of `kKeptChanges`, so that each change is archived well
/// before the configuration drops it.
constexpr std::uint64_t kArchiveInterval = Configuration::kKeptChanges / 2;

/// Attempts per change, for concurrent operators and lost responses. The delays
/// between them add up to about 2 s, to which the store calls add their time.
constexpr int kMaxAttempts = 40;
constexpr Duration kRetryDelay{50};

}  // namespace

ConfigurationWriter::ConfigurationWriter(Store& store, Pause pause)
    : m_store(store), m_pause(std::move(pause)) {}

Result<Configuration> ConfigurationWriter::Write(const ChangeRequest& request) {
  bool maybe_written = false;
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    auto written = TryOnce(request);
    if (written) {
      return written;
    }
    const ErrorCode code = written.error().code;
    maybe_written |= code == ErrorCode::kOutcomeUnknown;
    const bool version_changed = code == ErrorCode::kPreconditionFailed;
    const bool store_failed = code == ErrorCode::kStoreUnavailable ||
                              code == ErrorCode::kOutcomeUnknown;
    if (!version_changed && !store_failed) {
      return written;
    }
    if (code == ErrorCode::kStoreUnavailable && !maybe_written) {
      return written;
    }
    m_pause(kRetryDelay);
  }
  if (maybe_written) {
    return Fail(ErrorCode::kOutcomeUnknown, "the store's answer was lost");
  }
  return Fail(ErrorCode::kConflict, "too many changes at once");
}

Result<Configuration> ConfigurationWriter::TryOnce(
    const ChangeRequest& request) {
  auto current = Read();
  if (!current) {
    return tl::unexpected(current.error());
  }
  const ConfigSerial previous_serial = current->configuration.serial();
  const auto serial = current->configuration.Append(request);
  if (!serial) {
    return tl::unexpected(serial.error());
  }
  if (*serial <= previous_serial) {
    return current->configuration;
  }
  const auto archived = Archive(current->configuration);
  if (!archived) {
    return tl::unexpected(archived.error());
  }
  const auto written = m_store.CompareAndSwap(
      Key(), current->configuration.Serialize(), current->version, {});
  if (!written) {
    return tl::unexpected(written.error());
  }
  return current->configuration;
}

Result<ConfigurationWriter::Current> ConfigurationWriter::Read() {
  auto value = m_store.Get(Key());
  if (!value && value.error().code == ErrorCode::kNotFound) {
    return Current{};
  }
  if (!value) {
    return tl::unexpected(value.error());
  }
  auto configuration = Configuration::Parse(value->bytes);
  if (!configuration) {
    return tl::unexpected(configuration.error());
  }
  return Current{std::move(*configuration), value->version};
}

Result<void> ConfigurationWriter::Archive(const Configuration& configuration) {
  const std::uint64_t serial = configuration.serial().value();
  if (serial % kArchiveInterval != 0) {
    return {};
  }
  // The newest change is not stored yet and may still fail, so it belongs to
  // the next segment.
  nlohmann::json segment = nlohmann::json::array();
  for (const auto& change : configuration.changes()) {
    const std::uint64_t number = change.serial.value();
    if (number + kArchiveInterval >= serial && number < serial) {
      segment.push_back(ToJson(change));
    }
  }
  const StoreKey key(kArchivePrefix + std::to_string(serial));
  const auto written =
      m_store.CompareAndSwap(key, segment.dump(), StoreVersion(0), {});
  // A failed precondition means that an earlier attempt or another writer has
  // already archived this segment.
  const bool is_archived =
      written || written.error().code == ErrorCode::kPreconditionFailed;
  if (!is_archived) {
    return tl::unexpected(written.error());
  }
  return {};
}

}  // namespace zinniacart
