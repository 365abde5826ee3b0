#include <algorithm>
#include <cmath>
#include <map>
#include <string>
#include <utility>

#include "scheduling/consolidation.h"
#include "scheduling/placement.h"
#include "scheduling/scheduler.h"

namespace zinniacart {
namespace {

/// @returns the cores that a non-serving task uses, as last measured.
double CoresInUse(const HostedRun& run) {
  return Resources{run.latest.measure, 0, 0}.cores();
}

/// Each measurement covers half a second and measurements are listed twice a
/// second. Within this time after a change, they may not reflect it.
constexpr Duration kMeasureDelay{800};
/// Lists taken closer together than this cover the same half second.
constexpr Duration kMinMeasureInterval{200};

/// @returns whether the measurements may not reflect the run's start or its
/// newest pace yet.
bool IsUnsteady(const HostedRun& run, Instant now) {
  return now - std::max(run.started_at, run.paced_at) < kMeasureDelay;
}

}  // namespace

std::vector<ImageUse> Scheduler::MeasureBestEffortUse(Host& host) {
  std::map<std::string, double> measured;
  for (const auto& [id, run] : host.runs) {
    if (run.started && run.best_effort) {
      measured[run.image] += CoresInUse(run);
    }
  }
  const std::map<std::string, double> before =
      std::exchange(host.measured_use, measured);
  for (const auto& [image, cores] : before) {
    measured.try_emplace(image, 0.0);
  }
  std::vector<ImageUse> uses;
  for (const auto& [image, cores] : measured) {
    const auto found = before.find(image);
    const double cores_before = found == before.end() ? 0.0 : found->second;
    uses.push_back(ImageUse{image, (cores + cores_before) / 2,
                            std::abs(cores - cores_before)});
  }
  return uses;
}

void Scheduler::UpdatePacing(Host& host, std::uint64_t list_number) {
  // A list that was processed before, or was taken only shortly after the last
  // one, contains no new measurements.
  const Instant now = m_clock.Now();
  if (list_number == host.measured_list ||
      now - host.measured_at < kMinMeasureInterval) {
    return;
  }
  host.measured_list = list_number;
  host.measured_at = now;
  ObserveServing(host, MeasureBestEffortUse(host));
  std::vector<ServingMeasure> serving;
  std::vector<std::string> images;
  for (const auto& [id, run] : host.runs) {
    if (run.started && run.serves && run.margin()) {
      const double baseline = m_serving_loads.at(id.task.First()).margin();
      serving.push_back(
          ServingMeasure{*run.margin(), baseline, *run.expected_margin});
      images.push_back(run.image);
    }
  }
  std::vector<BestEffortPace> paced;
  for (const auto& [id, run] : host.runs) {
    if (run.started && run.best_effort && !run.stopping) {
      paced.push_back(BestEffortPace{id, run.wanted_percent, run.demand.cores(),
                                     IsUnsteady(run, now),
                                     MarginLossPerCore(run, images)});
    }
  }
  for (const BestEffortPace& change :
       host.pacing.Decide(serving, std::move(paced), now)) {
    SetPace(host, change);
  }
}

void Scheduler::SetPace(Host& host, const BestEffortPace& change) {
  HostedRun& run = host.runs.at(change.id);
  m_log({"run paced", change.id, host.id(),
         "to " + std::to_string(change.percent) +
             " percent of full speed; lowest serving margin " +
             std::to_string(host.pacing.min_margin().value_or(0))});
  run.wanted_percent = change.percent;
  run.pace_pending = true;
  run.paced_at = m_clock.Now();
  run.never_slowed = false;
  if (change.percent > 0) {
    run.halted_at.reset();
  } else if (!run.halted_at) {
    run.halted_at = m_clock.Now();
  }
  host.has_orders = true;
}

void Scheduler::ObserveServing(Host& host,
                               const std::vector<ImageUse>& colocated) {
  const Instant now = m_clock.Now();
  for (auto& [id, run] : host.runs) {
    const auto margin = run.margin();
    if (!run.started || !run.serves || !margin) {
      continue;
    }
    const TaskKey step = id.task.First();
    auto load = m_serving_loads.find(step);
    if (load == m_serving_loads.end()) {
      load = m_serving_loads
                 .emplace(step, m_interference.InitialLoad(run.image, *margin,
                                                           colocated, now))
                 .first;
    }
    m_interference.Learn(run.image, *margin, colocated, load->second, now);
    run.expected_margin =
        load->second.margin() -
        load->second.ExpectedFall(m_settings.pace_effect_delay);
  }
}

std::vector<double> Scheduler::MarginLossPerCore(
    const HostedRun& run,
    const std::vector<std::string>& serving_images) const {
  std::vector<double> losses;
  losses.reserve(serving_images.size());
  for (const std::string& image : serving_images) {
    losses.push_back(
        m_interference.Estimate(image, run.image, m_clock.Now()).loss_per_core);
  }
  return losses;
}

void Scheduler::MoveHaltedRuns() {
  std::optional<PlacementIndex> index;
  for (auto& [id, host] : m_hosts) {
    const bool halted =
        std::any_of(host.runs.begin(), host.runs.end(), [&](const auto& entry) {
          const HostedRun& run = entry.second;
          return run.halted_at && !run.stopping &&
                 m_clock.Now() - *run.halted_at >= m_settings.move_halted_after;
        });
    if (!halted) {
      continue;
    }
    if (!index) {
      index.emplace(MakeIndex());
    }
    MoveHaltedRunsOf(host, *index);
  }
}

void Scheduler::MoveHaltedRunsOf(Host& host, PlacementIndex& index) {
  const Instant now = m_clock.Now();
  for (auto& [id, run] : host.runs) {
    Job* job = FindJob(id.task.job);
    if (job == nullptr || !run.halted_at || run.stopping ||
        now - *run.halted_at < m_settings.move_halted_after ||
        now - run.started_at < m_settings.min_stay) {
      continue;
    }
    const StepSpec& step = job->spec().steps[id.task.step];
    Task* task = job->Find(id.task);
    if (!step.checkpoints || step.gang || task == nullptr ||
        !WithinBudget(id, host)) {
      continue;
    }
    const auto better =
        ChooseHost(index, PlacementRequest{*job, id.task, step, *task, false});
    if (!better || *better == host.id()) {
      continue;
    }
    m_log({"run moved", id, host.id(),
           "halted by pacing; to be placed at " + better->value()});
    StopRun(*job, id.task, host, run);
    index.Refresh(host);
  }
}

void Scheduler::Consolidate() {
  const bool best_effort =
      std::any_of(m_jobs.begin(), m_jobs.end(), [](const auto& entry) {
        const auto& steps = entry.second->spec().steps;
        return entry.second->active() && std::any_of(steps.begin(), steps.end(),
                                                     [](const StepSpec& step) {
                                                       return step.best_effort;
                                                     });
      });
  // A task that is expected back from an upkeep must not be joined by another.
  if (!best_effort || HasUpkeep()) {
    return;
  }
  const PlacementIndex index = MakeIndex();
  const auto move =
      ChooseServingMove(ConsolidationView{index, m_hosts, m_jobs});
  if (!move) {
    return;
  }
  Job& job = *FindJob(move->run.task.job);
  Host& host = m_hosts.at(move->from);
  job.Find(move->run.task)->move_target = move->to;
  m_log({"run moved", move->run, move->from,
         "consolidating serving tasks at " + move->to.value()});
  StopRun(job, move->run.task, host, host.runs.at(move->run));
}

}  // namespace zinniacart
