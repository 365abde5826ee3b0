#pragma once

#include <functional>
#include <string>

#include "base/clock.h"
#include "entry/request_dispatcher.h"
#include "ports/store.h"
#include "routing/request_ledger.h"
#include "zinniacart.pb.h"

namespace zinniacart {

/// Lets a caller repeat a request that must not run twice, through any
/// entry, under one `Idempotency-Key`.
///
/// Before the request goes to an agent, the key is claimed at the store by
/// creating its record, which names the attempt and the agent. A repetition
/// finds the record and asks that agent what became of the attempt. Where
/// the agent cannot tell, the answer is outcome-unknown, never a second run.
class IdempotencyKeys final {
 public:
  /// Records vanish this long after the lease they hang on was opened.
  static constexpr Duration kRetention{48 * 3'600'000};
  /// A lease for new records is opened this often.
  static constexpr Duration kLeaseInterval{3'600'000};
  /// Longer answers are not kept with the record.
  static constexpr std::size_t kLargestKeptBody = 64 << 10;
  static constexpr std::size_t kLongestKey = 255;

  IdempotencyKeys(Store& store,
                  const Clock& clock,
                  RequestDispatcher& dispatcher);

  /// Runs `request` at most once under `key`.
  RequestOutcome Run(const CallerRequest& request, const std::string& key);

 private:
  /// What became of the attempt that holds the key; or, where that has not
  /// run and never will, the version to claim the key from (0: it is free).
  using Winner = std::variant<RequestOutcome, StoreVersion>;

  Result<StoreVersion> Claim(const CallerRequest& request,
                             const StoreKey& key,
                             StoreVersion version,
                             const Attempt& attempt);
  /// Frees the key, so that "not-run" is true whoever else holds an attempt.
  Result<StoreVersion> GiveUp(const StoreKey& key, StoreVersion version);
  RequestOutcome AfterLostRelease(const CallerRequest& request,
                                  const StoreKey& key);
  Winner AwaitWinner(const CallerRequest& request, const StoreKey& key);
  Result<StoreVersion> Write(const StoreKey& key,
                             const wire::KeyRecord& record,
                             StoreVersion expected,
                             Instant deadline);
  void Complete(const StoreKey& key,
                wire::KeyRecord record,
                StoreVersion version,
                const RequestOutcome& outcome,
                Instant deadline);
  Result<LeaseId> Lease();

  Store& m_store;
  const Clock& m_clock;
  RequestDispatcher& m_dispatcher;
  std::mutex m_lease_mutex;
  LeaseId m_lease;
  Instant m_lease_opened_at;
};

}  // namespace zinniacart
