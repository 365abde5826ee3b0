#pragma once

#include <map>
#include <optional>
#include <string>

#include "base/clock.h"
#include "base/ids.h"

namespace zinniacart {

/// An entry as it registered itself.
struct EntryRecord {
  std::string address;  ///< Where the other entries reach it.
  double cores = 0;     ///< Processors that it may use; 0: not known.
};

struct SuccessionSettings {
  /// An entry with so many times the processors of another is the better owner.
  double clearly_stronger = 1.5;
  /// Entries of about equal strength claim a vacancy within this time, the
  /// strongest first.
  Duration longest_standby{250};
  /// How long a vacancy is left to stronger entries: more than one of them
  /// takes to start.
  Duration leave_to_stronger{1500};
  /// How long an owner must have been the weaker one before it is asked to hand
  /// over, and the pause between two requests.
  Duration offer_after{1500};
};

/// Decides which entry should own the scheduling. Load it answers: entries that
/// differ many times in what they can carry, on a site whose scheduling takes
/// more than the smallest of them have. A small entry owns it only while no
/// larger one is there, and hands over when one comes back.
class Succession final {
 public:
  Succession(EntryId self,
             double cores,
             const Clock& clock,
             SuccessionSettings settings = {});

  /// The store's view has changed.
  void OnView(std::map<EntryId, EntryRecord> entries,
              std::optional<EntryId> owner);
  /// @param answering whether the store answers this entry.
  void OnStoreHealth(bool answering);

  /// @returns how long this entry leaves a vacancy to others.
  Duration StandbyDelay() const;
  /// @returns whether the owner should be asked now to hand over to this entry.
  bool ShouldRequestHandOver();
  /// @returns whether this entry, as the owner, should hand over to `entry`.
  bool ShouldHandOverTo(const EntryId& entry) const;

 private:
  bool Outdoes(double cores, double other) const;
  std::optional<double> CoresOf(const EntryId& entry) const;

  const EntryId m_self;
  const double m_cores;
  const Clock& m_clock;
  const SuccessionSettings m_settings;
  std::map<EntryId, EntryRecord> m_entries;
  std::optional<EntryId> m_owner;
  /// Since when the owner has been weaker, or was asked last.
  std::optional<Instant> m_weaker_since;
  bool m_store_answers = false;
};

}  // namespace zinniacart
