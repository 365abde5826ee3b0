#include "configuration/resource.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace zinniacart {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxNameLength = 63;
/// Upper limit of each of millicores, megabytes of memory and accelerators.
constexpr std::int64_t kMaxAmount = 1'000'000'000;
constexpr std::int64_t kMaxReplicas = 10'000;
constexpr std::int64_t kMaxLatencyTargetMs = 600'000;
constexpr std::int64_t kMaxSlots = 1024;
constexpr std::int64_t kMaxConnections = 4096;

/// The values that an integer may take, both ends included.
struct Range {
  std::int64_t minimum = 0;
  std::int64_t maximum = 0;
};

tl::unexpected<Error> Invalid(const std::string& field,
                              const std::string& detail) {
  return Fail(ErrorCode::kInvalidArgument, field + ": " + detail, field);
}

/// @param field the key of the integer in `body`.
/// @param path the path of the integer in the request, for errors.
/// @param default_value the value of an absent field.
Result<std::int64_t> ParseInteger(const json& body,
                                  const std::string& field,
                                  const std::string& path,
                                  std::int64_t default_value,
                                  Range range) {
  const auto found = body.find(field);
  if (found == body.end()) {
    return default_value;
  }
  if (!found->is_number_integer()) {
    return Invalid(path, "expected an integer");
  }
  const auto number = found->get<std::int64_t>();
  if (number < range.minimum || number > range.maximum) {
    return Invalid(path, "expected " + std::to_string(range.minimum) + " to " +
                             std::to_string(range.maximum));
  }
  return number;
}

Result<void> CheckFields(const json& body,
                         std::initializer_list<const char*> allowed) {
  for (const auto& item : body.items()) {
    const std::string& field = item.key();
    const bool known =
        std::any_of(allowed.begin(), allowed.end(),
                    [&](const char* name) { return field == name; });
    if (!known) {
      return Invalid(field, "unknown field");
    }
  }
  return {};
}

Result<bool> ParseAvailable(const json& body) {
  const auto found = body.find("available");
  if (found == body.end()) {
    return true;
  }
  if (!found->is_boolean()) {
    return Invalid("available", "expected true or false");
  }
  return found->get<bool>();
}

Result<Resource> ParseService(const json& body) {
  const auto fields =
      CheckFields(body, {"kind", "name", "team", "replicas", "demand",
                         "latency_target_ms", "slots", "connections"});
  const auto name = ParseName(body, "name");
  const auto team = ParseName(body, "team");
  const auto replicas =
      ParseInteger(body, "replicas", "replicas", 0, {0, kMaxReplicas});
  const auto demand =
      ParseResources(body.value("demand", json::object()), "demand");
  const auto target =
      ParseInteger(body, "latency_target_ms", "latency_target_ms", 100,
                   {1, kMaxLatencyTargetMs});
  const auto slots = ParseInteger(body, "slots", "slots", 8, {1, kMaxSlots});
  const auto connections = ParseInteger(body, "connections", "connections", 64,
                                        {1, kMaxConnections});
  if (!fields) {
    return tl::unexpected(fields.error());
  }
  for (const auto* text : {&name, &team}) {
    if (!*text) {
      return tl::unexpected(text->error());
    }
  }
  for (const auto* number : {&replicas, &target, &slots, &connections}) {
    if (!*number) {
      return tl::unexpected(number->error());
    }
  }
  if (!demand) {
    return tl::unexpected(demand.error());
  }
  return ServiceResource{ServiceId(*name),
                         TeamId(*team),
                         static_cast<int>(*replicas),
                         *demand,
                         Duration(*target),
                         static_cast<int>(*slots),
                         static_cast<int>(*connections)};
}

Result<Resource> ParseTeam(const json& body) {
  const auto fields = CheckFields(body, {"kind", "name", "quota"});
  if (!fields) {
    return tl::unexpected(fields.error());
  }
  const auto name = ParseName(body, "name");
  if (!name) {
    return tl::unexpected(name.error());
  }
  const auto quota =
      ParseResources(body.value("quota", json::object()), "quota");
  if (!quota) {
    return tl::unexpected(quota.error());
  }
  return TeamResource{TeamId(*name), *quota};
}

/// Parses a domain, host or backend declaration: a name and `available`.
template <typename Kind, typename Id>
Result<Resource> ParseAvailability(const json& body) {
  const auto fields = CheckFields(body, {"kind", "name", "available"});
  if (!fields) {
    return tl::unexpected(fields.error());
  }
  const auto name = ParseName(body, "name");
  if (!name) {
    return tl::unexpected(name.error());
  }
  const auto available = ParseAvailable(body);
  if (!available) {
    return tl::unexpected(available.error());
  }
  return Kind{Id(*name), *available};
}

struct KeyVisitor {
  std::string operator()(const ServiceResource& resource) const {
    return "service/" + resource.name.value();
  }
  std::string operator()(const TeamResource& resource) const {
    return "team/" + resource.name.value();
  }
  std::string operator()(const DomainResource& resource) const {
    return "domain/" + resource.name.value();
  }
  std::string operator()(const HostResource& resource) const {
    return "host/" + resource.name.value();
  }
  std::string operator()(const BackendResource& resource) const {
    return "backend/" + resource.name.value();
  }
};

struct JsonVisitor {
  json operator()(const ServiceResource& resource) const {
    return json{{"kind", "service"},
                {"name", resource.name.value()},
                {"team", resource.team.value()},
                {"replicas", resource.replicas},
                {"demand", ToJson(resource.demand)},
                {"latency_target_ms", resource.latency_target.count()},
                {"slots", resource.slots},
                {"connections", resource.connections}};
  }
  json operator()(const TeamResource& resource) const {
    return json{{"kind", "team"},
                {"name", resource.name.value()},
                {"quota", ToJson(resource.quota)}};
  }
  json operator()(const DomainResource& resource) const {
    return Availability("domain", resource.name.value(), resource.available);
  }
  json operator()(const HostResource& resource) const {
    return Availability("host", resource.name.value(), resource.available);
  }
  json operator()(const BackendResource& resource) const {
    return Availability("backend", resource.name.value(), resource.available);
  }

 private:
  static json Availability(const char* kind,
                           const std::string& name,
                           bool available) {
    return json{{"kind", kind}, {"name", name}, {"available", available}};
  }
};

}  // namespace

Result<std::string> ParseName(const json& body, const std::string& field) {
  const auto found = body.find(field);
  if (found == body.end() || !found->is_string()) {
    return Invalid(field, "expected a name");
  }
  const auto name = found->get<std::string>();
  const auto is_alphanumeric = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9');
  };
  const auto allowed = [&](char c) {
    return is_alphanumeric(c) || c == '-' || c == '.';
  };
  const bool is_valid = !name.empty() && name.size() <= kMaxNameLength &&
                        is_alphanumeric(name.front()) &&
                        std::all_of(name.begin(), name.end(), allowed);
  if (!is_valid) {
    return Invalid(field, "expected 1 to 63 of a-z, 0-9, '-', '.'");
  }
  return name;
}

Result<Resources> ParseResources(const json& body, const std::string& field) {
  if (!body.is_object()) {
    return Invalid(field, "expected an object");
  }
  const auto fields =
      CheckFields(body, {"millicores", "memory_mb", "accelerators"});
  if (!fields) {
    return Invalid(field + "." + fields.error().field, "unknown field");
  }
  Resources resources;
  for (auto [part, amount] :
       {std::pair{"millicores", &resources.millicores},
        std::pair{"memory_mb", &resources.memory_mb},
        std::pair{"accelerators", &resources.accelerators}}) {
    const auto number =
        ParseInteger(body, part, field + "." + part, 0, {0, kMaxAmount});
    if (!number) {
      return tl::unexpected(number.error());
    }
    *amount = *number;
  }
  return resources;
}

json ToJson(const Resources& resources) {
  return json{{"millicores", resources.millicores},
              {"memory_mb", resources.memory_mb},
              {"accelerators", resources.accelerators}};
}

Result<Resource> ParseResource(const json& body) {
  if (!body.is_object()) {
    return Invalid("", "expected an object");
  }
  const auto kind = ParseName(body, "kind");
  if (!kind) {
    return tl::unexpected(kind.error());
  }
  if (*kind == "service") {
    return ParseService(body);
  }
  if (*kind == "team") {
    return ParseTeam(body);
  }
  if (*kind == "domain") {
    return ParseAvailability<DomainResource, DomainId>(body);
  }
  if (*kind == "host") {
    return ParseAvailability<HostResource, HostId>(body);
  }
  if (*kind == "backend") {
    return ParseAvailability<BackendResource, BackendId>(body);
  }
  return Invalid("kind", "expected service, team, domain, host or backend");
}

json ToJson(const Resource& resource) {
  return std::visit(JsonVisitor{}, resource);
}

std::string ResourceKey(const Resource& resource) {
  return std::visit(KeyVisitor{}, resource);
}

}  // namespace zinniacart
