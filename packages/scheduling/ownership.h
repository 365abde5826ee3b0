#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "base/clock.h"
#include "base/ids.h"

namespace zinniacart {

/// The owner as the store shows it.
struct OwnerRecord {
  EntryId entry;
  std::string address;
  Epoch epoch;
};

/// What the store holds about the ownership.
struct OwnershipView {
  std::optional<OwnerRecord> owner;  ///< Nothing: nobody holds a lease on it.
  std::uint64_t owner_revision = 0;
  Epoch last_epoch;  ///< Of the newest owner ever; 0 before the first.
  std::uint64_t epoch_revision = 0;
};

/// Steps towards and within ownership.
struct WaitStep {};
struct ReadViewStep {};
struct OpenLeaseStep {
  Duration ttl{0};
};
/// Writes the owner's record under the lease and the next epoch, if the view
/// still holds.
struct ClaimStep {
  LeaseId lease;
  OwnershipView view;
};
struct RenewStep {
  LeaseId lease;
};
using OwnershipStep =
    std::variant<WaitStep, ReadViewStep, OpenLeaseStep, ClaimStep, RenewStep>;

struct OwnershipTimes {
  /// How long a dead owner blocks its succession. Twice the longest pause
  /// that a busy owner is expected to make.
  Duration lease{2000};
  Duration renewal{500};
  /// Between attempts that failed.
  Duration retry{200};
};

/// Decides when to claim and to renew the ownership. Every step that was taken
/// is followed by one `On...` call with its outcome.
class Ownership final {
 public:
  /// @param standby_delay how long this entry leaves a vacancy to better
  /// placed ones.
  Ownership(EntryId self,
            OwnershipTimes times,
            Duration standby_delay,
            const Clock& clock);

  /// @returns what to do now; `WaitStep` while a step is under way.
  OwnershipStep Next();

  /// @param delay how long this entry leaves a vacancy to better placed ones.
  void SetStandbyDelay(Duration delay) { m_standby_delay = delay; }
  /// The store's view was seen by a watch.
  void OnView(const OwnershipView& view);
  /// The store's view was read, as asked for.
  void OnViewRead(const OwnershipView& view);
  void OnLeaseOpened(const LeaseId& lease);
  void OnClaimed(Epoch epoch, std::uint64_t epoch_revision);
  void OnRenewed();
  /// The step failed for now.
  void OnFailed();
  /// Another owner exists or the lease has ended.
  void OnLost();
  /// Takes no part any more.
  void Retire() { m_retired = true; }

  bool owner() const { return m_epoch.has_value(); }
  Epoch epoch() const { return m_epoch.value_or(Epoch()); }
  std::uint64_t epoch_revision() const { return m_epoch_revision; }
  const LeaseId& lease() const { return m_lease; }
  /// @returns whether the ownership was confirmed within `window`.
  bool ConfirmedWithin(Duration window) const;

 private:
  bool Vacant() const;

  const EntryId m_self;
  const OwnershipTimes m_times;
  Duration m_standby_delay;
  const Clock& m_clock;
  OwnershipView m_view;
  bool m_view_known = false;
  bool m_retired = false;
  bool m_busy = false;
  std::optional<Instant> m_vacant_since;
  LeaseId m_lease;
  std::optional<Epoch> m_epoch;
  std::uint64_t m_epoch_revision = 0;
  Instant m_confirmed_at;
  Instant m_step_began;
  Instant m_not_before;
};

}  // namespace zinniacart
