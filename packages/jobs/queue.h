#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"

namespace zinniacart {

using QueueId = StrongType<struct QueueIdTag, std::string>;

/// How the jobs of one queue are treated.
struct QueuePolicy {
  ServiceId service;               ///< Whose hosts run the tasks.
  int priority = 0;                ///< 0 comes first.
  std::uint32_t max_attempts = 1;  ///< Failed runs after which a task fails.
  double stretch = 1.0;       ///< Objective: this times the longest chain ...
  Duration objective{0};      ///< ... and this much more.
  bool needs_advice = false;  ///< Only advised hosts may run a step.

  bool operator==(const QueuePolicy&) const = default;
};

/// A queue that callers address by host name and path prefix.
struct Queue {
  QueueId id;
  std::string host;
  std::string prefix;
  QueuePolicy policy;
  Duration timeout{0};
};

/// A service: the hosts that run the tasks of some queues.
struct ServiceDeclaration {
  ServiceId id;
  bool workers_reject_overload = false;  ///< Workers reject what does not fit.
  bool spare = false;                    ///< Its hosts are off until moved.
};

/// What operators declared, as of one version.
struct SiteConfiguration {
  std::uint64_t version = 0;
  std::vector<Queue> queues;
  std::vector<ServiceDeclaration> services;

  /// @returns the queue whose prefix is the longest that `path` begins with,
  /// nullptr where there is none.
  const Queue* Find(const std::string& host, const std::string& path) const;
  /// @returns the queue `id`, nullptr where it is not declared.
  const Queue* Find(const QueueId& id) const;
};

}  // namespace zinniacart
