#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "base/error.h"
#include "colocation/interference_model.h"

namespace zinniacart {

/// Most pairs of images that a record holds, newest first, and most bytes of
/// their names: a record takes 20 KB, with the longest names 50 KB.
inline constexpr std::size_t kMaxRecordedPairs = 400;
inline constexpr std::size_t kMaxRecordedNameBytes = 32768;

/// @returns the estimates of the pairs that were measured last, as the JSON
/// text that the owner stores for its successor. Without it, a new owner would
/// halt harmless work and let harmful work run until it has measured each pair
/// again.
/// @param wall_ms the wall clock, in milliseconds since 1970.
std::string EncodeInterference(const InterferenceModel& model,
                               Instant now,
                               std::int64_t wall_ms);

/// Adds the estimates of a record to `model`, in place of its own. They have
/// become less certain since the record was encoded. Wall clocks of entries may
/// differ by seconds, which changes that only little.
/// @param bytes   the output of `EncodeInterference`.
/// @param wall_ms the wall clock, in milliseconds since 1970.
/// @returns `kInvalidArgument` if `bytes` is malformed or of another version;
///          `model` is then unchanged.
Result<void> RestoreInterference(const std::string& bytes,
                                 InterferenceModel& model,
                                 Instant now,
                                 std::int64_t wall_ms);

}  // namespace zinniacart
