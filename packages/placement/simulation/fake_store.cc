#include "placement/simulation/fake_store.h"

#include <memory>

#include "base/invariant.h"
#include "configuration/configuration_writer.h"

namespace zinniacart::simulation {
namespace {

/// A call without a response fails after this long, in milliseconds.
constexpr Duration kClientTimeout{1'000};

}  // namespace

template <typename Value>
void FakeStore::SimulateCall(std::function<Result<Value>()> effect,
                             std::function<void(Result<Value>)> done) {
  const bool slow = m_events.RandomBool(m_slow_call_probability);
  const Duration request_delay =
      slow ? m_events.RandomDelay(100, 4'000) : m_events.RandomDelay(1, 4);
  const Duration response_delay = m_events.RandomDelay(1, 4);
  const bool response_lost = m_events.RandomBool(m_lost_response_probability);
  // Only the first of the response and the client's timeout reaches the caller.
  auto answered = std::make_shared<bool>(false);
  const auto answer_once = [answered, done](Result<Value> result) {
    if (!*answered) {
      *answered = true;
      done(std::move(result));
    }
  };
  m_events.ScheduleAfter(request_delay, [this, effect, answer_once,
                                         response_delay, response_lost] {
    if (m_down) {
      m_events.ScheduleAfter(response_delay, [answer_once] {
        answer_once(Fail(ErrorCode::kStoreUnavailable, "outage"));
      });
      return;
    }
    RemoveExpired();
    Result<Value> result = effect();
    if (!response_lost) {
      m_events.ScheduleAfter(response_delay,
                             [answer_once, result] { answer_once(result); });
    }
  });
  m_events.ScheduleAfter(kClientTimeout, [answer_once] {
    answer_once(Fail(ErrorCode::kOutcomeUnknown, "timeout"));
  });
}

void FakeStore::Get(const StoreKey& key,
                    std::function<void(Result<StoreValue>)> done) {
  SimulateCall<StoreValue>(
      [this, key]() -> Result<StoreValue> {
        const auto found = m_values.find(key);
        if (found == m_values.end()) {
          return Fail(ErrorCode::kNotFound, key.value());
        }
        return StoreValue{key, found->second.bytes, found->second.version};
      },
      std::move(done));
}

void FakeStore::CompareAndSwap(const StoreKey& key,
                               const std::string& bytes,
                               StoreVersion expected,
                               const LeaseId& lease,
                               std::function<void(Result<StoreVersion>)> done) {
  SimulateCall<StoreVersion>(
      [this, key, bytes, expected, lease] {
        return ApplyCompareAndSwap(key, bytes, expected, lease);
      },
      std::move(done));
}

Result<StoreVersion> FakeStore::ApplyCompareAndSwap(const StoreKey& key,
                                                    const std::string& bytes,
                                                    StoreVersion expected,
                                                    const LeaseId& lease) {
  const auto found = m_values.find(key);
  const StoreVersion current =
      found == m_values.end() ? StoreVersion(0) : found->second.version;
  if (current != expected) {
    return Fail(ErrorCode::kPreconditionFailed, key.value());
  }
  if (!lease.value().empty() && m_leases.count(lease) == 0) {
    return Fail(ErrorCode::kNotFound, lease.value());
  }
  const StoreVersion version(++m_version_count);
  m_values[key] = StoredValue{bytes, version, lease};
  return version;
}

void FakeStore::List(
    const std::string& prefix,
    std::function<void(Result<std::vector<StoreValue>>)> done) {
  SimulateCall<std::vector<StoreValue>>(
      [this, prefix]() -> Result<std::vector<StoreValue>> {
        std::vector<StoreValue> values;
        for (const auto& [key, stored] : m_values) {
          if (key.value().starts_with(prefix)) {
            values.push_back(StoreValue{key, stored.bytes, stored.version});
          }
        }
        return values;
      },
      std::move(done));
}

void FakeStore::OpenLease(Duration ttl,
                          std::function<void(Result<LeaseId>)> done) {
  SimulateCall<LeaseId>(
      [this, ttl]() -> Result<LeaseId> {
        const LeaseId lease(std::to_string(++m_lease_count));
        m_leases[lease] = Lease{ttl, m_events.now() + ttl};
        return lease;
      },
      std::move(done));
}

void FakeStore::RenewLease(const LeaseId& lease,
                           std::function<void(Result<void>)> done) {
  SimulateCall<void>(
      [this, lease]() -> Result<void> {
        const auto found = m_leases.find(lease);
        if (found == m_leases.end()) {
          return Fail(ErrorCode::kNotFound, lease.value());
        }
        found->second.expires_at = m_events.now() + found->second.ttl;
        return {};
      },
      std::move(done));
}

bool FakeStore::ApplyChange(const std::string& key, const Resource& resource) {
  if (m_down) {
    return false;
  }
  Configuration configuration;
  const auto found = m_values.find(ConfigurationWriter::Key());
  if (found != m_values.end()) {
    configuration = *Configuration::Parse(found->second.bytes);
  }
  ChangeRequest request;
  request.change_id = "change-" + std::to_string(++m_change_count);
  request.author = "operator";
  request.key = key;
  request.resource = resource;
  const auto appended = configuration.Append(request);
  CheckInvariant(appended.has_value(),
                 "the configuration accepts every simulated operator change");
  m_values[ConfigurationWriter::Key()] = StoredValue{
      configuration.Serialize(), StoreVersion(++m_version_count), {}};
  return true;
}

std::string FakeStore::Peek(const StoreKey& key) const {
  const auto found = m_values.find(key);
  return found == m_values.end() ? std::string() : found->second.bytes;
}

void FakeStore::RemoveExpired() {
  std::erase_if(m_leases, [this](const auto& row) {
    return row.second.expires_at < m_events.now();
  });
  std::erase_if(m_values, [this](const auto& row) {
    const LeaseId& lease = row.second.lease;
    return !lease.value().empty() && m_leases.count(lease) == 0;
  });
}

}  // namespace zinniacart::simulation
