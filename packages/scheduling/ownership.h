#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "base/clock.h"
#include "base/ids.h"

namespace zinniacart {

/// The current owner as recorded in the store.
struct OwnerRecord {
  EntryId entry;
  std::string address;
  Epoch epoch;
};

/// Contents of the store that concern ownership, with their revisions.
struct OwnershipView {
  std::optional<OwnerRecord> owner;  ///< Nothing: no entry holds the lease.
  std::uint64_t owner_revision = 0;
  Epoch last_epoch;  ///< Of the latest owner; 0 if there was none.
  std::uint64_t epoch_revision = 0;
};

/// Nothing to do at present.
struct WaitStep {};
/// Reads the ownership view from the store.
struct ReadViewStep {};
/// Opens the lease under which the ownership is claimed.
struct OpenLeaseStep {
  Duration ttl{0};
};
/// Writes the owner record, attached to the lease, and the next epoch, provided
/// that both keys still have the revisions of the view.
struct ClaimStep {
  LeaseId lease;
  OwnershipView view;
};
/// Renews the lease.
struct RenewStep {
  LeaseId lease;
};
using OwnershipStep =
    std::variant<WaitStep, ReadViewStep, OpenLeaseStep, ClaimStep, RenewStep>;

struct OwnershipTimes {
  /// Time to live of the owner's lease: how long a crashed owner blocks the
  /// next one. Twice the longest pause expected of a busy owner.
  Duration lease{2000};
  /// Interval between renewals.
  Duration renewal{500};
  /// Delay after a failed step.
  Duration retry{200};
};

/// State machine that decides when an entry claims and renews the ownership of
/// the scheduling. The caller polls `Next`, carries out the step, and reports
/// its outcome with an `On...` call.
class Ownership final {
 public:
  /// @param standby_delay how long this entry waits before it claims a vacant
  /// ownership, so that better suited entries claim it first.
  Ownership(EntryId self,
            OwnershipTimes times,
            Duration standby_delay,
            const Clock& clock);

  /// @returns the step to carry out now; `WaitStep` while one is in progress.
  OwnershipStep Next();

  /// @param delay see the constructor.
  void SetStandbyDelay(Duration delay) { m_standby_delay = delay; }
  /// A watch of the store reported a new view.
  void OnView(const OwnershipView& view);
  /// `ReadViewStep` succeeded.
  void OnViewRead(const OwnershipView& view);
  /// `OpenLeaseStep` succeeded.
  void OnLeaseOpened(const LeaseId& lease);
  /// `ClaimStep` succeeded: this entry is the owner.
  void OnClaimed(Epoch epoch, std::uint64_t epoch_revision);
  /// `RenewStep` succeeded.
  void OnRenewed();
  /// The step failed; it is retried after `OwnershipTimes::retry`.
  void OnFailed();
  /// Another entry became the owner, the lease expired, or a claim did not
  /// demonstrably succeed. The next step reads the view anew.
  void OnLost();
  /// Stops claiming and renewing for good.
  void Retire() { m_retired = true; }

  bool owner() const { return m_epoch.has_value(); }
  Epoch epoch() const { return m_epoch.value_or(Epoch()); }
  std::uint64_t epoch_revision() const { return m_epoch_revision; }
  const LeaseId& lease() const { return m_lease; }
  /// @returns whether this entry is the owner and the store confirmed it within
  /// the last `window`, counted from the start of the claim or renewal.
  bool ConfirmedWithin(Duration window) const;

 private:
  bool Vacant() const;

  const EntryId m_self;
  const OwnershipTimes m_times;
  Duration m_standby_delay;
  const Clock& m_clock;
  OwnershipView m_view;
  /// The highest that was seen, because agents obey no lower one. The stored
  /// epoch may be lost or replaced by another writer.
  Epoch m_newest_epoch;
  bool m_view_known = false;
  bool m_retired = false;
  bool m_step_in_progress = false;
  std::optional<Instant> m_vacant_since;
  LeaseId m_lease;
  std::optional<Epoch> m_epoch;
  std::uint64_t m_epoch_revision = 0;
  Instant m_confirmed_at;
  Instant m_step_started_at;
  Instant m_retry_at;
};

}  // namespace zinniacart
