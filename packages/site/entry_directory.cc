#include "site/entry_directory.h"

#include <charconv>
#include <nlohmann/json.hpp>

#include "base/logging.h"
#include "site/store_keys.h"

namespace zinniacart {

std::string EncodeEntryRecord(const EntryRecord& record) {
  return nlohmann::json{{"address", record.address}, {"cores", record.cores}}
      .dump();
}

Result<EntryRecord> DecodeEntryRecord(const std::string& bytes) {
  try {
    const auto row = nlohmann::json::parse(bytes);
    return EntryRecord{row.at("address"), row.at("cores")};
  } catch (const nlohmann::json::exception& error) {
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
    const auto row = nlohmann::json::parse(bytes);
    return OwnerRecord{EntryId(row.at("entry").get<std::string>()),
                       row.at("address"),
                       Epoch(row.at("epoch").get<std::uint64_t>())};
  } catch (const nlohmann::json::exception& error) {
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
               {{"detail", record.error().detail}});
      return;
    }
    m_ownership.owner = *record;
    m_ownership.owner_revision = item.revision;
  } else if (item.key == store_keys::kEpoch) {
    std::uint64_t epoch = 0;
    const char* const end = item.value.data() + item.value.size();
    if (std::from_chars(item.value.data(), end, epoch).ptr != end) {
      LogError("stored epoch is not a number; its leading digits are used",
               {{"value", item.value}});
    }
    m_ownership.last_epoch = Epoch(epoch);
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
