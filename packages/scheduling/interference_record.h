#pragma once

#include <cstddef>
#include <string>

#include "base/error.h"
#include "scheduling/interference_model.h"

namespace zinniacart {

/// Most pairs of images that a record holds, newest first: 20 KB.
inline constexpr std::size_t kMaxRecordedPairs = 400;

/// @returns the estimates of the pairs that were measured last, as the JSON
/// text that the owner stores for its successor. Without it, a new owner would
/// halt harmless work and let harmful work run until it has measured each pair
/// again.
std::string EncodeInterference(const InterferenceModel& model, Instant now);

/// Adds the estimates of a record to `model`, in place of its own.
/// @param bytes the output of `EncodeInterference`.
/// @param age   time since it was encoded: estimates get less certain.
/// @returns `kInvalidArgument` if `bytes` is malformed or of another version;
///          `model` is then unchanged.
Result<void> RestoreInterference(const std::string& bytes,
                                 Duration age,
                                 InterferenceModel& model,
                                 Instant now);

}  // namespace zinniacart
