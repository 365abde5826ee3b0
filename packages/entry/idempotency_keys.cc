#include "entry/idempotency_keys.h"

#include <algorithm>
#include <chrono>
#include <thread>
#include <utility>

namespace zinniacart {
namespace {

constexpr std::chrono::milliseconds kRetryInterval{30};
/// A claimed attempt may take this long to reach its agent. Only after that is
/// the agent asked to guarantee that it refuses the attempt.
constexpr Duration kArrivalWindow{1'000};

std::uint64_t Fingerprint(const CallerRequest& request) {
  return StableHash(request.service.value() + "\n" + request.method + "\n" +
                    request.path + "\n" + request.body);
}

/// The caller's key may contain any visible character, which a store key may
/// not; it is therefore written in hexadecimal.
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

RequestOutcome MakeNotRun(ErrorCode code, const std::string& detail) {
  return RequestNotRun{Error{code, detail, {}}};
}

/// The outcome if this attempt did not run and the store cannot show whether an
/// earlier one under the key did.
RequestOutcome MakeKeyUnverified() {
  return RequestOutcomeUnknown{
      Error{ErrorCode::kStoreUnavailable,
            "this try did not run; whether an earlier one under this key ran "
            "cannot be checked now",
            {}}};
}

/// @returns the stored answer of a finished request, marked as replayed.
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
  // The record's version to swap from: 0 while no record is known.
  StoreVersion version;
  while (m_clock.Now() < request.deadline) {
    auto attempt = m_dispatcher.Prepare(request, excluded);
    const auto claimed = attempt
                             ? ClaimKey(request, record_key, version, *attempt)
                             : ReleaseKey(record_key, version);
    if (!claimed && claimed.error().code == ErrorCode::kPreconditionFailed) {
      if (attempt) {
        m_dispatcher.EndAttempt(*attempt);
      }
      auto holder = ResolveHolder(request, record_key);
      if (auto* outcome = std::get_if<RequestOutcome>(&holder)) {
        return *outcome;
      }
      version = std::get<StoreVersion>(holder);
      continue;
    }
    if (!attempt) {
      return claimed ? RequestOutcome(RequestNotRun{attempt.error()})
                     : MakeKeyUnverified();
    }
    if (!claimed) {
      m_dispatcher.EndAttempt(*attempt);
      return MakeKeyUnverified();
    }
    version = *claimed;
    RequestOutcome outcome = m_dispatcher.Send(request, *attempt);
    if (!std::holds_alternative<RequestNotRun>(outcome)) {
      RecordAnswer(record_key, MakeClaim(request, *attempt), version, outcome,
                   request.deadline);
      return outcome;
    }
    excluded.insert(attempt->route.backend);
    if (!m_dispatcher.TakeRetry()) {
      const auto released = ReleaseKey(record_key, version);
      return released ? outcome : ResolveFailedRelease(request, record_key);
    }
  }
  return MakeKeyUnverified();
}

Result<StoreVersion> IdempotencyKeys::ClaimKey(const CallerRequest& request,
                                               const StoreKey& key,
                                               StoreVersion version,
                                               const Attempt& attempt) {
  return WriteRecord(key, MakeClaim(request, attempt), version,
                     request.deadline);
}

Result<StoreVersion> IdempotencyKeys::ReleaseKey(const StoreKey& key,
                                                 StoreVersion version) {
  if (version != StoreVersion(0)) {
    // Nothing has run: remove all trace of the key.
    const auto deleted = m_store.Delete(key, version);
    if (!deleted) {
      return tl::unexpected(deleted.error());
    }
    return StoreVersion(0);
  }
  const auto stored = m_store.Get(key);
  if (stored) {
    return Fail(ErrorCode::kPreconditionFailed, "the key was taken");
  }
  if (stored.error().code == ErrorCode::kNotFound) {
    return StoreVersion(0);
  }
  return tl::unexpected(stored.error());
}

RequestOutcome IdempotencyKeys::ResolveFailedRelease(
    const CallerRequest& request,
    const StoreKey& key) {
  auto holder = ResolveHolder(request, key);
  const auto* outcome = std::get_if<RequestOutcome>(&holder);
  return outcome ? *outcome : MakeKeyUnverified();
}

IdempotencyKeys::HolderState IdempotencyKeys::ResolveHolder(
    const CallerRequest& request,
    const StoreKey& key) {
  const auto stored = m_store.Get(key);
  if (!stored) {
    const bool gone = stored.error().code == ErrorCode::kNotFound;
    return gone ? HolderState(StoreVersion(0))
                : HolderState(MakeKeyUnverified());
  }
  wire::KeyRecord record;
  if (!record.ParseFromString(stored->bytes)) {
    return RequestOutcome(RequestOutcomeUnknown{
        Error{ErrorCode::kInternal, "unreadable key record", {}}});
  }
  if (record.fingerprint() != Fingerprint(request)) {
    return MakeNotRun(ErrorCode::kConflict,
                      "the key was used for a different request");
  }
  if (record.state() == wire::KEY_DONE) {
    return Replay(record);
  }
  const RequestOutcome earlier = m_dispatcher.Resolve(
      RequestId(record.request_id()), record.address(),
      Incarnation(record.incarnation()), kArrivalWindow, request.deadline);
  if (std::holds_alternative<RequestNotRun>(earlier)) {
    // It did not run, and its agent guarantees that it never will.
    return stored->version;
  }
  RecordAnswer(key, record, stored->version, earlier, request.deadline);
  return earlier;
}

Result<StoreVersion> IdempotencyKeys::WriteRecord(const StoreKey& key,
                                                  const wire::KeyRecord& record,
                                                  StoreVersion expected,
                                                  Instant deadline) {
  const auto lease = CurrentLease();
  if (!lease) {
    return tl::unexpected(lease.error());
  }
  const std::string bytes = record.SerializeAsString();
  auto version = m_store.CompareAndSwap(key, bytes, expected, *lease);
  bool reply_lost =
      !version && version.error().code == ErrorCode::kOutcomeUnknown;
  while (reply_lost && m_clock.Now() < deadline) {
    std::this_thread::sleep_for(kRetryInterval);
    const auto stored = m_store.Get(key);
    if (stored && stored->bytes == bytes) {
      return stored->version;
    }
    const bool absent = !stored && stored.error().code == ErrorCode::kNotFound;
    if (stored && stored->version != expected) {
      return Fail(ErrorCode::kPreconditionFailed, "the key was taken");
    }
    if (stored || (absent && expected == StoreVersion(0))) {
      version = m_store.CompareAndSwap(key, bytes, expected, *lease);
      reply_lost =
          !version && (version.error().code == ErrorCode::kOutcomeUnknown ||
                       version.error().code == ErrorCode::kPreconditionFailed);
    }
  }
  return version;
}

void IdempotencyKeys::RecordAnswer(const StoreKey& key,
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
  const bool keep = answered->answer.body.size() <= kMaxStoredBodyBytes;
  record.set_body_kept(keep);
  if (keep) {
    record.set_body(answered->answer.body);
    for (const auto& [name, value] : answered->answer.headers) {
      auto& header = *record.add_headers();
      header.set_name(name);
      header.set_value(value);
    }
  }
  // If this fails, the agent's ledger still keeps the answer for a limited
  // time.
  WriteRecord(key, record, version, deadline);
}

Result<LeaseId> IdempotencyKeys::CurrentLease() {
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
