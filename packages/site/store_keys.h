#pragma once

#include <charconv>
#include <cstdint>
#include <optional>
#include <string>

#include "base/ids.h"
#include "upkeep/wave.h"

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

/// Progress of each upkeep wave, written by the owner alone.
inline const std::string kUpkeepPrefix = "zinniacart/upkeep/";
/// What operators are told of each wave.
inline const std::string kWaveStatusPrefix = "status/wave/";

inline std::string Upkeep(const WaveId& wave) {
  return kUpkeepPrefix + std::to_string(wave.value());
}
inline std::string WaveStatus(const WaveId& wave) {
  return kWaveStatusPrefix + std::to_string(wave.value());
}
/// @returns the wave whose progress has this key, nothing for other keys.
inline std::optional<WaveId> ParseUpkeep(const std::string& key) {
  std::uint64_t number = 0;
  if (!key.starts_with(kUpkeepPrefix)) {
    return std::nullopt;
  }
  const char* const end = key.data() + key.size();
  const auto parsed =
      std::from_chars(key.data() + kUpkeepPrefix.size(), end, number);
  return parsed.ec == std::errc() && parsed.ptr == end
             ? std::optional(WaveId(number))
             : std::nullopt;
}

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
