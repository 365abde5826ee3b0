#include "upkeep/wave_record.h"

#include <array>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "base/json_text.h"

namespace zinniacart {
namespace {

using nlohmann::json;

constexpr std::array<const char*, 7> kStages{
    "waiting", "ordered", "begun", "done", "refused", "excluded", "gone"};

UpkeepStage ParseStage(const std::string& name) {
  for (std::size_t index = 0; index < kStages.size(); ++index) {
    if (name == kStages[index]) {
      return static_cast<UpkeepStage>(index);
    }
  }
  throw std::invalid_argument("stage \"" + name + "\"");
}

/// A row is [stage, epoch, worker, incarnation, state].
MachineRecord DecodeMachine(const json& row) {
  MachineRecord machine;
  machine.stage = ParseStage(row.at(0).get<std::string>());
  machine.epoch =
      Epoch(static_cast<std::uint64_t>(ReadInteger(row.at(1), "epoch")));
  machine.worker = row.at(2).get<std::string>();
  machine.incarnation = ReadInteger(row.at(3), "incarnation", -kMaxJsonInteger);
  machine.state = static_cast<MachineState>(ReadInteger(
      row.at(4), "state", 0, static_cast<std::int64_t>(MachineState::kDown)));
  return machine;
}

}  // namespace

const char* ToString(UpkeepStage stage) {
  return kStages[static_cast<std::size_t>(stage)];
}

std::string EncodeWaveRecord(const WaveRecord& record) {
  json machines = json::object();
  for (const auto& [id, machine] : record.machines) {
    machines[id.value()] = json::array(
        {ToString(machine.stage), machine.epoch.value(), machine.worker,
         machine.incarnation, static_cast<int>(machine.state)});
  }
  return DumpJson(json{{"began_ms", record.began_ms},
                       {"completed", record.completed},
                       {"machines", std::move(machines)}});
}

Result<WaveRecord> DecodeWaveRecord(const std::string& bytes) {
  try {
    const json row = ParseJson(bytes);
    WaveRecord record;
    record.began_ms = ReadIntegerField(row, "began_ms");
    record.completed = row.at("completed").get<bool>();
    for (const auto& [id, machine] : row.at("machines").items()) {
      record.machines[MachineId(id)] = DecodeMachine(machine);
    }
    return record;
  } catch (const std::exception& error) {
    return Fail(ErrorCode::kInvalidArgument, error.what(), "wave record");
  }
}

}  // namespace zinniacart
