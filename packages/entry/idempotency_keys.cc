#include "entry/idempotency_keys.h"

#include <algorithm>
#include <chrono>
#include <thread>
#include <utility>

namespace zinniacart {
namespace {

constexpr std::chrono::milliseconds kRetryPause{30};
/// A claimed attempt may be on its way to its agent for this long; only then
/// is the agent asked for the promise that ends it.
constexpr Duration kOnItsWay{1'000};

std::uint64_t Fingerprint(const CallerRequest& request) {
  return StableHash(request.service.value() + "\n" + request.method + "\n" +
                    request.path + "\n" + request.body);
}

/// The key's text may hold any visible character; the store's may not.
StoreKey RecordKey(const CallerRequest& request, const std::string& key) {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string hex;
  for (const char character : key) {
    const auto byte = static_cast<unsigned char>(character);
    hex += kDigits[byte >> 4];
    hex += kDigits[byte & 15];
  }
  return StoreKey("requests/" + request.service.value() + "/" + hex);
}

wire::KeyRecord MakeClaim(const CallerRequest& request,
                          const Attempt& attempt) {
  wire::KeyRecord record;
  record.set_state(wire::KEY_CLAIMED);
  record.set_request_id(attempt.request.value());
  record.set_fingerprint(Fingerprint(request));
  record.set_address(attempt.route.address);
  record.set_incarnation(attempt.route.stamp.incarnation.value());
  return record;
}

RequestOutcome NotRun(ErrorCode code, const std::string& detail) {
  return RequestNotRun{Error{code, detail, {}}};
}

/// This attempt did not run, but an earlier one under the key may have.
RequestOutcome KeyUnchecked() {
  return RequestOutcomeUnknown{
      Error{ErrorCode::kStoreUnavailable,
            "this try did not run; whether an earlier one under this key ran "
            "cannot be checked now",
            {}}};
}

RequestOutcome Replay(const wire::KeyRecord& record) {
  if (!record.body_kept()) {
    return RequestOutcomeUnknown{
        Error{ErrorCode::kOutcomeUnknown,
              "it ran once; its answer was too long to keep",
              {}}};
  }
  Answer answer;
  answer.status = static_cast<int>(record.status());
  answer.body = record.body();
  for (const auto& header : record.headers()) {
    answer.headers.emplace_back(header.name(), header.value());
  }
  answer.headers.emplace_back("Zinniacart-Replayed", "true");
  return RequestAnswered{std::move(answer)};
}

}  // namespace

IdempotencyKeys::IdempotencyKeys(Store& store,
                                 const Clock& clock,
                                 RequestDispatcher& dispatcher)
    : m_store(store), m_clock(clock), m_dispatcher(dispatcher) {}

RequestOutcome IdempotencyKeys::Run(const CallerRequest& request,
                                    const std::string& key) {
  const StoreKey record_key = RecordKey(request, key);
  std::set<BackendId> excluded;
  // The version to swap from: 0 while no record is known.
  StoreVersion version;
  while (m_clock.Now() < request.deadline) {
    auto attempt = m_dispatcher.Prepare(request, excluded);
    const auto claimed = attempt ? Claim(request, record_key, version, *attempt)
                                 : GiveUp(record_key, version);
    if (!claimed && claimed.error().code == ErrorCode::kPreconditionFailed) {
      if (attempt) {
        m_dispatcher.Abandon(*attempt);
      }
      auto winner = AwaitWinner(request, record_key);
      if (auto* outcome = std::get_if<RequestOutcome>(&winner)) {
        return *outcome;
      }
      version = std::get<StoreVersion>(winner);
      continue;
    }
    if (!attempt) {
      return claimed ? RequestOutcome(RequestNotRun{attempt.error()})
                     : KeyUnchecked();
    }
    if (!claimed) {
      m_dispatcher.Abandon(*attempt);
      return KeyUnchecked();
    }
    version = *claimed;
    RequestOutcome outcome = m_dispatcher.Send(request, *attempt);
    if (!std::holds_alternative<RequestNotRun>(outcome)) {
      Complete(record_key, MakeClaim(request, *attempt), version, outcome,
               request.deadline);
      return outcome;
    }
    excluded.insert(attempt->route.backend);
    if (!m_dispatcher.MayRetry()) {
      const auto released = GiveUp(record_key, version);
      return released ? outcome : AfterLostRelease(request, record_key);
    }
  }
  return KeyUnchecked();
}

Result<StoreVersion> IdempotencyKeys::Claim(const CallerRequest& request,
                                            const StoreKey& key,
                                            StoreVersion version,
                                            const Attempt& attempt) {
  return Write(key, MakeClaim(request, attempt), version, request.deadline);
}

Result<StoreVersion> IdempotencyKeys::GiveUp(const StoreKey& key,
                                             StoreVersion version) {
  if (version != StoreVersion(0)) {
    // Nothing has run: leave the key as if it had never come.
    const auto deleted = m_store.Delete(key, version);
    if (!deleted) {
      return tl::unexpected(deleted.error());
    }
    return StoreVersion(0);
  }
  const auto known = m_store.Get(key);
  if (known) {
    return Fail(ErrorCode::kPreconditionFailed, "the key was taken");
  }
  if (known.error().code == ErrorCode::kNotFound) {
    return StoreVersion(0);
  }
  return tl::unexpected(known.error());
}

RequestOutcome IdempotencyKeys::AfterLostRelease(const CallerRequest& request,
                                                 const StoreKey& key) {
  auto winner = AwaitWinner(request, key);
  const auto* outcome = std::get_if<RequestOutcome>(&winner);
  return outcome ? *outcome : KeyUnchecked();
}

IdempotencyKeys::Winner IdempotencyKeys::AwaitWinner(
    const CallerRequest& request,
    const StoreKey& key) {
  const auto known = m_store.Get(key);
  if (!known) {
    const bool gone = known.error().code == ErrorCode::kNotFound;
    return gone ? Winner(StoreVersion(0)) : Winner(KeyUnchecked());
  }
  wire::KeyRecord record;
  if (!record.ParseFromString(known->bytes)) {
    return RequestOutcome(RequestOutcomeUnknown{
        Error{ErrorCode::kInternal, "unreadable key record", {}}});
  }
  if (record.fingerprint() != Fingerprint(request)) {
    return NotRun(ErrorCode::kConflict,
                  "the key was used for a different request");
  }
  if (record.state() == wire::KEY_DONE) {
    return Replay(record);
  }
  const RequestOutcome earlier = m_dispatcher.Resolve(
      RequestId(record.request_id()), record.address(),
      Incarnation(record.incarnation()), kOnItsWay, request.deadline);
  if (std::holds_alternative<RequestNotRun>(earlier)) {
    // It never ran and, by its agent's promise, never will.
    return known->version;
  }
  Complete(key, record, known->version, earlier, request.deadline);
  return earlier;
}

Result<StoreVersion> IdempotencyKeys::Write(const StoreKey& key,
                                            const wire::KeyRecord& record,
                                            StoreVersion expected,
                                            Instant deadline) {
  const auto lease = Lease();
  if (!lease) {
    return tl::unexpected(lease.error());
  }
  const std::string bytes = record.SerializeAsString();
  auto version = m_store.CompareAndSwap(key, bytes, expected, *lease);
  bool lost_answer =
      !version && version.error().code == ErrorCode::kOutcomeUnknown;
  while (lost_answer && m_clock.Now() < deadline) {
    std::this_thread::sleep_for(kRetryPause);
    const auto known = m_store.Get(key);
    if (known && known->bytes == bytes) {
      return known->version;
    }
    const bool absent = !known && known.error().code == ErrorCode::kNotFound;
    if (known && known->version != expected) {
      return Fail(ErrorCode::kPreconditionFailed, "the key was taken");
    }
    if (known || (absent && expected == StoreVersion(0))) {
      version = m_store.CompareAndSwap(key, bytes, expected, *lease);
      lost_answer =
          !version && (version.error().code == ErrorCode::kOutcomeUnknown ||
                       version.error().code == ErrorCode::kPreconditionFailed);
    }
  }
  return version;
}

void IdempotencyKeys::Complete(const StoreKey& key,
                               wire::KeyRecord record,
                               StoreVersion version,
                               const RequestOutcome& outcome,
                               Instant deadline) {
  const auto* answered = std::get_if<RequestAnswered>(&outcome);
  if (answered == nullptr) {
    return;
  }
  record.set_state(wire::KEY_DONE);
  record.set_status(answered->answer.status);
  const bool keep = answered->answer.body.size() <= kLargestKeptBody;
  record.set_body_kept(keep);
  if (keep) {
    record.set_body(answered->answer.body);
    for (const auto& [name, value] : answered->answer.headers) {
      auto& header = *record.add_headers();
      header.set_name(name);
      header.set_value(value);
    }
  }
  // Where this fails, the agent still remembers the answer for a while.
  Write(key, record, version, deadline);
}

Result<LeaseId> IdempotencyKeys::Lease() {
  const std::lock_guard lock(m_lease_mutex);
  const Instant now = m_clock.Now();
  const bool due =
      m_lease.value().empty() || now - m_lease_opened_at > kLeaseInterval;
  if (!due) {
    return m_lease;
  }
  auto lease = m_store.OpenLease(kRetention);
  if (!lease) {
    if (lease.error().code == ErrorCode::kOutcomeUnknown) {
      return Fail(ErrorCode::kStoreUnavailable, "no lease for the key");
    }
    return lease;
  }
  m_lease = *lease;
  m_lease_opened_at = now;
  return m_lease;
}

}  // namespace zinniacart
