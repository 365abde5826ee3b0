#include "site/entry_directory.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "base/json_text.h"
#include "base/logging.h"
#include "net/http_types.h"
#include "site/store_keys.h"

namespace zinniacart {
namespace {

/// No sequence of claims reaches it. The epochs after it still fit into
/// messages.
constexpr std::uint64_t kMaxEpoch = std::uint64_t{1} << 52;
constexpr double kMaxCores = 1e6;

/// @returns the field "address".
/// @throws std::exception if it is not ip:port.
std::string ReadAddress(const nlohmann::json& row) {
  auto address = row.at("address").get<std::string>();
  const auto parsed = net::Address::Parse(address, "address");
  if (!parsed) {
    throw std::invalid_argument(parsed.error().detail);
  }
  return address;
}

/// @returns the epoch in a stored text, nothing if it is not a number up to
/// `kMaxEpoch`.
std::optional<Epoch> ParseEpoch(const std::string& text) {
  std::uint64_t epoch = 0;
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, epoch);
  if (parsed.ec != std::errc() || parsed.ptr != end || epoch > kMaxEpoch) {
    return std::nullopt;
  }
  return Epoch(epoch);
}

}  // namespace

std::string EncodeEntryRecord(const EntryRecord& record) {
  return nlohmann::json{{"address", record.address}, {"cores", record.cores}}
      .dump();
}

Result<EntryRecord> DecodeEntryRecord(const std::string& bytes) {
  try {
    const auto row = ParseJson(bytes);
    const double cores = row.at("cores").get<double>();
    if (cores < 0 || cores > kMaxCores) {
      return Fail(ErrorCode::kInvalidArgument,
                  "cores is " + std::to_string(cores), "entry record");
    }
    return EntryRecord{ReadAddress(row), cores};
  } catch (const std::exception& error) {
    return Fail(ErrorCode::kInvalidArgument, error.what(), "entry record");
  }
}

std::string EncodeOwnerRecord(const OwnerRecord& record) {
  return nlohmann::json{{"entry", record.entry.value()},
                        {"address", record.address},
                        {"epoch", record.epoch.value()}}
      .dump();
}

Result<OwnerRecord> DecodeOwnerRecord(const std::string& bytes) {
  try {
    const auto row = ParseJson(bytes);
    return OwnerRecord{
        EntryId(row.at("entry").get<std::string>()), ReadAddress(row),
        Epoch(static_cast<std::uint64_t>(ReadIntegerField(
            row, "epoch", 0, static_cast<std::int64_t>(kMaxEpoch))))};
  } catch (const std::exception& error) {
    return Fail(ErrorCode::kInvalidArgument, error.what(), "owner record");
  }
}

void EntryDirectory::OnSnapshot(const StoreSnapshot& snapshot) {
  m_ownership = {};
  m_entries.clear();
  for (const StoreItem& item : snapshot.items) {
    Apply(item);
  }
}

void EntryDirectory::OnEvent(const StoreEvent& event) {
  if (!event.deleted) {
    return Apply(event.item);
  }
  if (event.item.key == store_keys::kOwner) {
    m_ownership.owner.reset();
    m_ownership.owner_revision = 0;
  } else if (event.item.key.starts_with(store_keys::kEntryPrefix)) {
    m_entries.erase(
        EntryId(event.item.key.substr(store_keys::kEntryPrefix.size())));
  }
}

void EntryDirectory::Apply(const StoreItem& item) {
  if (item.key == store_keys::kOwner) {
    const auto record = DecodeOwnerRecord(item.value);
    if (!record) {
      LogError("owner record ignored: it cannot be parsed",
               {{"key", item.key}, {"detail", record.error().detail}});
    }
    // A claim replaces a record that names no owner.
    m_ownership.owner = record ? std::optional(*record) : std::nullopt;
    m_ownership.owner_revision = item.revision;
  } else if (item.key == store_keys::kEpoch) {
    const auto epoch = ParseEpoch(item.value);
    if (!epoch) {
      LogError("stored epoch ignored: it is not a valid number",
               {{"key", item.key}, {"value", item.value.substr(0, 40)}});
    }
    m_ownership.last_epoch = epoch.value_or(m_ownership.last_epoch);
    m_ownership.epoch_revision = item.revision;
  } else if (item.key.starts_with(store_keys::kEntryPrefix)) {
    const EntryId entry(item.key.substr(store_keys::kEntryPrefix.size()));
    const auto record = DecodeEntryRecord(item.value);
    if (!record) {
      LogError("entry record ignored: it cannot be parsed",
               {{"entry", entry.value()}, {"detail", record.error().detail}});
      return;
    }
    m_entries[entry] = *record;
  }
}

std::vector<std::string> EntryDirectory::PeersOf(const EntryId& self) const {
  std::vector<std::string> addresses;
  for (const auto& [entry, record] : m_entries) {
    if (entry != self) {
      addresses.push_back(record.address);
    }
  }
  return addresses;
}

}  // namespace zinniacart
