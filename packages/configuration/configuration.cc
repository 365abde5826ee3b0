#include "configuration/configuration.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "base/invariant.h"

namespace zinniacart {
namespace {

using nlohmann::json;

/// @returns the resource with this key, or null if there is none of this kind.
template <typename Kind>
const Kind* Find(const std::map<std::string, Configuration::Row>& rows,
                 const std::string& key) {
  const auto found = rows.find(key);
  return found == rows.end() ? nullptr
                             : std::get_if<Kind>(&found->second.resource);
}

}  // namespace

Result<ConfigSerial> Configuration::Append(const ChangeRequest& request) {
  if (const auto applied = FindChange(request.change_id)) {
    return *applied;
  }
  const auto found = m_rows.find(request.key);
  const ConfigSerial current =
      found == m_rows.end() ? ConfigSerial(0) : found->second.changed_at;
  if (request.expected && *request.expected != current) {
    const auto conflicting_change = std::find_if(
        m_changes.rbegin(), m_changes.rend(),
        [&](const auto& change) { return change.serial == current; });
    const std::string author = conflicting_change == m_changes.rend()
                                   ? "an earlier change"
                                   : conflicting_change->author;
    return Fail(ErrorCode::kConflict, request.key + " was changed by " +
                                          author + " at serial " +
                                          std::to_string(current.value()));
  }
  if (!request.resource && found == m_rows.end()) {
    return Fail(ErrorCode::kNotFound, request.key);
  }
  Apply(ConfigurationChange{m_serial.Next(), request.change_id, request.author,
                            request.wall_clock_ms, request.key,
                            request.resource});
  return m_serial;
}

void Configuration::Apply(const ConfigurationChange& change) {
  CheckInvariant(change.serial == m_serial.Next(),
                 "configuration changes apply in order");
  m_serial = change.serial;
  if (change.resource) {
    m_rows[change.key] = Row{*change.resource, change.serial};
  } else {
    m_rows.erase(change.key);
  }
  m_changes.push_back(change);
  if (m_changes.size() > kKeptChanges) {
    m_changes.pop_front();
  }
}

std::optional<ConfigSerial> Configuration::FindChange(
    const std::string& change_id) const {
  for (const auto& change : m_changes) {
    if (change.change_id == change_id) {
      return change.serial;
    }
  }
  return std::nullopt;
}

std::optional<std::vector<ConfigurationChange>> Configuration::ChangesAfter(
    ConfigSerial serial) const {
  if (serial > m_serial) {
    return std::nullopt;
  }
  if (serial == m_serial) {
    return std::vector<ConfigurationChange>{};
  }
  if (m_changes.empty() || m_changes.front().serial > serial.Next()) {
    return std::nullopt;
  }
  std::vector<ConfigurationChange> after;
  std::copy_if(m_changes.begin(), m_changes.end(), std::back_inserter(after),
               [&](const auto& change) { return change.serial > serial; });
  return after;
}

const ServiceResource* Configuration::FindService(
    const ServiceId& service) const {
  return Find<ServiceResource>(m_rows, "service/" + service.value());
}

const TeamResource* Configuration::FindTeam(const TeamId& team) const {
  return Find<TeamResource>(m_rows, "team/" + team.value());
}

bool Configuration::AllowsWork(const DomainId& domain,
                               const HostId& host) const {
  const auto* domain_row =
      Find<DomainResource>(m_rows, "domain/" + domain.value());
  if (domain_row != nullptr && !domain_row->available) {
    return false;
  }
  const auto* host_row = Find<HostResource>(m_rows, "host/" + host.value());
  return host_row == nullptr || host_row->available;
}

bool Configuration::AllowsRequests(const BackendId& backend) const {
  const auto* row = Find<BackendResource>(m_rows, "backend/" + backend.value());
  return row == nullptr || row->available;
}

std::string Configuration::Serialize() const {
  json rows = json::array();
  for (const auto& [key, row] : m_rows) {
    rows.push_back({{"resource", ToJson(row.resource)},
                    {"changed_at", row.changed_at.value()}});
  }
  json changes = json::array();
  for (const auto& change : m_changes) {
    changes.push_back(ToJson(change));
  }
  return json{
      {"serial", m_serial.value()}, {"resources", rows}, {"changes", changes}}
      .dump();
}

Result<Configuration> Configuration::Parse(const std::string& text) {
  const auto body = json::parse(text, nullptr, false);
  if (!body.is_object() || !body.contains("serial")) {
    return Fail(ErrorCode::kInternal, "unreadable configuration");
  }
  Configuration configuration;
  configuration.m_serial = ConfigSerial(body["serial"]);
  for (const auto& row : body["resources"]) {
    const auto resource = ParseResource(row["resource"]);
    if (!resource) {
      return tl::unexpected(resource.error());
    }
    configuration.m_rows[ResourceKey(*resource)] =
        Row{*resource, ConfigSerial(row["changed_at"])};
  }
  for (const auto& row : body["changes"]) {
    const auto change = ParseChange(row);
    if (!change) {
      return tl::unexpected(change.error());
    }
    configuration.m_changes.push_back(*change);
  }
  return configuration;
}

json ToJson(const ConfigurationChange& change) {
  json body{{"serial", change.serial.value()},
            {"change_id", change.change_id},
            {"author", change.author},
            {"time_ms", change.wall_clock_ms},
            {"key", change.key}};
  if (change.resource) {
    body["resource"] = ToJson(*change.resource);
  }
  return body;
}

Result<ConfigurationChange> ParseChange(const json& body) {
  if (!body.is_object() || !body.contains("serial")) {
    return Fail(ErrorCode::kInternal, "unreadable configuration change");
  }
  ConfigurationChange change{ConfigSerial(body["serial"]),
                             body.value("change_id", std::string()),
                             body.value("author", std::string()),
                             body.value("time_ms", std::int64_t{0}),
                             body.value("key", std::string()),
                             std::nullopt};
  if (body.contains("resource")) {
    auto resource = ParseResource(body["resource"]);
    if (!resource) {
      return tl::unexpected(resource.error());
    }
    change.resource = std::move(*resource);
  }
  return change;
}

}  // namespace zinniacart
