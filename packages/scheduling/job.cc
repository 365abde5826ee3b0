#include "scheduling/job.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "base/json_text.h"

namespace zinniacart {
namespace {

using nlohmann::json;

/// Phases of tasks in stored progress. `kStopping` is stored as placed.
constexpr char kDoneMark = 'd';
constexpr char kPlacedMark = 'r';
constexpr char kPendingMark = 'p';

/// How long a run may have worked, at the most, that an agent does not know to
/// have survived its start.
constexpr Duration kStartTime{500};

constexpr std::int64_t kMaxFailures = std::numeric_limits<std::int32_t>::max();

bool IsInitial(const Task& task) {
  return task.phase == TaskPhase::kPending && task.run == RunNumber() &&
         task.failures == 0;
}

/// Marks the row of a late crash where others have their `CrashEvidence`.
constexpr std::int64_t kLateMark =
    static_cast<std::int64_t>(CrashEvidence::kSole) + 1;

/// @returns the run that last cleared the task, followed by its crashes.
json EncodeCrashes(const Task& task) {
  json rows = json::array({task.proven_run.value()});
  for (const SuspectedCrash& crash : task.crashes.early) {
    rows.push_back(
        json::array({crash.host.value(), crash.incarnation.value(),
                     crash.run.value(), static_cast<int>(crash.evidence)}));
  }
  for (const LateCrash& crash : task.crashes.late) {
    rows.push_back(json::array({crash.host.value(), crash.incarnation.value(),
                                crash.run.value(), kLateMark,
                                crash.worked.count(), crash.beside_starts}));
  }
  return rows;
}

RunNumber ReadRun(const json& value) {
  return RunNumber(static_cast<std::uint64_t>(ReadInteger(value, "run")));
}

WorkerIncarnation ReadIncarnation(const json& value) {
  return WorkerIncarnation(ReadInteger(value, "incarnation", -kMaxJsonInteger));
}

void DecodeCrashes(const json& rows, Task& task) {
  task.proven_run = ReadRun(rows.at(0));
  for (std::size_t number = 1; number < rows.size(); ++number) {
    const json& row = rows.at(number);
    const HostId host(row.at(0).get<std::string>());
    const WorkerIncarnation incarnation = ReadIncarnation(row.at(1));
    const RunNumber run = ReadRun(row.at(2));
    const std::int64_t mark = ReadInteger(row.at(3), "evidence", 0, kLateMark);
    if (mark == kLateMark) {
      task.crashes.late.push_back(LateCrash{
          host, incarnation, run, Duration(ReadInteger(row.at(4), "worked")),
          row.at(5).get<bool>()});
    } else {
      task.crashes.early.push_back(SuspectedCrash{
          host, incarnation, run, static_cast<CrashEvidence>(mark)});
    }
  }
}

/// @returns whether a crash of the run is recorded. A run can have crashed one
/// worker only.
bool IsRecorded(const CrashRecord& crashes, RunNumber run) {
  const auto matches = [run](const auto& crash) { return crash.run == run; };
  return std::any_of(crashes.early.begin(), crashes.early.end(), matches) ||
         std::any_of(crashes.late.begin(), crashes.late.end(), matches);
}

char PhaseMarkOf(const Task& task) {
  if (task.phase == TaskPhase::kDone) {
    return kDoneMark;
  }
  return task.placed() ? kPlacedMark : kPendingMark;
}

json EncodeTask(std::size_t step, std::size_t index, const Task& task) {
  const char mark = PhaseMarkOf(task);
  json row = json::array({step, index, std::string(1, mark)});
  if (mark == kDoneMark) {
    return row;
  }
  row.push_back(task.run.value());
  row.push_back(task.failures);
  row.push_back(task.checkpoint.value());
  if (mark == kPlacedMark) {
    row.push_back(task.placement.host.value());
    row.push_back(task.placement.incarnation.value());
  }
  if (!task.crashes.empty() || task.proven_run != RunNumber()) {
    row.push_back(EncodeCrashes(task));
  }
  return row;
}

Task DecodeTask(const json& row) {
  Task task;
  const char mark = row.at(2).get<std::string>().at(0);
  if (mark == kDoneMark) {
    task.phase = TaskPhase::kDone;
    return task;
  }
  task.run = ReadRun(row.at(3));
  task.failures = static_cast<std::uint32_t>(
      ReadInteger(row.at(4), "failures", 0, kMaxFailures));
  task.checkpoint = CheckpointId(row.at(5).get<std::string>());
  if (mark == kPlacedMark) {
    task.phase = TaskPhase::kPlaced;
    task.placement = Placement{HostId(row.at(6).get<std::string>()),
                               ReadIncarnation(row.at(7))};
  }
  if (row.back().is_array()) {
    DecodeCrashes(row.back(), task);
  }
  return task;
}

}  // namespace

Job::Job(JobRecord record, Instant accepted)
    : m_record(std::move(record)),
      m_accepted(accepted),
      m_occurrences(m_record.spec) {}

bool Job::Has(const TaskKey& key) const {
  return key.occurrence < spec().occurrences() &&
         key.step < spec().steps.size() &&
         key.index < spec().steps[key.step].count;
}

Task* Job::Find(const TaskKey& key) {
  if (!Has(key) || m_occurrences.IsComplete(key.occurrence)) {
    return nullptr;
  }
  return &m_occurrences.Open(key.occurrence)[key.step].tasks[key.index];
}

bool Job::Unblocked(std::uint32_t occurrence, std::uint32_t step) const {
  const auto& after = spec().steps[step].after;
  return std::all_of(after.begin(), after.end(), [&](std::uint32_t earlier) {
    return At(occurrence, earlier).complete();
  });
}

void Job::Place(const TaskKey& key,
                RunNumber run,
                const Placement& placement,
                Instant now) {
  Task& task = *Find(key);
  task.phase = TaskPhase::kPlaced;
  task.run = run;
  task.placement = placement;
  task.placed_at = now;
  m_begun = true;
  if (m_state == JobState::kQueued) {
    m_state = JobState::kRunning;
  }
  IncrementVersion();
}

void Job::Release(const TaskKey& key,
                  const CheckpointId& checkpoint,
                  bool failed) {
  Task* task = Find(key);
  if (task == nullptr || task->phase == TaskPhase::kDone) {
    return;
  }
  task->phase = TaskPhase::kPending;
  if (!checkpoint.value().empty()) {
    task->checkpoint = checkpoint;
  }
  if (failed) {
    task->failed_on.push_back(task->placement.host);
    CountFailure(key, At(key.occurrence, key.step), *task);
  }
  IncrementVersion();
}

void Job::CountFailure(const TaskKey& key, StepTasks& step, Task& task) {
  const StepSpec& declared = spec().steps[key.step];
  if (declared.gang) {
    if (task.run <= step.failed_gang_run) {
      return;
    }
    step.failed_gang_run = task.run;
    for (Task& member : step.tasks) {
      ++member.failures;
    }
  } else {
    ++task.failures;
  }
  if (!declared.perpetual && task.failures >= policy().max_attempts) {
    MarkFailed();
  }
}

void Job::CountDuplicateRunFailure(const TaskKey& key) {
  Task* task = Find(key);
  if (task != nullptr && task->phase != TaskPhase::kDone) {
    CountFailure(key, At(key.occurrence, key.step), *task);
    IncrementVersion();
  }
}

void Job::Finish(const TaskKey& key) {
  const Task* task = Find(key);
  if (task == nullptr || task->phase == TaskPhase::kDone) {
    return;
  }
  StepTasks& step = At(key.occurrence, key.step);
  if (spec().steps[key.step].gang) {
    for (Task& member : step.tasks) {
      FinishOne(step, member);
    }
  } else {
    FinishOne(step, step.tasks[key.index]);
  }
  IncrementVersion();
  m_occurrences.CompleteIfDone(key.occurrence);
  if (m_occurrences.AllComplete() && active()) {
    m_state = JobState::kCompleted;
    m_ended_version = m_version;
  }
}

void Job::FinishOne(StepTasks& step, Task& task) {
  if (task.phase != TaskPhase::kDone) {
    task.phase = TaskPhase::kDone;
    ++step.done;
  }
}

void Job::SaveCheckpoint(const TaskKey& key, const CheckpointId& checkpoint) {
  Find(key)->checkpoint = checkpoint;
  IncrementVersion();
}

bool Job::Suspect(const TaskKey& key, const SuspectedCrash& crash) {
  Task* task = Find(key);
  if (task == nullptr || task->phase == TaskPhase::kDone ||
      IsRecorded(task->crashes, crash.run) || crash.run <= task->proven_run) {
    return false;
  }
  task->crashes.early.push_back(crash);
  IncrementVersion();
  return true;
}

bool Job::SuspectLate(const TaskKey& key, const LateCrash& crash) {
  Task* task = Find(key);
  if (task == nullptr || task->phase == TaskPhase::kDone ||
      IsRecorded(task->crashes, crash.run) || crash.run < task->acquitted_run) {
    return false;
  }
  task->crashes.late.push_back(crash);
  IncrementVersion();
  return true;
}

void Job::RequireTrial(const TaskKey& key) {
  for (LateCrash& crash : Find(key)->crashes.late) {
    crash.beside_starts = false;
  }
  IncrementVersion();
}

bool Job::ForgetLateCrash(const HostId& host,
                          const WorkerIncarnation& incarnation) {
  std::size_t forgotten = 0;
  ForEachTask([&](const TaskKey&, Task& task) {
    forgotten += std::erase_if(task.crashes.late, [&](const LateCrash& crash) {
      return crash.host == host && crash.incarnation == incarnation;
    });
  });
  if (forgotten > 0) {
    IncrementVersion();
  }
  return forgotten > 0;
}

void Job::Acquit(const TaskKey& key, RunNumber run) {
  Task* task = Find(key);
  if (task == nullptr) {
    return;
  }
  task->acquitted_run = run;
  if (!task->crashes.late.empty()) {
    task->crashes.late.clear();
    IncrementVersion();
  }
}

void Job::BecomeSoleSuspect(const TaskKey& key,
                            const HostId& host,
                            const WorkerIncarnation& incarnation) {
  Task* task = Find(key);
  if (task == nullptr) {
    return;
  }
  for (SuspectedCrash& crash : task->crashes.early) {
    if (crash.host == host && crash.incarnation == incarnation &&
        crash.evidence == CrashEvidence::kShared) {
      crash.evidence = CrashEvidence::kSole;
      IncrementVersion();
    }
  }
}

void Job::ClearSuspicion(const TaskKey& key, RunNumber proven) {
  Task& task = *Find(key);
  task.proven_run = proven;
  task.vanished = false;
  if (task.crashes.early.empty()) {
    return;
  }
  for (const SuspectedCrash& crash : task.crashes.early) {
    if (crash.evidence != CrashEvidence::kUnconfirmed) {
      task.crashes.late.push_back(
          LateCrash{crash.host, crash.incarnation, crash.run, kStartTime,
                    crash.evidence == CrashEvidence::kShared});
    }
  }
  task.crashes.early.clear();
  IncrementVersion();
}

void Job::Cancel() {
  if (active()) {
    m_state = JobState::kCancelled;
    // The cancellation has a record of its own in the store, so callers may see
    // it before the progress is written.
    m_written_state = JobState::kCancelled;
  }
}

void Job::MarkFailed() {
  if (active()) {
    m_state = JobState::kFailed;
    IncrementVersion();
    m_ended_version = m_version;
  }
}

JobState Job::visible_state() const {
  if (IsTerminal(m_written_state)) {
    return m_written_state;
  }
  return m_begun ? JobState::kRunning : JobState::kQueued;
}

RunNumber Job::NextRun(const TaskKey& key) const {
  const StepTasks& step = At(key.occurrence, key.step);
  if (!spec().steps[key.step].gang) {
    return step.tasks[key.index].run.Next();
  }
  RunNumber newest;
  for (const Task& member : step.tasks) {
    newest = std::max(newest, member.run);
  }
  return newest.Next();
}

void Job::MarkWritten(std::uint64_t version, std::uint64_t revision) {
  m_written_version = std::max(m_written_version, version);
  SetRevision(revision);
  if (IsTerminal(m_state) && version >= m_ended_version) {
    m_written_state = m_state;
  }
}

void Job::SetRevision(std::uint64_t revision) {
  if (revision != m_revision) {
    // Earlier attempts require the former revision: they fail from now on.
    m_attempts.clear();
  }
  m_revision = revision;
}

std::string Job::EncodeProgress() const {
  json tasks = json::array();
  // Of a job that has ended, only the tasks that may still be running are kept,
  // and the crashes that explain its failure.
  for (const auto& [occurrence, steps] : m_occurrences.open()) {
    for (std::size_t step = 0; step < steps.size(); ++step) {
      for (std::size_t index = 0; index < steps[step].tasks.size(); ++index) {
        const Task& task = steps[step].tasks[index];
        if (!IsInitial(task) &&
            (active() || task.placed() || !task.crashes.empty())) {
          tasks.push_back(
              EncodeTask(occurrence * steps.size() + step, index, task));
        }
      }
    }
  }
  json progress{{"state", ToString(m_state)}, {"tasks", std::move(tasks)}};
  const auto complete = m_occurrences.CompleteRanges();
  if (active() && !complete.empty()) {
    progress["complete"] = complete;
  }
  return DumpJson(progress);
}

std::vector<std::pair<TaskKey, Task>> Job::DecodeTasks(const json& rows) const {
  const std::size_t steps = spec().steps.size();
  std::vector<std::pair<TaskKey, Task>> tasks;
  for (const json& row : rows) {
    const auto step =
        static_cast<std::uint64_t>(ReadInteger(row.at(0), "step"));
    const auto index =
        static_cast<std::uint64_t>(ReadInteger(row.at(1), "task"));
    const std::uint64_t occurrence = step / steps;
    const StepSpec& declared = spec().steps[step % steps];
    if (occurrence >= spec().occurrences() || index >= declared.count) {
      throw std::out_of_range("step " + std::to_string(step) + ", task " +
                              std::to_string(index) + " is not of the job");
    }
    tasks.emplace_back(TaskKey{id(), static_cast<std::uint32_t>(occurrence),
                               static_cast<std::uint32_t>(step % steps),
                               static_cast<std::uint32_t>(index)},
                       DecodeTask(row));
  }
  return tasks;
}

std::vector<OccurrenceTable::Range> Job::DecodeComplete(
    const json& progress) const {
  std::vector<OccurrenceTable::Range> ranges;
  const auto rows = progress.find("complete");
  if (rows == progress.end()) {
    return ranges;
  }
  const std::int64_t last = std::int64_t{spec().occurrences()} - 1;
  for (const json& row : *rows) {
    const auto first = ReadInteger(row.at(0), "occurrence", 0, last);
    ranges.emplace_back(first,
                        ReadInteger(row.at(1), "occurrence", first, last));
  }
  return ranges;
}

Result<void> Job::RestoreProgress(const std::string& bytes,
                                  std::uint64_t revision) {
  try {
    const json row = ParseJson(bytes);
    const auto state = ParseJobState(row.at("state"));
    if (!state) {
      return Fail(ErrorCode::kInvalidArgument,
                  "state " + row.at("state").dump(), "job " + id().value());
    }
    // All of it is decoded before anything of the job changes.
    auto tasks = DecodeTasks(row.at("tasks"));
    const auto complete = DecodeComplete(row);
    m_begun = m_begun || !tasks.empty() || !complete.empty();
    for (const OccurrenceTable::Range& range : complete) {
      m_occurrences.Complete(range);
    }
    for (auto& [key, decoded] : tasks) {
      if (Task* task = Find(key)) {
        *task = std::move(decoded);
      }
    }
    for (auto& [occurrence, steps] : m_occurrences.open()) {
      for (StepTasks& step : steps) {
        step.done = static_cast<std::uint32_t>(std::count_if(
            step.tasks.begin(), step.tasks.end(),
            [](const Task& task) { return task.phase == TaskPhase::kDone; }));
      }
    }
    m_occurrences.CompleteAllDone();
    m_state = m_written_state = *state;
    m_revision = revision;
    return {};
  } catch (const std::exception& error) {
    return Fail(ErrorCode::kInvalidArgument, error.what(),
                "progress of job " + id().value());
  }
}

void Job::ForEachTask(const std::function<void(const TaskKey&, Task&)>& visit) {
  for (auto& [occurrence, steps] : m_occurrences.open()) {
    for (std::uint32_t step = 0; step < steps.size(); ++step) {
      auto& tasks = steps[step].tasks;
      for (std::uint32_t index = 0; index < tasks.size(); ++index) {
        visit(TaskKey{id(), occurrence, step, index}, tasks[index]);
      }
    }
  }
}

}  // namespace zinniacart
