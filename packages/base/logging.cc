#include "base/logging.h"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <nlohmann/json.hpp>

namespace zinniacart {
namespace {

void Log(spdlog::level::level_enum level,
         const std::string& event,
         const nlohmann::json& fields) {
  if (!spdlog::should_log(level)) {
    return;
  }
  spdlog::log(
      level, "\"event\":{},\"fields\":{}", nlohmann::json(event).dump(),
      fields.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

}  // namespace

void StartLogging(const std::string& program) {
  auto logger = spdlog::stderr_logger_mt(program);
  spdlog::set_default_logger(logger);
  spdlog::set_pattern(
      R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l","program":"%n",%v})",
      spdlog::pattern_time_type::utc);
  spdlog::flush_on(spdlog::level::info);
}

void LogInfo(const std::string& event, const nlohmann::json& fields) {
  Log(spdlog::level::info, event, fields);
}

void LogWarning(const std::string& event, const nlohmann::json& fields) {
  Log(spdlog::level::warn, event, fields);
}

void LogError(const std::string& event, const nlohmann::json& fields) {
  Log(spdlog::level::err, event, fields);
}

}  // namespace zinniacart
