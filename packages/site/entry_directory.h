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

/// The registered entries and the owner of the scheduling, as recorded in the
/// store. Fed by a `PrefixFollower` on `store_keys::kEntriesPrefix`. A value
/// that cannot be parsed is logged: it names no entry, no owner and no epoch.
class EntryDirectory final {
 public:
  /// Replaces everything known by the contents of `snapshot`.
  void OnSnapshot(const StoreSnapshot& snapshot);
  /// Applies one change.
  void OnEvent(const StoreEvent& event);

  /// @returns the owner's record, the last epoch and their store revisions.
  const OwnershipView& ownership() const { return m_ownership; }
  /// @returns the current owner, nothing if there is none.
  const std::optional<OwnerRecord>& owner() const { return m_ownership.owner; }
  const std::map<EntryId, EntryRecord>& entries() const { return m_entries; }
  /// @returns the peer addresses of all registered entries but `self`.
  std::vector<std::string> PeersOf(const EntryId& self) const;

 private:
  void Apply(const StoreItem& item);

  OwnershipView m_ownership;
  std::map<EntryId, EntryRecord> m_entries;
};

/// @returns the JSON text that is stored for an entry.
std::string EncodeEntryRecord(const EntryRecord& record);

/// @returns the record, `kInvalidArgument` if `bytes` is not an entry record,
/// or its address or number of cores is out of range.
Result<EntryRecord> DecodeEntryRecord(const std::string& bytes);

/// @returns the JSON text that is stored for the owner.
std::string EncodeOwnerRecord(const OwnerRecord& record);

/// @returns the record, `kInvalidArgument` if `bytes` is not an owner record,
/// or its address or epoch is out of range.
Result<OwnerRecord> DecodeOwnerRecord(const std::string& bytes);

}  // namespace zinniacart
