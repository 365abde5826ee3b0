#pragma once

#include <map>
#include <optional>
#include <string>

#include "base/clock.h"
#include "base/ids.h"

namespace zinniacart {

/// The registration of an entry.
struct EntryRecord {
  std::string address;  ///< Where other entries reach it.
  double cores = 0;     ///< Cores that it may use; 0: unknown.
};

struct SuccessionSettings {
  /// An entry with at least this many times the cores of another is the better
  /// owner.
  double stronger_ratio = 1.5;
  /// Longest wait before claiming a vacant ownership among entries of about
  /// equal strength; the strongest waits least.
  Duration max_standby_delay{250};
  /// Additional wait while a stronger entry is registered: longer than such an
  /// entry takes to start.
  Duration weaker_entry_delay{1500};
  /// How long the owner must have been weaker before it is asked to hand over,
  /// and the interval between two requests.
  Duration hand_over_request_delay{1500};
};

/// Decides which entry should own the scheduling. Entries may differ many times
/// in their cores, and the scheduling of a large site takes more than the
/// smallest of them have. A small entry therefore becomes the owner only while
/// no larger one is available, and hands over when one returns.
class Succession final {
 public:
  Succession(EntryId self,
             double cores,
             const Clock& clock,
             SuccessionSettings settings = {});

  /// The registered entries or the owner have changed.
  void OnView(std::map<EntryId, EntryRecord> entries,
              std::optional<EntryId> owner);
  /// @param answering whether the store responds to this entry.
  void OnStoreHealth(bool answering);

  /// @returns how long this entry waits before it claims a vacant ownership.
  Duration StandbyDelay() const;
  /// @returns whether this entry should ask the owner now to hand over; true at
  /// most once per `SuccessionSettings::hand_over_request_delay`. Call
  /// regularly.
  bool ShouldRequestHandOver();
  /// @returns whether this entry, as the owner, should hand over to `entry`.
  bool ShouldHandOverTo(const EntryId& entry) const;

 private:
  bool IsStronger(double cores, double other_cores) const;
  std::optional<double> CoresOf(const EntryId& entry) const;

  const EntryId m_self;
  const double m_cores;
  const Clock& m_clock;
  const SuccessionSettings m_settings;
  std::map<EntryId, EntryRecord> m_entries;
  std::optional<EntryId> m_owner;
  /// When the owner was first seen weaker, or was last asked to hand over.
  std::optional<Instant> m_weaker_since;
  bool m_store_reachable = false;
};

}  // namespace zinniacart
