#pragma once

#include <string>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "base/resources.h"

namespace zinniacart {

/// What an agent vouches for: "this incarnation read its own clock so".
/// Stamps of one incarnation compare by time; others never compare.
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
  /// The service's recent latency here.
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
  /// The configuration that the agent has in force.
  ConfigSerial config_serial;
};

}  // namespace zinniacart
