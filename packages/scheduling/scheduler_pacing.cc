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
  std::vector<std::string> images;
  for (const auto& [id, run] : host.runs) {
    if (run.started && run.serves) {
      const auto target = static_cast<double>(run.latency_target.count());
      const auto tail = static_cast<double>(run.latest.measure);
      serving.push_back(ServingMeasure{
          tail / target, UndisturbedTail(id.task).value_or(tail) / target});
      images.push_back(run.image);
    }
  }
  std::vector<BestEffortPace> paced;
  for (const auto& [id, run] : host.runs) {
    if (run.started && run.best_effort && !run.stopping) {
      paced.push_back(
          BestEffortPace{id, run.wanted_percent, HarmOf(run, images)});
    }
  }
  const Instant now = m_clock.Now();
  for (const BestEffortPace& change :
       host.pacing.Decide(serving, std::move(paced), now)) {
    HostedRun& run = host.runs.at(change.id);
    m_log({"run paced", change.id, host.id(),
           "percent " + std::to_string(change.percent) + ", pressure " +
               std::to_string(host.pacing.pressure())});
    run.wanted_percent = change.percent;
    run.pace_waits = true;
    if (change.percent > 0) {
      run.halted_at.reset();
    } else if (!run.halted_at) {
      run.halted_at = now;
    }
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

std::vector<double> Scheduler::HarmOf(
    const HostedRun& run,
    const std::vector<std::string>& serving_images) const {
  const double cores =
      static_cast<double>(run.demand.millicores) / kMillicoresPerCore;
  std::vector<double> harm;
  for (const std::string& image : serving_images) {
    harm.push_back(cores * m_interference.PerCore(image, run.image));
  }
  return harm;
}

void Scheduler::MoveHalted(Host& host) {
  const Instant now = m_clock.Now();
  for (auto& [id, run] : host.runs) {
    Job* job = FindJob(id.task.job);
    if (job == nullptr || !run.halted_at || run.stopping ||
        now - *run.halted_at < m_settings.move_halted_after ||
        now - run.started_at < m_settings.least_stay) {
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
    StopRun(*job, id.task, host, run);
  }
}

}  // namespace zinniacart
