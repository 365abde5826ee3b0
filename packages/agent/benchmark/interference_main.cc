// Compares policies for limiting the interference of batch tasks with services
// on the same host. Every policy runs with the same seeds; the interference of
// each task is hidden from the policies. Only the control code is the
// product's: hosts, services and tasks are simulated.
#include <algorithm>
#include <cmath>
#include <cstdio>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "agent/interference_control.h"
#include "placement/messages.h"
#include "routing/tail_estimator.h"

namespace zinniacart {
namespace {

constexpr int kHosts = 11;
constexpr int kTasksPerHost = 6;
constexpr int kSeeds = 20;
constexpr Duration kRunTime{1'800'000};
constexpr Duration kStep{500};
constexpr int kRequestsPerStep = 100;
/// Request latency without interference is log-normal.
constexpr double kMedianLatencyMs = 10.0;
constexpr double kLatencyLogDeviation = 0.25;
constexpr double kLatencyTargetMs = 25.0;
constexpr double kInterferingTaskShare = 0.15;
/// Steps for which a task slot stays empty after an eviction.
constexpr int kStartDelaySteps = 8;

/// No batch tasks: the lowest latency that the service can have.
struct NoBatch {};
/// Batch tasks always run at full speed.
struct NoControl {};
/// A random batch task is evicted whenever the target is missed.
struct ImmediateEviction {};
/// The product's `InterferenceControl`.
struct ThrottlingExperiments {};
using Policy =
    std::variant<NoBatch, NoControl, ImmediateEviction, ThrottlingExperiments>;

struct ModelTask {
  TaskId id;
  /// Relative increase of request latency while the task runs at full speed.
  double interference = 0.0;
  int percent = InterferenceControl::kFullSpeedPercent;
  /// Steps until the task starts; 0 while it runs.
  int start_delay_steps = 0;
  int run_steps_left = 0;
};

struct ModelHost {
  std::vector<ModelTask> tasks;
  TailEstimator tail;
  InterferenceControl control;
};

/// Results over all hosts and seeds of one policy.
struct Totals {
  std::vector<double> latencies_ms;
  double work = 0.0;
  /// Work that all tasks would do at full speed.
  double possible_work = 0.0;
  int evictions = 0;
};

class Model final {
 public:
  Model(Policy policy, std::uint64_t seed) : m_policy(policy), m_random(seed) {}

  void Run(Totals& totals) {
    std::vector<ModelHost> hosts(kHosts);
    for (ModelHost& host : hosts) {
      const bool batch = !std::holds_alternative<NoBatch>(m_policy);
      for (int number = 0; batch && number < kTasksPerHost; ++number) {
        host.tasks.push_back(MakeTask());
      }
    }
    for (Instant now; now < Instant{} + kRunTime; now = now + kStep) {
      for (ModelHost& host : hosts) {
        StepHost(host, now, totals);
      }
    }
  }

 private:
  ModelTask MakeTask() {
    std::uniform_real_distribution<double> share(0.0, 1.0);
    ModelTask task;
    task.id = TaskId("model:job:" + std::to_string(++m_task_count));
    const bool interferes = share(m_random) < kInterferingTaskShare;
    task.interference = interferes ? 0.5 + share(m_random) : 0.01;
    task.run_steps_left = 200 + static_cast<int>(share(m_random) * 1'000);
    return task;
  }

  void StepHost(ModelHost& host, Instant now, Totals& totals) {
    double slowdown = 1.0;
    for (ModelTask& task : host.tasks) {
      totals.possible_work += 1.0;
      if (task.start_delay_steps > 0) {
        --task.start_delay_steps;
        continue;
      }
      const double speed = task.percent / 100.0;
      totals.work += speed;
      slowdown += task.interference * speed;
      if (--task.run_steps_left <= 0) {
        task = MakeTask();
      }
    }
    std::lognormal_distribution<double> latency(std::log(kMedianLatencyMs),
                                                kLatencyLogDeviation);
    for (int number = 0; number < kRequestsPerStep; ++number) {
      const double sample = latency(m_random) * slowdown;
      totals.latencies_ms.push_back(sample);
      host.tail.Add(Duration(static_cast<std::int64_t>(sample)));
    }
    ApplyPolicy(host, now, totals);
  }

  void ApplyPolicy(ModelHost& host, Instant now, Totals& totals) {
    const double latency_ratio =
        static_cast<double>(host.tail.tail().count()) / kLatencyTargetMs;
    std::visit(Visitor{[](const NoBatch&) {}, [](const NoControl&) {},
                       [&](const ImmediateEviction&) {
                         if (latency_ratio > 1.0) {
                           EvictRandom(host, totals);
                         }
                       },
                       [&](const ThrottlingExperiments&) {
                         ApplyThrottlingExperiments(host, latency_ratio, now,
                                                    totals);
                       }},
               m_policy);
  }

  void EvictRandom(ModelHost& host, Totals& totals) {
    std::vector<ModelTask*> running_tasks;
    for (ModelTask& task : host.tasks) {
      if (task.start_delay_steps == 0) {
        running_tasks.push_back(&task);
      }
    }
    if (!running_tasks.empty()) {
      Replace(*running_tasks[m_random() % running_tasks.size()], totals);
    }
  }

  void Replace(ModelTask& task, Totals& totals) {
    // The slot stays empty for the time of a move; then another task uses it.
    task = MakeTask();
    task.start_delay_steps = kStartDelaySteps;
    ++totals.evictions;
  }

  void ApplyThrottlingExperiments(ModelHost& host,
                                  double latency_ratio,
                                  Instant now,
                                  Totals& totals) {
    InterferenceControl::Observation observation{latency_ratio, true, {}};
    for (const ModelTask& task : host.tasks) {
      if (task.start_delay_steps == 0) {
        observation.batch_tasks.push_back(task.id);
      }
    }
    for (const auto& action : host.control.Observe(observation, now)) {
      std::visit(Visitor{[&](const InterferenceControl::Throttle& throttle) {
                           FindTask(host, throttle.task)->percent =
                               throttle.percent;
                         },
                         [&](const InterferenceControl::Evict& evict) {
                           Replace(*FindTask(host, evict.task), totals);
                         }},
                 action);
    }
  }

  static ModelTask* FindTask(ModelHost& host, const TaskId& id) {
    return &*std::find_if(host.tasks.begin(), host.tasks.end(),
                          [&](const ModelTask& task) { return task.id == id; });
  }

  const Policy m_policy;
  std::mt19937_64 m_random;
  std::uint64_t m_task_count = 0;
};

double Quantile(std::vector<double>& values, double share) {
  const auto index =
      static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size()));
  std::nth_element(values.begin(), values.begin() + index, values.end());
  return values[static_cast<std::size_t>(index)];
}

void Report(const char* name, Policy policy) {
  Totals totals;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Model(policy, seed).Run(totals);
  }
  const double work =
      totals.possible_work > 0.0 ? totals.work / totals.possible_work : 0.0;
  std::printf(
      "%-20s p99 %6.1f ms  p99.9 %6.1f ms  batch work %5.1f%%  evictions %d\n",
      name, Quantile(totals.latencies_ms, 0.99),
      Quantile(totals.latencies_ms, 0.999), 100.0 * work, totals.evictions);
}

}  // namespace
}  // namespace zinniacart

int main() {
  using namespace zinniacart;
  std::printf("%d seeds, %d hosts, %.0f simulated minutes each\n", kSeeds,
              kHosts, static_cast<double>(kRunTime.count()) / 60'000.0);
  Report("no batch", NoBatch{});
  Report("no control", NoControl{});
  Report("immediate eviction", ImmediateEviction{});
  Report("experiments", ThrottlingExperiments{});
  return 0;
}
