#pragma once

#include <string>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "base/resources.h"

namespace zinniacart {

/// A reading of an agent's own clock. Stamps of one incarnation are ordered by
/// time; those of different incarnations can't be compared.
struct Stamp {
  Incarnation incarnation;
  Instant agent_time;

  bool operator==(const Stamp&) const = default;
};

/// One backend server as its agent announces it.
struct BackendAnnouncement {
  BackendId backend;
  ServiceId service;
  int running = 0;
  int queued = 0;
  bool draining = false;
  /// Recent tail latency of the service on this backend server.
  Duration latency{0};

  bool operator==(const BackendAnnouncement&) const = default;
};

/// One host as its agent announces it.
struct HostAnnouncement {
  HostId host;
  DomainId domain;
  std::string address;  ///< "ip:port" of the agent.
  Stamp stamp;
  Resources capacity;
  Resources committed;
  std::vector<BackendAnnouncement> backends;
  bool draining = false;
  /// Of the configuration that the agent applies.
  ConfigSerial config_serial;
};

}  // namespace zinniacart
