#include "ports/http_store.h"

#include <cstdlib>
#include <nlohmann/json.hpp>
#include <utility>

namespace zinniacart {
namespace {

constexpr int kOk = 200;
constexpr int kNotModified = 304;
constexpr int kNotFound = 404;
constexpr int kPreconditionFailed = 412;
constexpr int kServiceUnavailable = 503;

Error ToError(const HttpAnswer& answer) {
  switch (answer.status) {
    case kNotFound:
      return Error{ErrorCode::kNotFound, answer.body, {}};
    case kPreconditionFailed:
      return Error{ErrorCode::kPreconditionFailed, answer.body, {}};
    case kServiceUnavailable:
      return Error{ErrorCode::kStoreUnavailable, answer.body, {}};
    default:
      return Error{ErrorCode::kOutcomeUnknown, answer.body, {}};
  }
}

/// Maps `kUnreachable` to `kStoreUnavailable`: without a connection nothing was
/// sent, so the call had no effect.
Error ToStoreError(Error error) {
  if (error.code == ErrorCode::kUnreachable) {
    error.code = ErrorCode::kStoreUnavailable;
  }
  return error;
}

Result<HttpAnswer> RequireSuccess(Result<HttpAnswer> answer) {
  if (!answer) {
    return tl::unexpected<Error>(ToStoreError(answer.error()));
  }
  if (answer->status != kOk && answer->status != kNotModified) {
    return tl::unexpected<Error>(ToError(*answer));
  }
  return answer;
}

StoreVersion ParseVersion(const std::string& text) {
  return StoreVersion(std::strtoull(text.c_str(), nullptr, 10));
}

HttpHeaders IfMatch(StoreVersion expected) {
  return {{"If-Match", std::to_string(expected.value())}};
}

std::string KeyPath(const StoreKey& key) {
  return "/v1/kv/" + key.value();
}

StoreValue ToValue(const StoreKey& key, HttpAnswer answer) {
  return StoreValue{key, std::move(answer.body), ParseVersion(answer.version)};
}

}  // namespace

HttpStore::HttpStore(Endpoint endpoint, Duration timeout)
    : m_client(std::move(endpoint), timeout) {}

Result<StoreValue> HttpStore::Get(const StoreKey& key) {
  auto answer = RequireSuccess(m_client.Call("GET", KeyPath(key), {}));
  if (!answer) {
    return tl::unexpected<Error>(answer.error());
  }
  return ToValue(key, std::move(*answer));
}

Result<StoreValue> HttpStore::GetIfChanged(const StoreKey& key,
                                           StoreVersion known) {
  return Watch(key, known, Duration(0));
}

Result<StoreValue> HttpStore::Watch(const StoreKey& key,
                                    StoreVersion known,
                                    Duration wait) {
  const std::string path = KeyPath(key) +
                           "?known=" + std::to_string(known.value()) +
                           "&wait_ms=" + std::to_string(wait.count());
  auto answer = RequireSuccess(m_client.Call("GET", path, {}, {}, wait));
  if (!answer) {
    return tl::unexpected<Error>(answer.error());
  }
  if (answer->status == kNotModified) {
    return StoreValue{key, {}, known};
  }
  return ToValue(key, std::move(*answer));
}

Result<std::vector<StoreValue>> HttpStore::List(const std::string& prefix) {
  auto answer =
      RequireSuccess(m_client.Call("GET", "/v1/list?prefix=" + prefix, {}));
  if (!answer) {
    return tl::unexpected<Error>(answer.error());
  }
  const auto rows = nlohmann::json::from_msgpack(answer->body, true, false);
  if (!rows.is_array()) {
    return Fail(ErrorCode::kOutcomeUnknown, "unreadable list");
  }
  std::vector<StoreValue> values;
  for (const auto& row : rows) {
    const auto& bytes = row.at("value").get_binary();
    values.push_back(StoreValue{StoreKey(row.at("key").get<std::string>()),
                                std::string(bytes.begin(), bytes.end()),
                                StoreVersion(row.at("version"))});
  }
  return values;
}

Result<StoreVersion> HttpStore::CompareAndSwap(const StoreKey& key,
                                               const std::string& bytes,
                                               StoreVersion expected,
                                               const LeaseId& lease) {
  std::string path = KeyPath(key);
  if (!lease.value().empty()) {
    path += "?lease=" + lease.value();
  }
  auto answer =
      RequireSuccess(m_client.Call("PUT", path, bytes, IfMatch(expected)));
  if (!answer) {
    return tl::unexpected<Error>(answer.error());
  }
  return ParseVersion(answer->version);
}

Result<void> HttpStore::Delete(const StoreKey& key, StoreVersion expected) {
  auto answer = RequireSuccess(
      m_client.Call("DELETE", KeyPath(key), {}, IfMatch(expected)));
  if (!answer) {
    return tl::unexpected<Error>(answer.error());
  }
  return {};
}

Result<LeaseId> HttpStore::OpenLease(Duration ttl) {
  const std::string path = "/v1/leases?ttl_ms=" + std::to_string(ttl.count());
  auto answer = RequireSuccess(m_client.Call("POST", path, {}));
  if (!answer) {
    return tl::unexpected<Error>(answer.error());
  }
  return LeaseId(answer->body);
}

Result<void> HttpStore::RenewLease(const LeaseId& lease) {
  auto answer =
      RequireSuccess(m_client.Call("PUT", "/v1/leases/" + lease.value(), {}));
  if (!answer) {
    return tl::unexpected<Error>(answer.error());
  }
  return {};
}

}  // namespace zinniacart
