#include "entry/idempotency_keys.h"

#include <algorithm>
#include <chrono>
#include <thread>
#include <utility>

namespace zinniacart {
namespace {

constexpr std::chrono::milliseconds kRetryPause{30};

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
  std::optional<Held> held;
  while (true) {
    auto attempt = m_dispatcher.Prepare(request, excluded);
    if (!attempt) {
      const RequestOutcome refusal = RequestNotRun{attempt.error()};
      // A repetition may be answered even where nothing new can be sent.
      return held ? GiveUp(request, record_key, *held, refusal)
                  : FollowWinner(request, record_key);
    }
    auto decision = held ? Reclaim(request, record_key, *held, *attempt)
                         : Claim(request, record_key, *attempt);
    if (auto* outcome = std::get_if<RequestOutcome>(&decision)) {
      m_dispatcher.Abandon(*attempt);
      return *outcome;
    }
    held = std::get<Held>(std::move(decision));
    RequestOutcome outcome = m_dispatcher.Send(request, *attempt);
    if (!std::holds_alternative<RequestNotRun>(outcome)) {
      Complete(record_key, *held, outcome, request.deadline);
      return outcome;
    }
    excluded.insert(attempt->route.backend);
    const bool retry =
        m_clock.Now() < request.deadline && m_dispatcher.MayRetry();
    if (!retry) {
      return GiveUp(request, record_key, *held, outcome);
    }
  }
}

RequestOutcome IdempotencyKeys::GiveUp(const CallerRequest& request,
                                       const StoreKey& key,
                                       const Held& held,
                                       const RequestOutcome& refusal) {
  // Nothing has run: leave the key as if it had never come.
  const auto deleted = m_store.Delete(key, held.version);
  const bool taken =
      !deleted && deleted.error().code == ErrorCode::kPreconditionFailed;
  return taken ? FollowWinner(request, key) : refusal;
}

RequestOutcome IdempotencyKeys::FollowWinner(const CallerRequest& request,
                                             const StoreKey& key) {
  const auto known = m_store.Get(key);
  if (!known && known.error().code == ErrorCode::kNotFound) {
    return NotRun(ErrorCode::kNoBackend, "no backend server can be reached");
  }
  if (!known) {
    return KeyUnchecked();
  }
  auto decision = Follow(request, key, *known, Attempt{});
  const auto* outcome = std::get_if<RequestOutcome>(&decision);
  return outcome ? *outcome
                 : NotRun(ErrorCode::kNoBackend, "the earlier try did not run");
}

IdempotencyKeys::Decision IdempotencyKeys::Claim(const CallerRequest& request,
                                                 const StoreKey& key,
                                                 const Attempt& attempt) {
  const wire::KeyRecord record = MakeClaim(request, attempt);
  while (m_clock.Now() < request.deadline) {
    const auto version = Write(key, record, StoreVersion(0), request.deadline);
    if (version) {
      return Held{record, *version};
    }
    if (version.error().code != ErrorCode::kPreconditionFailed) {
      return KeyUnchecked();
    }
    const auto known = m_store.Get(key);
    if (known) {
      return Follow(request, key, *known, attempt);
    }
    if (known.error().code != ErrorCode::kNotFound) {
      return KeyUnchecked();
    }
  }
  return KeyUnchecked();
}

IdempotencyKeys::Decision IdempotencyKeys::Reclaim(const CallerRequest& request,
                                                   const StoreKey& key,
                                                   const Held& held,
                                                   const Attempt& attempt) {
  const wire::KeyRecord record = MakeClaim(request, attempt);
  const auto version = Write(key, record, held.version, request.deadline);
  if (version) {
    return Held{record, *version};
  }
  if (version.error().code == ErrorCode::kPreconditionFailed) {
    return FollowWinner(request, key);
  }
  return KeyUnchecked();
}

IdempotencyKeys::Decision IdempotencyKeys::Follow(const CallerRequest& request,
                                                  const StoreKey& key,
                                                  const StoreValue& value,
                                                  const Attempt& attempt) {
  wire::KeyRecord record;
  if (!record.ParseFromString(value.bytes)) {
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
  const RequestOutcome earlier =
      m_dispatcher.Resolve(RequestId(record.request_id()), record.address(),
                           Incarnation(record.incarnation()), request.deadline);
  if (!std::holds_alternative<RequestNotRun>(earlier)) {
    Complete(key, Held{record, value.version}, earlier, request.deadline);
    return earlier;
  }
  const Held held{record, value.version};
  if (attempt.request.value().empty()) {
    return held;
  }
  // The earlier attempt never ran and, by its agent's promise, never will.
  return Reclaim(request, key, held, attempt);
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
                               Held held,
                               const RequestOutcome& outcome,
                               Instant deadline) {
  const auto* answered = std::get_if<RequestAnswered>(&outcome);
  if (answered == nullptr) {
    return;
  }
  held.record.set_state(wire::KEY_DONE);
  held.record.set_status(answered->answer.status);
  const bool keep = answered->answer.body.size() <= kLargestKeptBody;
  held.record.set_body_kept(keep);
  if (keep) {
    held.record.set_body(answered->answer.body);
    for (const auto& [name, value] : answered->answer.headers) {
      auto& header = *held.record.add_headers();
      header.set_name(name);
      header.set_value(value);
    }
  }
  // Where this fails, the agent still remembers the answer for a while.
  Write(key, held.record, held.version, deadline);
}

Result<LeaseId> IdempotencyKeys::Lease() {
  const std::lock_guard lock(m_lease_mutex);
  const Instant now = m_clock.Now();
  const bool due =
      m_lease.value().empty() || now - m_lease_opened_at > kLeaseInterval;
  if (!due) {
    return m_lease;
  }
  const auto lease = m_store.OpenLease(kRetention);
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
