#include "colocation/interference_record.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "base/json_text.h"

namespace zinniacart {
namespace {

constexpr int kVersion = 1;

}  // namespace

std::string EncodeInterference(const InterferenceModel& model,
                               Instant now,
                               std::int64_t wall_ms) {
  nlohmann::json pairs = nlohmann::json::array();
  std::size_t name_bytes = 0;
  for (const LearnedPair& pair : model.Newest(kMaxRecordedPairs, now)) {
    name_bytes += pair.serving_image.size() + pair.best_effort_image.size();
    if (name_bytes > kMaxRecordedNameBytes) {
      break;
    }
    pairs.push_back({pair.serving_image, pair.best_effort_image,
                     pair.interference.loss_per_core,
                     pair.interference.deviation});
  }
  return DumpJson(nlohmann::json{{"version", kVersion},
                                 {"written_at_ms", wall_ms},
                                 {"pairs", std::move(pairs)}});
}

Result<void> RestoreInterference(const std::string& bytes,
                                 InterferenceModel& model,
                                 Instant now,
                                 std::int64_t wall_ms) {
  std::vector<LearnedPair> pairs;
  Duration age{0};
  try {
    const nlohmann::json record = ParseJson(bytes);
    const auto version = ReadIntegerField(record, "version");
    if (version != kVersion) {
      return Fail(ErrorCode::kInvalidArgument,
                  "interference record of version " + std::to_string(version) +
                      " cannot be read");
    }
    const auto written_at_ms = ReadIntegerField(record, "written_at_ms");
    age =
        Duration(wall_ms - std::clamp<std::int64_t>(written_at_ms, 0, wall_ms));
    for (const nlohmann::json& row : record.at("pairs")) {
      pairs.push_back(LearnedPair{
          row.at(0).get<std::string>(), row.at(1).get<std::string>(),
          InterferenceEstimate{row.at(2).get<double>(),
                               row.at(3).get<double>()}});
    }
  } catch (const std::exception& error) {
    return Fail(
        ErrorCode::kInvalidArgument,
        std::string("interference record is malformed: ") + error.what());
  }
  for (const LearnedPair& pair : pairs) {
    model.Restore(pair, now - age);
  }
  return {};
}

}  // namespace zinniacart
