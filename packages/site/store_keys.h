#pragma once

#include <string>

#include "base/ids.h"

namespace zinniacart::store_keys {

/// Followed by every entry: the owner of the scheduling, the newest owner's
/// epoch and the registered entries.
inline const std::string kEntriesPrefix = "zinniacart/entries/";
inline const std::string kOwner = kEntriesPrefix + "owner";
inline const std::string kEpoch = kEntriesPrefix + "epoch";
inline const std::string kEntryPrefix = kEntriesPrefix + "at/";

/// Followed by the owner: accepted jobs, cancellations and registered hosts.
inline const std::string kWorkPrefix = "zinniacart/work/";
inline const std::string kJobPrefix = kWorkPrefix + "jobs/";
inline const std::string kCancelledPrefix = kWorkPrefix + "cancelled/";
inline const std::string kHostPrefix = kWorkPrefix + "hosts/";

/// What the owner has learned about interference, for its successor.
inline const std::string kInterference = "zinniacart/learned/interference";
/// What the owner has learned about the run times of each queue.
inline const std::string kRunTimes = "zinniacart/learned/run-times";

/// Progress of each job, written by the owner alone.
inline const std::string kProgressPrefix = "zinniacart/progress/";

inline std::string Entry(const EntryId& entry) {
  return kEntryPrefix + entry.value();
}
inline std::string Job(const JobId& job) {
  return kJobPrefix + job.value();
}
inline std::string Cancelled(const JobId& job) {
  return kCancelledPrefix + job.value();
}
inline std::string Host(const HostId& host) {
  return kHostPrefix + host.value();
}
inline std::string Progress(const JobId& job) {
  return kProgressPrefix + job.value();
}

}  // namespace zinniacart::store_keys
