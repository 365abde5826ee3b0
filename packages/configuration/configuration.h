#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>

#include "base/error.h"
#include "base/ids.h"
#include "configuration/resource.h"

namespace zinniacart {

/// One accepted change: the change, its serial and its audit record at once.
struct ConfigurationChange {
  ConfigSerial serial;
  std::string
      change_id;  ///< Drawn by the operator's side; makes it idempotent.
  std::string author;
  std::int64_t wall_clock_ms = 0;
  std::string key;                   ///< "kind/name".
  std::optional<Resource> resource;  ///< Empty: the resource was deleted.
};

/// What an operator asks for.
struct ChangeRequest {
  std::string change_id;
  std::string author;
  std::int64_t wall_clock_ms = 0;
  std::string key;
  std::optional<Resource> resource;
  /// Where set, the serial that last changed the resource (0: absent).
  std::optional<ConfigSerial> expected;
};

/// The operators' declarations as of one serial, with the latest changes.
/// A value type: `Append` is the only way forward and the serial only grows.
class Configuration final {
 public:
  /// One resource and the serial that last changed it.
  struct Row {
    Resource resource;
    ConfigSerial changed_at;
  };

  /// How many changes are kept beside the resources.
  static constexpr std::size_t kKeptChanges = 256;

  /// Applies `request`.
  /// @returns its serial, at once where `change_id` was applied before;
  /// `kConflict` naming the winner where `expected` does not hold;
  /// `kNotFound` on deletion of what is not there.
  Result<ConfigSerial> Append(const ChangeRequest& request);

  /// Applies a change that was accepted elsewhere and follows this serial.
  void Apply(const ConfigurationChange& change);

  /// @returns the serial of the change with this id, where still kept.
  std::optional<ConfigSerial> FindChange(const std::string& change_id) const;

  /// @returns the changes after `serial`, or nothing where the list no
  /// longer reaches back so far.
  std::optional<std::vector<ConfigurationChange>> ChangesAfter(
      ConfigSerial serial) const;

  ConfigSerial serial() const { return m_serial; }
  const std::map<std::string, Row>& rows() const { return m_rows; }
  const std::deque<ConfigurationChange>& changes() const { return m_changes; }

  /// @returns the service's declaration or null.
  const ServiceResource* FindService(const ServiceId& service) const;
  /// @returns the team's declaration or null.
  const TeamResource* FindTeam(const TeamId& team) const;
  /// @returns whether work may start on this host in this domain.
  bool AllowsWork(const DomainId& domain, const HostId& host) const;
  /// @returns whether requests may go to this backend server.
  bool AllowsRequests(const BackendId& backend) const;

  /// @returns the whole as JSON text, for the store.
  std::string Serialize() const;
  /// @returns `kInternal` where `text` is not a serialized configuration.
  static Result<Configuration> Parse(const std::string& text);

 private:
  ConfigSerial m_serial;
  std::map<std::string, Row> m_rows;
  std::deque<ConfigurationChange> m_changes;
};

/// @returns one change as JSON, as the audit shows it.
nlohmann::json ToJson(const ConfigurationChange& change);
/// @returns the change, or `kInternal` where `body` is not one.
Result<ConfigurationChange> ParseChange(const nlohmann::json& body);

}  // namespace zinniacart
