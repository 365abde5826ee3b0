#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "base/error.h"
#include "base/ids.h"
#include "upkeep/machine_port.h"

namespace zinniacart {

/// How far a machine of a wave is.
enum class UpkeepStage {
  kWaiting,
  kOrdered,   ///< It is called for, and may be down.
  kBegun,     ///< The call was accepted: it is down.
  kDone,      ///< It is up again.
  kRefused,   ///< The call was refused as busy.
  kExcluded,  ///< The service does not know it as part of the wave.
  kGone,      ///< It is no longer listed.
};

inline constexpr UpkeepStage kUpkeepStages[] = {
    UpkeepStage::kWaiting, UpkeepStage::kOrdered, UpkeepStage::kBegun,
    UpkeepStage::kDone,    UpkeepStage::kRefused, UpkeepStage::kExcluded,
    UpkeepStage::kGone};

/// @returns the name of the stage, which is stored and must not change.
const char* ToString(UpkeepStage stage);

/// What outlives an owner of a machine's part in a wave.
struct MachineRecord {
  UpkeepStage stage = UpkeepStage::kWaiting;
  Epoch epoch;  ///< Of the owner that called last.
  // The machine as it was when the call was refused.
  std::string worker;
  std::int64_t incarnation = 0;  ///< Of its worker; 0: unknown.
  MachineState state = MachineState::kUp;

  bool operator==(const MachineRecord&) const = default;
};

/// The progress of a wave, as it is stored.
struct WaveRecord {
  std::int64_t began_ms = 0;  ///< Wall clock, since 1970.
  bool completed = false;
  std::map<MachineId, MachineRecord> machines;

  bool operator==(const WaveRecord&) const = default;
};

/// @returns the record as JSON text.
std::string EncodeWaveRecord(const WaveRecord& record);

/// @returns the record, or `kInvalidArgument` if `bytes` was not produced by
/// `EncodeWaveRecord`.
Result<WaveRecord> DecodeWaveRecord(const std::string& bytes);

}  // namespace zinniacart
