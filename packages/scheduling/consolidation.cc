#include "scheduling/consolidation.h"

#include <algorithm>
#include <vector>

namespace zinniacart {
namespace {

/// Progress that a perpetual task reports once it is ready.
constexpr int kReadyPercent = 100;

/// Maximum number of moves in progress, each of a different step.
constexpr std::size_t kMaxMovesInProgress = 3;

std::int64_t ServingMillicores(const Host& host) {
  std::int64_t sum = 0;
  for (const auto& [id, run] : host.runs) {
    sum += run.serves ? run.demand.millicores : 0;
  }
  return sum;
}

/// @returns whether each task of the step of `key` is ready.
bool AllTasksReady(const ConsolidationView& view,
                   const Job& job,
                   const TaskKey& key) {
  const auto& tasks = job.At(key.occurrence, key.step).tasks;
  for (std::uint32_t index = 0; index < tasks.size(); ++index) {
    const Task& task = tasks[index];
    TaskRun id{key, task.run};
    id.task.index = index;
    const auto host = view.hosts.find(task.placement.host);
    if (task.phase != TaskPhase::kPlaced || host == view.hosts.end()) {
      return false;
    }
    const auto run = host->second.runs.find(id);
    if (run == host->second.runs.end() || run->second.stopping ||
        run->second.latest.progress_percent < kReadyPercent) {
      return false;
    }
  }
  return true;
}

/// Tasks that are being moved, and the capacity that they need at their
/// targets.
struct MovesInProgress {
  std::size_t count = 0;
  ReservedCapacity reserved;
};

MovesInProgress FindMovesInProgress(const ConsolidationView& view) {
  MovesInProgress moves_in_progress;
  for (const auto& [id, job] : view.jobs) {
    if (!job->active()) {
      continue;
    }
    job->ForEachTask([&, &steps = job->spec().steps](const TaskKey& key,
                                                     const Task& task) {
      if (task.move_target != HostId()) {
        ++moves_in_progress.count;
        moves_in_progress.reserved[task.move_target] += steps[key.step].demand;
      }
    });
  }
  return moves_in_progress;
}

/// @returns the hosts with serving tasks, ordered by the processors that these
/// tasks use, smallest first.
std::vector<const Host*> ServingHosts(const PlacementIndex& index) {
  std::vector<const Host*> hosts;
  for (const HostCapacity& capacity : index.usable_hosts()) {
    if (!capacity.serving.empty()) {
      hosts.push_back(capacity.host);
    }
  }
  std::stable_sort(
      hosts.begin(), hosts.end(), [](const Host* left, const Host* right) {
        return ServingMillicores(*left) < ServingMillicores(*right);
      });
  return hosts;
}

/// @returns the moves that clear the host of serving tasks, nothing if a task
/// cannot be moved.
std::optional<std::vector<ServingMove>> MovesToEmpty(
    const ConsolidationView& view,
    const Host& host,
    ReservedCapacity reserved) {
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
    const Task* task = job.Find(id.task);
    if (step.gang || task == nullptr) {
      return std::nullopt;
    }
    PlacementRequest request{job, id.task, step, *task, false};
    request.consolidating_from = host.id();
    const auto to = ChooseHost(view.placement, request, reserved);
    if (!to) {
      return std::nullopt;
    }
    reserved[*to] += run.demand;
    moves.push_back(ServingMove{id, host.id(), *to});
  }
  return moves;
}

}  // namespace

std::optional<ServingMove> ChooseServingMove(const ConsolidationView& view) {
  const MovesInProgress moves_in_progress = FindMovesInProgress(view);
  if (moves_in_progress.count >= kMaxMovesInProgress) {
    return std::nullopt;
  }
  for (const Host* host : ServingHosts(view.placement)) {
    const auto moves = MovesToEmpty(view, *host, moves_in_progress.reserved);
    if (!moves) {
      continue;
    }
    for (const ServingMove& move : *moves) {
      const TaskKey& task = move.run.task;
      if (AllTasksReady(view, *view.jobs.at(task.job), task)) {
        return move;
      }
    }
    // Hosts are emptied one at a time; the other tasks of this one come first.
    return std::nullopt;
  }
  return std::nullopt;
}

}  // namespace zinniacart
