#pragma once

#include "ports/http_client.h"
#include "ports/store.h"

namespace zinniacart {

/// Accesses the platform's store over HTTP. The ETag header carries a key's
/// version, the If-Match header the expected version of a write.
class HttpStore final : public Store {
 public:
  /// @param timeout in milliseconds; bounds each step of a call as in
  ///                `HttpClient`. `Watch` adds its `wait`.
  HttpStore(Endpoint endpoint, Duration timeout);

  Result<StoreValue> Get(const StoreKey& key) override;
  Result<StoreValue> GetIfChanged(const StoreKey& key,
                                  StoreVersion known) override;
  Result<StoreValue> Watch(const StoreKey& key,
                           StoreVersion known,
                           Duration wait) override;
  Result<std::vector<StoreValue>> List(const std::string& prefix) override;
  Result<StoreVersion> CompareAndSwap(const StoreKey& key,
                                      const std::string& bytes,
                                      StoreVersion expected,
                                      const LeaseId& lease) override;
  Result<void> Delete(const StoreKey& key, StoreVersion expected) override;
  Result<LeaseId> OpenLease(Duration ttl) override;
  Result<void> RenewLease(const LeaseId& lease) override;

 private:
  HttpClient m_client;
};

}  // namespace zinniacart
