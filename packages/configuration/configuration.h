#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>

#include "base/error.h"
#include "base/ids.h"
#include "configuration/resource.h"

namespace zinniacart {

/// One accepted change to one resource. The same record serves replication (the
/// serial and the resource) and the audit (author and time).
struct ConfigurationChange {
  /// Position among all changes; the first change has serial 1.
  ConfigSerial serial;
  /// Chosen by the operator's client, which sends the same id with each retry
  /// so that the change applies once.
  std::string change_id;
  std::string author;
  std::int64_t wall_clock_ms = 0;    ///< Milliseconds since the Unix epoch.
  std::string key;                   ///< "kind/name", see `ResourceKey`.
  std::optional<Resource> resource;  ///< Empty if the resource was deleted.
};

/// A change that an operator requests. Fields that it shares with
/// `ConfigurationChange` have the same meaning.
struct ChangeRequest {
  std::string change_id;
  std::string author;
  std::int64_t wall_clock_ms = 0;
  std::string key;
  std::optional<Resource> resource;
  /// Precondition, if set: the serial of the last change to the resource, or 0
  /// if the resource must not exist.
  std::optional<ConfigSerial> expected;
};

/// The operators' declarations as of one serial, together with the most recent
/// changes. A value type. It changes only through `Append`, for new requests,
/// and `Apply`, for changes that are already accepted; each change increments
/// the serial by one. Not synchronized.
class Configuration final {
 public:
  /// One resource and the serial of the change that last set it.
  struct Row {
    Resource resource;
    ConfigSerial changed_at;
  };

  /// The number of most recent changes that are kept. It limits how far back
  /// `ChangesAfter` reaches and how long a change id is recognized as applied.
  static constexpr std::size_t kKeptChanges = 256;

  /// Accepts `request` as the next change. Has no effect if a kept change has
  /// the same `change_id`, or on error.
  /// @returns the serial of the change, also if it was applied before;
  /// `kConflict` if `expected` doesn't match, naming the author (if the change
  /// is still kept) and the serial of the last change to the resource;
  /// `kNotFound` if the resource to delete doesn't exist.
  Result<ConfigSerial> Append(const ChangeRequest& request);

  /// Applies a change that another process accepted.
  /// @param change must have the serial that follows `serial()`; anything else
  /// violates an invariant.
  void Apply(const ConfigurationChange& change);

  /// @returns the serial of the change with this id, or nothing if no kept
  /// change has it.
  std::optional<ConfigSerial> FindChange(const std::string& change_id) const;

  /// @returns the changes after `serial` in order, or nothing if some of them
  /// are no longer kept or `serial` is greater than `serial()`.
  std::optional<std::vector<ConfigurationChange>> ChangesAfter(
      ConfigSerial serial) const;

  ConfigSerial serial() const { return m_serial; }
  const std::map<std::string, Row>& rows() const { return m_rows; }
  const std::deque<ConfigurationChange>& changes() const { return m_changes; }

  /// @returns the service's declaration, or null if it has none.
  const ServiceResource* FindService(const ServiceId& service) const;
  /// @returns the team's declaration, or null if it has none.
  const TeamResource* FindTeam(const TeamId& team) const;
  /// @returns whether work may start on this host of this failure domain:
  /// neither of them is declared unavailable.
  bool AllowsWork(const DomainId& domain, const HostId& host) const;
  /// @returns whether requests may go to this backend server: it is not
  /// declared unavailable.
  bool AllowsRequests(const BackendId& backend) const;

  /// @returns the resources, the kept changes and the serial as JSON text, the
  /// form in which the store holds them.
  std::string Serialize() const;
  /// Reads the text that `Serialize` wrote.
  /// @returns the configuration; `kInternal` if `text` is not a JSON object
  /// with a serial; `kInvalidArgument` if a resource in it is invalid.
  static Result<Configuration> Parse(const std::string& text);

 private:
  ConfigSerial m_serial;
  std::map<std::string, Row> m_rows;
  std::deque<ConfigurationChange> m_changes;
};

/// @returns one change as JSON, the form in which the audit and the archive
/// hold it. `resource` is absent if the change is a deletion.
nlohmann::json ToJson(const ConfigurationChange& change);
/// Reads the JSON that `ToJson` wrote.
/// @returns the change; `kInternal` if `body` is not an object with a serial;
/// `kInvalidArgument` if its resource is invalid.
Result<ConfigurationChange> ParseChange(const nlohmann::json& body);

}  // namespace zinniacart
