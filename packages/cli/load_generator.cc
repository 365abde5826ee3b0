#include "cli/load_generator.h"

#include <httplib.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>
#include <vector>

#include "ports/http_endpoint.h"

namespace zinniacart {
namespace {

using nlohmann::json;
using WallClock = std::chrono::steady_clock;

constexpr int kRounds = 5;

/// What one side of the comparison has shown so far.
struct Tally {
  std::vector<std::int64_t> answered_us;
  std::map<std::string, std::int64_t> outcomes;
  double seconds = 0.0;

  void Add(const Tally& other) {
    answered_us.insert(answered_us.end(), other.answered_us.begin(),
                       other.answered_us.end());
    for (const auto& [outcome, count] : other.outcomes) {
      outcomes[outcome] += count;
    }
  }
};

struct Side {
  Endpoint endpoint;
  std::string path;
};

std::string OutcomeOf(const httplib::Result& result) {
  if (!result) {
    return "transport-" + httplib::to_string(result.error());
  }
  const std::string outcome = result->get_header_value("Zinniacart-Outcome");
  return outcome.empty() ? "answered" : outcome;
}

Tally RunCaller(const LoadSettings& settings, const Side& side, int requests) {
  httplib::Client client(side.endpoint.ip, side.endpoint.port);
  client.set_keep_alive(true);
  client.set_tcp_nodelay(true);
  client.set_read_timeout(std::chrono::milliseconds(settings.timeout_ms * 2));
  Tally tally;
  for (int number = 0; number < requests; ++number) {
    httplib::Request request;
    request.method = settings.method;
    request.path = side.path;
    request.body = std::string(settings.body_bytes, 'x');
    request.set_header("Zinniacart-Timeout-Ms",
                       std::to_string(settings.timeout_ms));
    const auto started = WallClock::now();
    const auto result = client.send(request);
    const auto taken = WallClock::now() - started;
    const std::string outcome = OutcomeOf(result);
    ++tally.outcomes[outcome];
    if (outcome == "answered") {
      tally.answered_us.push_back(
          std::chrono::duration_cast<std::chrono::microseconds>(taken).count());
    }
  }
  return tally;
}

void RunRound(const LoadSettings& settings,
              const Side& side,
              int requests,
              Tally& total) {
  std::mutex mutex;
  std::vector<std::thread> callers;
  callers.reserve(static_cast<std::size_t>(settings.callers));
  const auto started = WallClock::now();
  for (int number = 0; number < settings.callers; ++number) {
    callers.emplace_back([&] {
      const Tally tally = RunCaller(settings, side, requests);
      const std::lock_guard lock(mutex);
      total.Add(tally);
    });
  }
  for (auto& caller : callers) {
    caller.join();
  }
  total.seconds +=
      std::chrono::duration<double>(WallClock::now() - started).count();
}

double Quantile(const std::vector<std::int64_t>& sorted, double share) {
  if (sorted.empty()) {
    return 0.0;
  }
  const auto index =
      static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1));
  return static_cast<double>(sorted[index]);
}

json Summarize(Tally tally) {
  std::sort(tally.answered_us.begin(), tally.answered_us.end());
  return json{{"p50_us", Quantile(tally.answered_us, 0.5)},
              {"p99_us", Quantile(tally.answered_us, 0.99)},
              {"p999_us", Quantile(tally.answered_us, 0.999)},
              {"answered_per_second",
               static_cast<double>(tally.answered_us.size()) / tally.seconds},
              {"outcomes", tally.outcomes}};
}

json RatioOf(const json& target, const json& baseline, const char* field) {
  const double below = baseline.at(field);
  return below > 0.0 ? json(target.at(field).get<double>() / below) : json();
}

}  // namespace

Result<json> RunLoad(const LoadSettings& settings) {
  const auto target = Endpoint::Parse(settings.target, "target");
  if (!target) {
    return tl::unexpected(target.error());
  }
  const Side through{*target, settings.path};
  const int per_round = std::max(1, settings.requests / kRounds);
  Tally target_tally;
  Tally baseline_tally;
  std::optional<Side> straight;
  if (!settings.baseline.empty()) {
    const auto baseline = Endpoint::Parse(settings.baseline, "baseline");
    if (!baseline) {
      return tl::unexpected(baseline.error());
    }
    straight = Side{*baseline, settings.baseline_path};
  }
  for (int round = 0; round < kRounds; ++round) {
    RunRound(settings, through, per_round, target_tally);
    if (straight) {
      RunRound(settings, *straight, per_round, baseline_tally);
    }
  }
  json report{{"callers", settings.callers},
              {"target", Summarize(std::move(target_tally))}};
  if (straight) {
    report["baseline"] = Summarize(std::move(baseline_tally));
    report["ratio_p50"] =
        RatioOf(report["target"], report["baseline"], "p50_us");
    report["ratio_p99"] =
        RatioOf(report["target"], report["baseline"], "p99_us");
  }
  return report;
}

}  // namespace zinniacart
