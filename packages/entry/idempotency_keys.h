#pragma once

#include <functional>
#include <string>

#include "base/clock.h"
#include "entry/request_dispatcher.h"
#include "platform/store.h"
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
  struct Held {
    wire::KeyRecord record;
    StoreVersion version;
  };
  using Decision = std::variant<RequestOutcome, Held>;

  Decision Claim(const CallerRequest& request,
                 const StoreKey& key,
                 const Attempt& attempt);
  Decision Reclaim(const CallerRequest& request,
                   const StoreKey& key,
                   const Held& held,
                   const Attempt& attempt);
  RequestOutcome GiveUp(const CallerRequest& request,
                        const StoreKey& key,
                        const Held& held,
                        const RequestOutcome& refusal);
  RequestOutcome FollowWinner(const CallerRequest& request,
                              const StoreKey& key);
  Decision Follow(const CallerRequest& request,
                  const StoreKey& key,
                  const StoreValue& value,
                  const Attempt& attempt);
  Result<StoreVersion> Write(const StoreKey& key,
                             const wire::KeyRecord& record,
                             StoreVersion expected,
                             Instant deadline);
  void Complete(const StoreKey& key,
                Held held,
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
