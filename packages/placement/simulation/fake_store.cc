#include "placement/simulation/fake_store.h"

#include <memory>

#include "base/invariant.h"
#include "configuration/configuration_writer.h"

namespace zinniacart::simulation {
namespace {

constexpr Duration kClientTimeout{1'000};

}  // namespace

template <typename Value>
void FakeStore::Call(std::function<Result<Value>()> effect,
                     std::function<void(Result<Value>)> done) {
  const bool slow = m_events.Chance(m_slow);
  const Duration there =
      slow ? m_events.Delay(100, 4'000) : m_events.Delay(1, 4);
  const Duration back = m_events.Delay(1, 4);
  const bool lost = m_events.Chance(m_lost);
  // Exactly one of the answer and the client's timeout reaches the caller.
  auto answered = std::make_shared<bool>(false);
  const auto answer_once = [answered, done](Result<Value> result) {
    if (!*answered) {
      *answered = true;
      done(std::move(result));
    }
  };
  m_events.After(there, [this, effect, answer_once, back, lost] {
    if (m_down) {
      m_events.After(back, [answer_once] {
        answer_once(Fail(ErrorCode::kStoreUnavailable, "outage"));
      });
      return;
    }
    DropLapsed();
    Result<Value> result = effect();
    if (!lost) {
      m_events.After(back, [answer_once, result] { answer_once(result); });
    }
  });
  m_events.After(kClientTimeout, [answer_once] {
    answer_once(Fail(ErrorCode::kOutcomeUnknown, "timeout"));
  });
}

void FakeStore::Get(const StoreKey& key,
                    std::function<void(Result<StoreValue>)> done) {
  Call<StoreValue>(
      [this, key]() -> Result<StoreValue> {
        const auto found = m_rows.find(key);
        if (found == m_rows.end()) {
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
  Call<StoreVersion>([this, key, bytes, expected,
                      lease] { return Swap(key, bytes, expected, lease); },
                     std::move(done));
}

Result<StoreVersion> FakeStore::Swap(const StoreKey& key,
                                     const std::string& bytes,
                                     StoreVersion expected,
                                     const LeaseId& lease) {
  const auto found = m_rows.find(key);
  const StoreVersion current =
      found == m_rows.end() ? StoreVersion(0) : found->second.version;
  if (current != expected) {
    return Fail(ErrorCode::kPreconditionFailed, key.value());
  }
  if (!lease.value().empty() && m_leases.count(lease) == 0) {
    return Fail(ErrorCode::kNotFound, lease.value());
  }
  const StoreVersion version(++m_version_count);
  m_rows[key] = Row{bytes, version, lease};
  return version;
}

void FakeStore::List(
    const std::string& prefix,
    std::function<void(Result<std::vector<StoreValue>>)> done) {
  Call<std::vector<StoreValue>>(
      [this, prefix]() -> Result<std::vector<StoreValue>> {
        std::vector<StoreValue> values;
        for (const auto& [key, row] : m_rows) {
          if (key.value().starts_with(prefix)) {
            values.push_back(StoreValue{key, row.bytes, row.version});
          }
        }
        return values;
      },
      std::move(done));
}

void FakeStore::OpenLease(Duration ttl,
                          std::function<void(Result<LeaseId>)> done) {
  Call<LeaseId>(
      [this, ttl]() -> Result<LeaseId> {
        const LeaseId lease(std::to_string(++m_lease_count));
        m_leases[lease] = Lease{ttl, m_events.now() + ttl};
        return lease;
      },
      std::move(done));
}

void FakeStore::RenewLease(const LeaseId& lease,
                           std::function<void(Result<void>)> done) {
  Call<void>(
      [this, lease]() -> Result<void> {
        const auto found = m_leases.find(lease);
        if (found == m_leases.end()) {
          return Fail(ErrorCode::kNotFound, lease.value());
        }
        found->second.ends = m_events.now() + found->second.ttl;
        return {};
      },
      std::move(done));
}

bool FakeStore::Change(const std::string& key, const Resource& resource) {
  if (m_down) {
    return false;
  }
  Configuration configuration;
  const auto found = m_rows.find(ConfigurationWriter::Key());
  if (found != m_rows.end()) {
    configuration = *Configuration::Parse(found->second.bytes);
  }
  ChangeRequest request;
  request.change_id = "change-" + std::to_string(++m_change_count);
  request.author = "operator";
  request.key = key;
  request.resource = resource;
  const auto appended = configuration.Append(request);
  CheckInvariant(appended.has_value(), "a simulated change applies");
  m_rows[ConfigurationWriter::Key()] =
      Row{configuration.Serialize(), StoreVersion(++m_version_count), {}};
  return true;
}

std::string FakeStore::Peek(const StoreKey& key) const {
  const auto found = m_rows.find(key);
  return found == m_rows.end() ? std::string() : found->second.bytes;
}

void FakeStore::DropLapsed() {
  std::erase_if(m_leases, [this](const auto& row) {
    return row.second.ends < m_events.now();
  });
  std::erase_if(m_rows, [this](const auto& row) {
    const LeaseId& lease = row.second.lease;
    return !lease.value().empty() && m_leases.count(lease) == 0;
  });
}

}  // namespace zinniacart::simulation
