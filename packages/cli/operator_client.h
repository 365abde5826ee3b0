#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "base/error.h"
#include "ports/http_client.h"

namespace zinniacart {

/// An operator's calls to an entry.
class OperatorClient final {
 public:
  /// @param author stands in the audit trail.
  OperatorClient(Endpoint entry, std::string author);

  /// Declares a resource or submits a job, by its "kind".
  /// @param expected where set, the serial that last changed the resource.
  Result<nlohmann::json> Apply(const nlohmann::json& body,
                               std::optional<std::uint64_t> expected);
  /// Reads "kind/name", a whole kind, or "job/TEAM/NAME".
  Result<nlohmann::json> Get(const std::string& what);
  Result<nlohmann::json> Delete(const std::string& what);
  Result<nlohmann::json> Read(const std::string& path);

  /// Waits until `serial` is in force everywhere.
  Result<void> AwaitInForce(std::uint64_t serial, Duration patience);

 private:
  Result<nlohmann::json> Call(const std::string& method,
                              const std::string& path,
                              const std::string& body,
                              const HttpHeaders& headers);
  HttpHeaders ChangeHeaders() const;

  HttpClient m_client;
  const std::string m_author;
};

}  // namespace zinniacart
