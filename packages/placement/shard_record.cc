#include "placement/shard_record.h"

#include <algorithm>

#include "zinniacart.pb.h"

namespace zinniacart {
namespace {

/// Not allowed in names, see `ParseName`.
constexpr char kSeparator = ':';

void Write(const TaskRecord& task, wire::TaskRecord& out) {
  out.set_task(task.task.value());
  out.set_generation(task.generation.value());
  out.set_host(task.host.value());
  out.set_state(static_cast<std::uint32_t>(task.status));
  out.set_checkpoint(task.checkpoint.value());
  out.set_failures(task.failures);
}

TaskRecord Read(const wire::TaskRecord& in) {
  return TaskRecord{TaskId(in.task()),
                    Generation(in.generation()),
                    HostId(in.host()),
                    static_cast<TaskStatus>(in.state()),
                    CheckpointId(in.checkpoint()),
                    static_cast<int>(in.failures())};
}

void Write(const JobRecord& job, wire::JobRecord& out) {
  out.set_job(job.job.value());
  out.set_team(job.team.value());
  out.set_task_class(static_cast<std::uint32_t>(job.task_class));
  out.set_priority(job.priority);
  out.mutable_demand()->set_millicores(job.demand.millicores);
  out.mutable_demand()->set_memory_mb(job.demand.memory_mb);
  out.mutable_demand()->set_accelerators(job.demand.accelerators);
  out.set_run_time_ms(job.run_time.count());
  out.set_cancelled(job.cancelled);
  out.set_service(job.service);
  out.set_replicas(job.replicas);
  for (const TaskRecord& task : job.tasks) {
    Write(task, *out.add_tasks());
  }
}

JobRecord Read(const wire::JobRecord& in) {
  JobRecord job;
  job.job = JobId(in.job());
  job.team = TeamId(in.team());
  job.task_class = static_cast<TaskClass>(in.task_class());
  job.priority = in.priority();
  job.demand = Resources{in.demand().millicores(), in.demand().memory_mb(),
                         in.demand().accelerators()};
  job.run_time = Duration(in.run_time_ms());
  job.cancelled = in.cancelled();
  job.service = in.service();
  job.replicas = static_cast<int>(in.replicas());
  for (const auto& task : in.tasks()) {
    job.tasks.push_back(Read(task));
  }
  return job;
}

}  // namespace

bool IsFinal(TaskStatus status) {
  return status != TaskStatus::kPending && status != TaskStatus::kAssigned;
}

const char* ToString(TaskStatus status) {
  switch (status) {
    case TaskStatus::kPending:
      return "pending";
    case TaskStatus::kAssigned:
      return "assigned";
    case TaskStatus::kFinished:
      return "finished";
    case TaskStatus::kFailed:
      return "failed";
    case TaskStatus::kCancelled:
      return "cancelled";
  }
  return "unknown";
}

const char* ToString(TaskClass task_class) {
  switch (task_class) {
    case TaskClass::kLatencyCritical:
      return "latency-critical";
    case TaskClass::kUrgent:
      return "urgent";
    case TaskClass::kBatch:
      return "batch";
  }
  return "unknown";
}

bool JobRecord::IsCancelled(const TaskRecord& task) const {
  const auto index = &task - tasks.data();
  return cancelled || index >= replicas;
}

bool JobRecord::IsDone() const {
  return std::all_of(tasks.begin(), tasks.end(), [](const TaskRecord& task) {
    return IsFinal(task.status);
  });
}

JobRecord* ShardRecord::FindJob(const JobId& job) {
  const auto found =
      std::find_if(jobs.begin(), jobs.end(),
                   [&](const JobRecord& row) { return row.job == job; });
  return found == jobs.end() ? nullptr : &*found;
}

TaskRecord* ShardRecord::FindTask(const TaskId& task) {
  JobRecord* job = FindJob(JobOf(task));
  if (job == nullptr) {
    return nullptr;
  }
  const auto found =
      std::find_if(job->tasks.begin(), job->tasks.end(),
                   [&](const TaskRecord& row) { return row.task == task; });
  return found == job->tasks.end() ? nullptr : &*found;
}

StoreKey ShardKey(ShardId shard) {
  return StoreKey("shards/" + std::to_string(shard.value()));
}

std::string Serialize(const ShardRecord& record) {
  wire::ShardRecord out;
  out.set_owner(record.owner.value());
  out.set_owner_incarnation(record.owner_incarnation.value());
  out.set_epoch(record.epoch.value());
  out.set_commit_id(record.commit_id);
  for (const JobRecord& job : record.jobs) {
    Write(job, *out.add_jobs());
  }
  return out.SerializeAsString();
}

Result<ShardRecord> ParseShardRecord(const std::string& bytes) {
  wire::ShardRecord in;
  if (!in.ParseFromString(bytes)) {
    return Fail(ErrorCode::kInternal, "shard record can't be parsed");
  }
  ShardRecord record{EntryId(in.owner()),
                     Incarnation(in.owner_incarnation()),
                     Epoch(in.epoch()),
                     in.commit_id(),
                     {}};
  for (const auto& job : in.jobs()) {
    record.jobs.push_back(Read(job));
  }
  return record;
}

JobId MakeJobId(const TeamId& team, const std::string& name) {
  return JobId(team.value() + kSeparator + name);
}

TaskId MakeTaskId(const JobId& job, int index) {
  return TaskId(job.value() + kSeparator + std::to_string(index));
}

JobId JobOf(const TaskId& task) {
  const auto separator = task.value().rfind(kSeparator);
  return JobId(task.value().substr(0, separator));
}

}  // namespace zinniacart
