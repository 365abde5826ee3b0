#include "ordering/run_time_record.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>
#include <vector>

#include "base/json_text.h"

namespace zinniacart {
namespace {

constexpr int kVersion = 1;
/// Bound of means and variances of logarithms: a run of 285 years in ms.
constexpr double kMaxLogarithm = 30;
constexpr std::int64_t kMaxCount = 1'000'000'000;

double ReadBounded(const nlohmann::json& value, double lowest) {
  const auto number = value.get<double>();
  if (!std::isfinite(number) || number < lowest || number > kMaxLogarithm) {
    throw std::out_of_range("statistic " + std::to_string(number));
  }
  return number;
}

QueueRunTimes ReadQueue(const nlohmann::json& row) {
  QueueRunTimes runs;
  runs.count =
      static_cast<std::size_t>(ReadInteger(row.at(1), "runs", 0, kMaxCount));
  runs.taken.mean = ReadBounded(row.at(2), -kMaxLogarithm);
  runs.taken.variance = ReadBounded(row.at(3), 0);
  runs.ratio.mean = ReadBounded(row.at(4), -kMaxLogarithm);
  runs.ratio.variance = ReadBounded(row.at(5), 0);
  runs.deviations = static_cast<std::size_t>(
      ReadInteger(row.at(6), "deviations", 0, kMaxCount));
  runs.within = ReadBounded(row.at(7), 0);
  return runs;
}

}  // namespace

std::string EncodeRunTimes(const RunTimeModel& model) {
  std::vector<std::pair<QueueId, QueueRunTimes>> queues(model.queues().begin(),
                                                        model.queues().end());
  std::stable_sort(queues.begin(), queues.end(),
                   [](const auto& left, const auto& right) {
                     return left.second.count > right.second.count;
                   });
  nlohmann::json rows = nlohmann::json::array();
  std::size_t name_bytes = 0;
  for (const auto& [queue, runs] : queues) {
    name_bytes += queue.value().size();
    if (rows.size() == kMaxRecordedQueues ||
        name_bytes > kMaxRecordedQueueBytes) {
      break;
    }
    rows.push_back({queue.value(), runs.count, runs.taken.mean,
                    runs.taken.variance, runs.ratio.mean, runs.ratio.variance,
                    runs.deviations, runs.within});
  }
  return DumpJson(
      nlohmann::json{{"version", kVersion}, {"queues", std::move(rows)}});
}

Result<void> RestoreRunTimes(const std::string& bytes, RunTimeModel& model) {
  std::vector<std::pair<QueueId, QueueRunTimes>> queues;
  try {
    const nlohmann::json record = ParseJson(bytes);
    const auto version = ReadIntegerField(record, "version");
    if (version != kVersion) {
      return Fail(ErrorCode::kInvalidArgument, "run-time record of version " +
                                                   std::to_string(version) +
                                                   " cannot be read");
    }
    for (const nlohmann::json& row : record.at("queues")) {
      queues.emplace_back(QueueId(row.at(0).get<std::string>()),
                          ReadQueue(row));
    }
  } catch (const std::exception& error) {
    return Fail(ErrorCode::kInvalidArgument,
                std::string("run-time record is malformed: ") + error.what());
  }
  if (queues.size() > kMaxRecordedQueues) {
    return Fail(ErrorCode::kInvalidArgument,
                "run-time record has " + std::to_string(queues.size()) +
                    " queues, more than " + std::to_string(kMaxRecordedQueues));
  }
  for (auto& [queue, runs] : queues) {
    model.Restore(queue, runs);
  }
  return {};
}

}  // namespace zinniacart
