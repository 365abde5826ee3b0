#pragma once

#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <variant>

#include "base/clock.h"
#include "base/error.h"
#include "base/ids.h"
#include "base/resources.h"

namespace zinniacart {

/// A latency-critical service and what its replicas need.
struct ServiceResource {
  ServiceId name;
  TeamId team;
  int replicas = 0;
  Resources demand;
  Duration latency_target{100};
  int slots = 8;         ///< Requests one backend server runs at once.
  int connections = 64;  ///< Connections one backend server accepts.

  bool operator==(const ServiceResource&) const = default;
};

/// A team and the amount its batch work may hold at once.
struct TeamResource {
  TeamId name;
  Resources quota;

  bool operator==(const TeamResource&) const = default;
};

/// Whether operators allow work in a failure domain.
struct DomainResource {
  DomainId name;
  bool available = true;

  bool operator==(const DomainResource&) const = default;
};

/// Whether operators allow work on a host.
struct HostResource {
  HostId name;
  bool available = true;

  bool operator==(const HostResource&) const = default;
};

/// Whether operators allow requests to a backend server.
struct BackendResource {
  BackendId name;
  bool available = true;

  bool operator==(const BackendResource&) const = default;
};

/// One thing that operators declare.
using Resource = std::variant<ServiceResource,
                              TeamResource,
                              DomainResource,
                              HostResource,
                              BackendResource>;

/// Parses and validates a declaration.
/// @returns `kInvalidArgument` whose `field` names the part at fault.
Result<Resource> ParseResource(const nlohmann::json& body);

/// @returns the declaration of `resource`, as `ParseResource` takes it.
nlohmann::json ToJson(const Resource& resource);

/// @returns "kind/name", which identifies a resource.
std::string ResourceKey(const Resource& resource);

/// Reads a demand or capacity object.
/// @param field put before the part's name in errors.
Result<Resources> ParseResources(const nlohmann::json& body,
                                 const std::string& field);

/// @returns `resources` as `ParseResources` takes it.
nlohmann::json ToJson(const Resources& resources);

/// Checks a name that becomes part of keys and paths.
/// @returns `kInvalidArgument` naming `field` unless it is 1 to 63 of the
/// characters a-z, 0-9, '-' and '.', starting with a letter or digit.
Result<std::string> ParseName(const nlohmann::json& body,
                              const std::string& field);

}  // namespace zinniacart
