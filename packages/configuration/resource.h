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

/// A latency-critical service, the number of its replicas and what each replica
/// needs. The defaults are those of `ParseResource` for absent fields.
struct ServiceResource {
  ServiceId name;
  TeamId team;
  int replicas = 0;
  Resources demand;              ///< What one replica needs.
  Duration latency_target{100};  ///< Milliseconds per request.
  int slots = 8;  ///< Requests that one backend server runs concurrently.
  int connections = 64;  ///< Connections that one backend server accepts.

  bool operator==(const ServiceResource&) const = default;
};

/// A team and the total resources that its running batch work may hold.
struct TeamResource {
  TeamId name;
  Resources quota;

  bool operator==(const TeamResource&) const = default;
};

/// Whether operators allow work in a failure domain. Work is allowed in a
/// domain without a declaration.
struct DomainResource {
  DomainId name;
  bool available = true;

  bool operator==(const DomainResource&) const = default;
};

/// Whether operators allow work on a host. Work is allowed on a host without a
/// declaration, as far as its failure domain allows it.
struct HostResource {
  HostId name;
  bool available = true;

  bool operator==(const HostResource&) const = default;
};

/// Whether operators allow requests to a backend server. Requests are allowed
/// to a backend server without a declaration.
struct BackendResource {
  BackendId name;
  bool available = true;

  bool operator==(const BackendResource&) const = default;
};

/// One declaration by operators, of any of the kinds of resource.
using Resource = std::variant<ServiceResource,
                              TeamResource,
                              DomainResource,
                              HostResource,
                              BackendResource>;

/// Parses and validates a declaration. Unknown fields are errors; absent
/// optional fields take their defaults.
/// @param body an object with `kind`, `name` and the fields of that kind.
/// @returns the resource, or `kInvalidArgument` whose `field` is the path of
/// the invalid field, such as "quota.millicores". It is empty if `body` is not
/// an object.
Result<Resource> ParseResource(const nlohmann::json& body);

/// @returns the declaration of `resource` in the form that `ParseResource`
/// accepts.
nlohmann::json ToJson(const Resource& resource);

/// @returns "kind/name", the key that identifies a resource in a configuration.
std::string ResourceKey(const Resource& resource);

/// Parses an amount of resources, such as a demand or a quota: an object with
/// `millicores`, `memory_mb` and `accelerators`, each 0 where absent.
/// @param body the object to parse.
/// @param field the path of `body` in the request, used as a prefix in errors.
/// @returns the resources, or `kInvalidArgument` naming the invalid field, for
/// instance "demand.memory_mb".
Result<Resources> ParseResources(const nlohmann::json& body,
                                 const std::string& field);

/// @returns `resources` in the form that `ParseResources` accepts.
nlohmann::json ToJson(const Resources& resources);

/// Parses a name. The characters are restricted because names become parts of
/// store keys and URL paths.
/// @param body the object that holds the name.
/// @param field the key of the name in `body`.
/// @returns the name, or `kInvalidArgument` naming `field` unless it is a
/// string of 1 to 63 of the characters a-z, 0-9, '-' and '.', starting with a
/// letter or a digit.
Result<std::string> ParseName(const nlohmann::json& body,
                              const std::string& field);

}  // namespace zinniacart
