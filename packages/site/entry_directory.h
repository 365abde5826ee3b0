#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "scheduling/ownership.h"
#include "scheduling/succession.h"
#include "site/store_port.h"

namespace zinniacart {

/// Who the entries are and who owns the scheduling, as the store shows it.
class EntryDirectory final {
 public:
  void OnSnapshot(const StoreSnapshot& snapshot);
  void OnEvent(const StoreEvent& event);

  /// @returns what the ownership decides on.
  const OwnershipView& ownership() const { return m_ownership; }
  /// @returns the owner, nothing while there is none.
  const std::optional<OwnerRecord>& owner() const { return m_ownership.owner; }
  const std::map<EntryId, EntryRecord>& entries() const { return m_entries; }
  /// @returns the addresses of all entries but `self`.
  std::vector<std::string> PeersOf(const EntryId& self) const;

 private:
  void Apply(const StoreItem& item);

  OwnershipView m_ownership;
  std::map<EntryId, EntryRecord> m_entries;
};

/// @returns an entry's record in its stored form.
std::string EncodeEntryRecord(const EntryRecord& record);

/// @returns the record, `kInvalidArgument` where the bytes hold none.
Result<EntryRecord> DecodeEntryRecord(const std::string& bytes);

/// @returns the owner's record in its stored form.
std::string EncodeOwnerRecord(const OwnerRecord& record);

/// @returns the record, `kInvalidArgument` where the bytes hold none.
Result<OwnerRecord> DecodeOwnerRecord(const std::string& bytes);

}  // namespace zinniacart
