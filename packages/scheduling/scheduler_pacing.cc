#include <algorithm>
#include <map>
#include <string>

#include "scheduling/placement.h"
#include "scheduling/scheduler.h"

namespace zinniacart {
namespace {

constexpr double kMillicoresPerCore = 1000.0;

/// @returns what best-effort work uses on the host, by image.
std::vector<ImageUse> BestEffortUse(const Host& host) {
  std::map<std::string, double> cores;
  for (const auto& [id, run] : host.runs) {
    if (run.started && run.best_effort) {
      cores[run.image] +=
          static_cast<double>(run.latest.measure) / kMillicoresPerCore;
    }
  }
  std::vector<ImageUse> uses;
  for (const auto& [image, used] : cores) {
    uses.push_back(ImageUse{image, used});
  }
  return uses;
}

}  // namespace

void Scheduler::UpdatePacing(Host& host) {
  LearnInterference(host);
  std::vector<ServingMeasure> serving;
  std::vector<BestEffortPace> paced;
  for (const auto& [id, run] : host.runs) {
    if (run.started && run.serves) {
      serving.push_back(
          ServingMeasure{id, Duration(run.latest.measure), run.latency_target});
    } else if (run.started && run.best_effort && !run.stopping) {
      paced.push_back(
          BestEffortPace{id, run.wanted_percent, HarmOf(host, run)});
    }
  }
  const Instant now = m_clock.Now();
  for (const BestEffortPace& change : host.pacing.Decide(serving, paced, now)) {
    HostedRun& run = host.runs.at(change.id);
    m_log({"run paced", change.id, host.id(),
           "percent " + std::to_string(change.percent) + ", pressure " +
               std::to_string(host.pacing.pressure())});
    run.wanted_percent = change.percent;
    run.pace_waits = true;
    run.halted_at = change.percent == 0 ? std::optional(now) : std::nullopt;
    host.has_orders = true;
  }
  MoveHalted(host);
}

void Scheduler::LearnInterference(const Host& host) {
  const auto beside = BestEffortUse(host);
  if (beside.empty()) {
    return;
  }
  for (const auto& [id, run] : host.runs) {
    if (!run.started || !run.serves || run.latest.measure == 0) {
      continue;
    }
    if (const auto undisturbed = UndisturbedTail(id.task)) {
      const double excess =
          (static_cast<double>(run.latest.measure) - *undisturbed) /
          static_cast<double>(run.latency_target.count());
      m_interference.Learn(run.image, excess, beside);
    }
  }
}

std::optional<double> Scheduler::UndisturbedTail(const TaskKey& serving) const {
  // The tasks of a step share their load, so the quickest of them shows what
  // the others would be without what works beside them.
  std::optional<double> least;
  const auto job = m_jobs.find(serving.job);
  if (job == m_jobs.end()) {
    return least;
  }
  for (const Task& task :
       job->second->At(serving.occurrence, serving.step).tasks) {
    const auto host = m_hosts.find(task.placement.host);
    if (!task.placed() || host == m_hosts.end()) {
      continue;
    }
    TaskRun id{serving, task.run};
    id.task.index = static_cast<std::uint32_t>(
        &task - job->second->At(serving.occurrence, serving.step).tasks.data());
    const auto run = host->second.runs.find(id);
    if (run == host->second.runs.end() || run->second.latest.measure == 0) {
      continue;
    }
    const auto tail = static_cast<double>(run->second.latest.measure);
    least = least ? std::min(*least, tail) : tail;
  }
  return least;
}

double Scheduler::HarmOf(const Host& host, const HostedRun& run) const {
  const double cores =
      static_cast<double>(run.demand.millicores) / kMillicoresPerCore;
  double worst = 0;
  for (const auto& [id, serving] : host.runs) {
    if (serving.serves) {
      worst = std::max(
          worst, cores * m_interference.PerCore(serving.image, run.image));
    }
  }
  return worst;
}

void Scheduler::MoveHalted(Host& host) {
  const Instant now = m_clock.Now();
  for (auto& [id, run] : host.runs) {
    Job* job = FindJob(id.task.job);
    if (job == nullptr || !run.halted_at || run.stopping ||
        now - *run.halted_at < m_settings.move_halted_after) {
      continue;
    }
    const StepSpec& step = job->spec().steps[id.task.step];
    Task* task = job->Find(id.task);
    if (!step.checkpoints || step.gang || task == nullptr) {
      continue;
    }
    const auto better =
        ChooseHost(View(), PlacementRequest{*job, id.task, step, *task, false});
    if (!better || *better == host.id()) {
      continue;
    }
    m_log({"run moved", id, host.id(), "halted; room at " + better->value()});
    run.stopping = true;
    run.delivered_to = {};
    task->phase = TaskPhase::kStopping;
    host.has_orders = true;
  }
}

}  // namespace zinniacart
