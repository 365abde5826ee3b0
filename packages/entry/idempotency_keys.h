#pragma once

#include <functional>
#include <string>

#include "base/clock.h"
#include "entry/request_dispatcher.h"
#include "ports/store.h"
#include "routing/request_ledger.h"
#include "zinniacart.pb.h"

namespace zinniacart {

/// Runs a request that must not run twice at most once per `Idempotency-Key`,
/// so that a caller can repeat it safely through any entry.
///
/// Before the request is sent to an agent, the key is claimed by creating its
/// record in the store, which names the attempt and the agent. A repeated
/// request finds the record and queries that agent for the attempt's outcome.
/// If the agent does not know it, the outcome is outcome-unknown; the request
/// never runs a second time. Thread-safe; calls block.
class IdempotencyKeys final {
 public:
  /// Time from opening a store lease until the records under it are deleted.
  /// The lease is not renewed.
  static constexpr Duration kRetention{48 * 3'600'000};
  /// A new lease for further records is opened this often. A record is thus
  /// kept for at least `kRetention` less this interval.
  static constexpr Duration kLeaseInterval{3'600'000};
  /// Bytes. The body of a longer answer is not stored with the record; a
  /// repeated request then gets outcome-unknown.
  static constexpr std::size_t kMaxStoredBodyBytes = 64 << 10;
  static constexpr std::size_t kMaxKeyLength = 255;

  IdempotencyKeys(Store& store,
                  const Clock& clock,
                  RequestDispatcher& dispatcher);

  /// Runs `request` at most once under `key`.
  /// @param key 1 to `kMaxKeyLength` visible ASCII characters.
  /// @returns the outcome of this or of an earlier attempt under `key`: not-run
  /// with kConflict if the key was used for a different request,
  /// outcome-unknown if the store cannot show whether an earlier attempt ran.
  RequestOutcome Run(const CallerRequest& request, const std::string& key);

 private:
  /// The outcome of the attempt that holds the key; or, if that attempt did not
  /// run and never will, the record's version to claim the key from (0 if there
  /// is no record).
  using HolderState = std::variant<RequestOutcome, StoreVersion>;

  /// Writes a record for `attempt` if the record still has `version`.
  /// @returns the new version; kPreconditionFailed if another attempt holds the
  /// key; else the store's error.
  Result<StoreVersion> ClaimKey(const CallerRequest& request,
                                const StoreKey& key,
                                StoreVersion version,
                                const Attempt& attempt);
  /// Deletes the record of `version`, or for version 0 checks that there is
  /// none. Only then is "not-run" true for the key as a whole and not just for
  /// the own attempts.
  /// @returns 0; kPreconditionFailed if another attempt holds the key; else the
  /// store's error.
  Result<StoreVersion> ReleaseKey(const StoreKey& key, StoreVersion version);
  /// @returns the outcome to report after `ReleaseKey` failed.
  RequestOutcome ResolveFailedRelease(const CallerRequest& request,
                                      const StoreKey& key);
  /// Reads the key's record and queries the outcome of the attempt in it.
  HolderState ResolveHolder(const CallerRequest& request, const StoreKey& key);
  /// Swaps the record from version `expected`. If the store's reply is lost,
  /// reads the record back until `deadline` to find whether the swap took
  /// effect.
  Result<StoreVersion> WriteRecord(const StoreKey& key,
                                   const wire::KeyRecord& record,
                                   StoreVersion expected,
                                   Instant deadline);
  /// Stores the answer with the record; does nothing for other outcomes.
  void RecordAnswer(const StoreKey& key,
                    wire::KeyRecord record,
                    StoreVersion version,
                    const RequestOutcome& outcome,
                    Instant deadline);
  /// @returns the lease for new records, opened anew every `kLeaseInterval`.
  Result<LeaseId> CurrentLease();

  Store& m_store;
  const Clock& m_clock;
  RequestDispatcher& m_dispatcher;
  std::mutex m_lease_mutex;
  LeaseId m_lease;
  Instant m_lease_opened_at;
};

}  // namespace zinniacart
