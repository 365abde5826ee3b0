#include "base/logging.h"

#include <spdlog/sinks/base_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <memory>
#include <nlohmann/json.hpp>

#include "base/bounded_output.h"
#include "base/clock.h"
#include "base/log_budget.h"

namespace zinniacart {
namespace {

/// Well above the busiest second of one kind of decision: a present-day site
/// peaks at about 60 task starts per second.
constexpr std::uint32_t kMaxLinesPerSecondAndEvent = 300;

/// Formats log messages and passes them to a `BoundedOutput`.
class BoundedSink final
    : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 public:
  BoundedSink() : m_output(STDOUT_FILENO) {}

  BoundedOutput& output() { return m_output; }

 protected:
  void sink_it_(const spdlog::details::log_msg& message) override {
    spdlog::memory_buf_t line;
    formatter_->format(message, line);
    m_output.Add(std::string(line.data(), line.size() - 1));
  }
  void flush_() override { m_output.Flush(); }

 private:
  BoundedOutput m_output;
};

/// State of bounded logging.
struct BoundedLog {
  std::shared_ptr<BoundedSink> sink = std::make_shared<BoundedSink>();
  LogBudget budget{kMaxLinesPerSecondAndEvent};
  SteadyClock clock;
};

/// @returns the state of bounded logging; null unless it was started.
std::unique_ptr<BoundedLog>& GetBoundedLog() {
  static std::unique_ptr<BoundedLog> log;
  return log;
}

void SetPattern() {
  spdlog::set_pattern(
      R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l","program":"%n",%v})",
      spdlog::pattern_time_type::utc);
}

void Write(spdlog::level::level_enum level,
           const std::string& event,
           const nlohmann::json& fields) {
  spdlog::log(
      level, "\"event\":{},\"fields\":{}", nlohmann::json(event).dump(),
      fields.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

void Log(spdlog::level::level_enum level,
         const std::string& event,
         const nlohmann::json& fields) {
  if (!spdlog::should_log(level)) {
    return;
  }
  const auto& bounded = GetBoundedLog();
  if (bounded && !bounded->budget.Take(event, bounded->clock.Now())) {
    return;
  }
  Write(level, event, fields);
}

}  // namespace

void StartLogging(const std::string& program) {
  auto logger = spdlog::stderr_logger_mt(program);
  spdlog::set_default_logger(logger);
  SetPattern();
  spdlog::flush_on(spdlog::level::info);
}

void StartBoundedLogging(const std::string& program) {
  GetBoundedLog() = std::make_unique<BoundedLog>();
  spdlog::set_default_logger(
      std::make_shared<spdlog::logger>(program, GetBoundedLog()->sink));
  SetPattern();
}

void FlushLog() {
  const auto& bounded = GetBoundedLog();
  if (!bounded) {
    return;
  }
  const std::uint64_t suppressed = bounded->budget.TakeSuppressed();
  const std::uint64_t dropped = bounded->sink->output().TakeDropped();
  if (suppressed + dropped > 0) {
    Write(spdlog::level::warn, "log lines left out",
          {{"over_budget", suppressed}, {"unread", dropped}});
  }
  bounded->sink->output().Flush();
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
