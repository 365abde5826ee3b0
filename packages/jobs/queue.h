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

/// How the jobs of one queue are scheduled. A job should finish within
/// `stretch` times the run time of its longest chain of steps, plus
/// `objective`, after its acceptance.
struct QueuePolicy {
  ServiceId service;  ///< The service whose hosts run the tasks.
  int priority = 0;   ///< 0 is the highest; larger values come later.
  std::uint32_t max_attempts = 1;  ///< Failed runs after which the job fails.
  double stretch = 1.0;            ///< Factor on the longest chain of steps.
  Duration objective{0};           ///< Added to the stretched chain.
  bool needs_advice =
      false;  ///< Steps may run only on hosts that were advised.

  bool operator==(const QueuePolicy&) const = default;
};

/// A queue that callers address by host name and path prefix.
struct Queue {
  QueueId id;
  std::string host;  ///< In lower case.
  std::string prefix;
  QueuePolicy policy;
  Duration timeout{0};  ///< Of the route's requests, as declared; 0: none.
};

/// A declared service: a group of hosts that runs the tasks of some queues.
struct ServiceDeclaration {
  ServiceId id;
  bool workers_reject_overload =
      false;           ///< Workers reject tasks that do not fit.
  bool spare = false;  ///< Its hosts are off until they are moved to a service.
};

/// One version of the configuration that operators declared.
struct SiteConfiguration {
  std::uint64_t version = 0;
  std::vector<Queue> queues;
  std::vector<ServiceDeclaration> services;

  /// @returns the queue of `host` with the longest prefix of `path`, nullptr if
  /// none matches.
  const Queue* Find(const std::string& host, const std::string& path) const;
  /// @returns the queue `id`, nullptr if it is not declared.
  const Queue* Find(const QueueId& id) const;
};

}  // namespace zinniacart
