// Compares ways to keep services fast beside batch work, with the same seeds
// and the same hidden interference in one run. The control code is the real
// one; hosts, services and tasks are a small model.
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
constexpr double kServiceMedianMs = 10.0;
constexpr double kServiceSpread = 0.25;
constexpr double kTargetMs = 25.0;
constexpr double kNoisyShare = 0.15;
constexpr int kStepsToMove = 8;

/// No batch work at all: how fast the service could be.
struct NoBatch {};
/// Batch work runs at full speed whatever happens.
struct NoControl {};
/// A random batch task is evicted whenever the target is missed.
struct ImmediateEviction {};
/// The product's control.
struct Experiments {};
using Way = std::variant<NoBatch, NoControl, ImmediateEviction, Experiments>;

struct ModelTask {
  TaskId id;
  double harm = 0.0;
  int percent = InterferenceControl::kFullSpeed;
  int steps_away = 0;
  int steps_left = 0;
};

struct ModelHost {
  std::vector<ModelTask> tasks;
  TailEstimator tail;
  InterferenceControl control;
};

struct Tally {
  std::vector<double> latencies_ms;
  double work = 0.0;
  double possible_work = 0.0;
  int evictions = 0;
};

class Model final {
 public:
  Model(Way way, std::uint64_t seed) : m_way(way), m_random(seed) {}

  void Run(Tally& tally) {
    std::vector<ModelHost> hosts(kHosts);
    for (ModelHost& host : hosts) {
      const bool batch = !std::holds_alternative<NoBatch>(m_way);
      for (int number = 0; batch && number < kTasksPerHost; ++number) {
        host.tasks.push_back(MakeTask());
      }
    }
    for (Instant now; now < Instant{} + kRunTime; now = now + kStep) {
      for (ModelHost& host : hosts) {
        StepHost(host, now, tally);
      }
    }
  }

 private:
  ModelTask MakeTask() {
    std::uniform_real_distribution<double> share(0.0, 1.0);
    ModelTask task;
    task.id = TaskId("model:job:" + std::to_string(++m_task_count));
    const bool noisy = share(m_random) < kNoisyShare;
    task.harm = noisy ? 0.5 + share(m_random) : 0.01;
    task.steps_left = 200 + static_cast<int>(share(m_random) * 1'000);
    return task;
  }

  void StepHost(ModelHost& host, Instant now, Tally& tally) {
    double slowdown = 1.0;
    for (ModelTask& task : host.tasks) {
      tally.possible_work += 1.0;
      if (task.steps_away > 0) {
        --task.steps_away;
        continue;
      }
      const double speed = task.percent / 100.0;
      tally.work += speed;
      slowdown += task.harm * speed;
      if (--task.steps_left <= 0) {
        task = MakeTask();
      }
    }
    std::lognormal_distribution<double> latency(std::log(kServiceMedianMs),
                                                kServiceSpread);
    for (int number = 0; number < kRequestsPerStep; ++number) {
      const double sample = latency(m_random) * slowdown;
      tally.latencies_ms.push_back(sample);
      host.tail.Add(Duration(static_cast<std::int64_t>(sample)));
    }
    Control(host, now, tally);
  }

  void Control(ModelHost& host, Instant now, Tally& tally) {
    const double pressure =
        static_cast<double>(host.tail.tail().count()) / kTargetMs;
    std::visit(Visitor{[](const NoBatch&) {}, [](const NoControl&) {},
                       [&](const ImmediateEviction&) {
                         if (pressure > 1.0) {
                           EvictRandom(host, tally);
                         }
                       },
                       [&](const Experiments&) {
                         RunExperiments(host, pressure, now, tally);
                       }},
               m_way);
  }

  void EvictRandom(ModelHost& host, Tally& tally) {
    std::vector<ModelTask*> present;
    for (ModelTask& task : host.tasks) {
      if (task.steps_away == 0) {
        present.push_back(&task);
      }
    }
    if (!present.empty()) {
      Replace(*present[m_random() % present.size()], tally);
    }
  }

  void Replace(ModelTask& task, Tally& tally) {
    // Its place stands empty while it is moved; another task comes.
    task = MakeTask();
    task.steps_away = kStepsToMove;
    ++tally.evictions;
  }

  void RunExperiments(ModelHost& host,
                      double pressure,
                      Instant now,
                      Tally& tally) {
    InterferenceControl::Observation observation{pressure, true, {}};
    for (const ModelTask& task : host.tasks) {
      if (task.steps_away == 0) {
        observation.batch_tasks.push_back(task.id);
      }
    }
    for (const auto& action : host.control.Observe(observation, now)) {
      std::visit(Visitor{[&](const InterferenceControl::Throttle& throttle) {
                           Find(host, throttle.task)->percent =
                               throttle.percent;
                         },
                         [&](const InterferenceControl::Evict& evict) {
                           Replace(*Find(host, evict.task), tally);
                         }},
                 action);
    }
  }

  static ModelTask* Find(ModelHost& host, const TaskId& id) {
    return &*std::find_if(host.tasks.begin(), host.tasks.end(),
                          [&](const ModelTask& task) { return task.id == id; });
  }

  const Way m_way;
  std::mt19937_64 m_random;
  std::uint64_t m_task_count = 0;
};

double Quantile(std::vector<double>& values, double share) {
  const auto index =
      static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size()));
  std::nth_element(values.begin(), values.begin() + index, values.end());
  return values[static_cast<std::size_t>(index)];
}

void Report(const char* name, Way way) {
  Tally tally;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Model(way, seed).Run(tally);
  }
  const double work =
      tally.possible_work > 0.0 ? tally.work / tally.possible_work : 0.0;
  std::printf(
      "%-20s p99 %6.1f ms  p99.9 %6.1f ms  batch work %5.1f%%  evictions %d\n",
      name, Quantile(tally.latencies_ms, 0.99),
      Quantile(tally.latencies_ms, 0.999), 100.0 * work, tally.evictions);
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
  Report("experiments", Experiments{});
  return 0;
}
