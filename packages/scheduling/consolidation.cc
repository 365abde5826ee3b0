#include "scheduling/consolidation.h"

#include <algorithm>
#include <vector>

namespace zinniacart {
namespace {

/// A perpetual task that is at work shows this progress.
constexpr int kAtWork = 100;

/// So many tasks may be on their way at once, each of another step.
constexpr std::size_t kMostUnderway = 3;

std::int64_t ServingMillicores(const Host& host) {
  std::int64_t sum = 0;
  for (const auto& [id, run] : host.runs) {
    sum += run.serves ? run.demand.millicores : 0;
  }
  return sum;
}

/// @returns whether each task of the step is at work.
bool AllAtWork(const ConsolidationView& view,
               const Job& job,
               const TaskKey& of) {
  const auto& tasks = job.At(of.occurrence, of.step).tasks;
  for (std::uint32_t index = 0; index < tasks.size(); ++index) {
    const Task& task = tasks[index];
    TaskRun id{of, task.run};
    id.task.index = index;
    const auto host = view.hosts.find(task.placement.host);
    if (task.phase != TaskPhase::kPlaced || host == view.hosts.end()) {
      return false;
    }
    const auto run = host->second.runs.find(id);
    if (run == host->second.runs.end() || run->second.stopping ||
        run->second.latest.progress_percent < kAtWork) {
      return false;
    }
  }
  return true;
}

/// What tasks on their way from one host to another need.
struct Underway {
  std::size_t count = 0;
  ReservedCapacity room;
};

Underway FindUnderway(const ConsolidationView& view) {
  Underway underway;
  for (const auto& [id, job] : view.jobs) {
    for (std::uint32_t step = 0;
         job->active() && step < job->spec().steps.size(); ++step) {
      for (const Task& task : job->At(0, step).tasks) {
        if (task.move_target != HostId()) {
          ++underway.count;
          underway.room[task.move_target] += job->spec().steps[step].demand;
        }
      }
    }
  }
  return underway;
}

/// @returns the hosts with serving tasks, the one with the least first.
std::vector<const Host*> ServingHosts(const PlacementIndex& index) {
  std::vector<const Host*> hosts;
  for (const HostCapacity& room : index.usable_hosts()) {
    if (!room.serving.empty()) {
      hosts.push_back(room.host);
    }
  }
  std::stable_sort(
      hosts.begin(), hosts.end(), [](const Host* left, const Host* right) {
        return ServingMillicores(*left) < ServingMillicores(*right);
      });
  return hosts;
}

/// @returns the moves that empty the host, nothing where one does not fit.
std::optional<std::vector<ServingMove>> MovesThatEmpty(
    const ConsolidationView& view,
    const Host& host,
    ReservedCapacity taken) {
  std::vector<ServingMove> moves;
  for (const auto& [id, run] : host.runs) {
    if (!run.serves || run.stopping) {
      continue;
    }
    const auto found = view.jobs.find(id.task.job);
    if (found == view.jobs.end()) {
      return std::nullopt;
    }
    Job& job = *found->second;
    const StepSpec& step = job.spec().steps[id.task.step];
    if (step.gang) {
      return std::nullopt;
    }
    PlacementRequest request{job, id.task, step, *job.Find(id.task), false};
    request.consolidating_from = host.id();
    const auto to = ChooseHost(view.placement, request, taken);
    if (!to) {
      return std::nullopt;
    }
    taken[*to] += run.demand;
    moves.push_back(ServingMove{id, host.id(), *to});
  }
  return moves;
}

}  // namespace

std::optional<ServingMove> ChooseServingMove(const ConsolidationView& view) {
  const Underway underway = FindUnderway(view);
  if (underway.count >= kMostUnderway) {
    return std::nullopt;
  }
  for (const Host* host : ServingHosts(view.placement)) {
    const auto moves = MovesThatEmpty(view, *host, underway.room);
    if (!moves) {
      continue;
    }
    for (const ServingMove& move : *moves) {
      const TaskKey& task = move.run.task;
      if (AllAtWork(view, *view.jobs.at(task.job), task)) {
        return move;
      }
    }
    // One host after the other: the rest of this one follows.
    return std::nullopt;
  }
  return std::nullopt;
}

}  // namespace zinniacart
