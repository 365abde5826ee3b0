#include "entry/job_desk.h"

#include <grpcpp/grpcpp.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <nlohmann/json.hpp>

#include "configuration/resource.h"
#include "entry/placement_driver.h"
#include "entry/problem.h"
#include "zinniacart.grpc.pb.h"

namespace zinniacart {
namespace {

using nlohmann::json;

/// Limit for the wait until a submission or a cancellation is stored.
constexpr Duration kCommitTimeout{5'000};
/// Longer than `kCommitTimeout`, so that the owner can still report that its
/// own wait timed out.
constexpr std::chrono::milliseconds kForwardTimeout{6'000};
constexpr int kHttpOk = 200;
/// Limits of the fields of a job's declaration.
constexpr int kMaxTasks = 10'000;
constexpr std::int64_t kMaxRunTimeMs = 30LL * 24 * 3'600'000;
constexpr int kMaxPriority = 1'000;

wire::JobReply MakeReply(int status, const json& body) {
  wire::JobReply reply;
  reply.set_status(status);
  reply.set_body(body.dump());
  return reply;
}

wire::JobReply MakeReply(const Error& error) {
  return MakeReply(HttpStatusOf(error.code), ProblemOf(error));
}

tl::unexpected<Error> Invalid(const std::string& field,
                              const std::string& detail) {
  return Fail(ErrorCode::kInvalidArgument, field + ": " + detail, field);
}

/// @returns the integer in `field`, `fallback` where the field is absent, or
/// `kInvalidArgument` where it is not an integer from `minimum` to `maximum`.
Result<std::int64_t> ParseInteger(const json& body,
                                  const std::string& field,
                                  std::int64_t fallback,
                                  std::int64_t minimum,
                                  std::int64_t maximum) {
  const auto found = body.find(field);
  if (found == body.end()) {
    return fallback;
  }
  const bool is_valid = found->is_number_integer() &&
                        found->get<std::int64_t>() >= minimum &&
                        found->get<std::int64_t>() <= maximum;
  if (!is_valid) {
    return Invalid(field, "expected " + std::to_string(minimum) + " to " +
                              std::to_string(maximum));
  }
  return found->get<std::int64_t>();
}

json ToJson(const Shard::View& view) {
  const bool is_waiting = !IsFinal(view.record->status) &&
                          view.placement_state->phase != Shard::Phase::kRunning;
  json row{{"task", view.record->task.value()},
           {"status", ToString(view.record->status)},
           {"generation", view.record->generation.value()},
           {"host", view.record->host.value()},
           {"failures", view.record->failures},
           {"checkpoint", view.record->checkpoint.value()}};
  if (is_waiting) {
    row["status"] = "pending";
    row["reason"] = ToString(view.placement_state->reason);
  } else if (!IsFinal(view.record->status)) {
    row["status"] = "running";
  }
  return row;
}

/// @returns the status of a job whose `total` tasks have the statuses in
/// `counts`: the first of "running", "pending", "failed" and "cancelled" that
/// any task has, else "finished" if all tasks are finished.
std::string JobStatusOf(const std::map<std::string, int>& counts, int total) {
  const auto count = [&](const char* status) {
    const auto found = counts.find(status);
    return found == counts.end() ? 0 : found->second;
  };
  if (count("running") > 0) {
    return "running";
  }
  if (count("pending") > 0) {
    return "pending";
  }
  if (count("failed") > 0) {
    return "failed";
  }
  if (count("cancelled") > 0) {
    return "cancelled";
  }
  return count("finished") == total ? "finished" : "pending";
}

json ToJson(const std::vector<Shard::View>& views) {
  const JobRecord& job = *views.front().job;
  std::map<std::string, int> counts;
  json tasks = json::array();
  for (const Shard::View& view : views) {
    json row = ToJson(view);
    ++counts[row["status"].get<std::string>()];
    tasks.push_back(std::move(row));
  }
  const int total = static_cast<int>(views.size());
  const std::string id = job.job.value();
  return json{{"job", id.substr(job.team.value().size() + 1)},
              {"team", job.team.value()},
              {"class", ToString(job.task_class)},
              {"priority", job.priority},
              {"demand", ToJson(job.demand)},
              {"status", JobStatusOf(counts, total)},
              {"counts", counts},
              {"tasks", tasks}};
}

}  // namespace

Result<JobRecord> ParseJob(const json& body) {
  if (!body.is_object()) {
    return Invalid("", "expected an object");
  }
  for (const auto& [field, value] : body.items()) {
    static const std::set<std::string> kKnownFields{
        "kind",   "name",        "team",     "tasks",
        "demand", "run_time_ms", "priority", "urgent"};
    if (kKnownFields.count(field) == 0) {
      return Invalid(field, "unknown field");
    }
  }
  const auto name = ParseName(body, "name");
  const auto team = ParseName(body, "team");
  for (const auto* text : {&name, &team}) {
    if (!*text) {
      return tl::unexpected(text->error());
    }
  }
  const auto tasks = ParseInteger(body, "tasks", 1, 1, kMaxTasks);
  const auto run_time = ParseInteger(body, "run_time_ms", 0, 0, kMaxRunTimeMs);
  const auto priority =
      ParseInteger(body, "priority", 0, -kMaxPriority, kMaxPriority);
  for (const auto* number : {&tasks, &run_time, &priority}) {
    if (!*number) {
      return tl::unexpected(number->error());
    }
  }
  const auto demand =
      ParseResources(body.value("demand", json::object()), "demand");
  if (!demand) {
    return tl::unexpected(demand.error());
  }
  const auto urgent = body.find("urgent");
  if (urgent != body.end() && !urgent->is_boolean()) {
    return Invalid("urgent", "expected true or false");
  }
  JobRecord job;
  job.team = TeamId(*team);
  job.job = MakeJobId(job.team, *name);
  job.replicas = static_cast<int>(*tasks);
  job.run_time = Duration(*run_time);
  job.priority = static_cast<int>(*priority);
  job.demand = *demand;
  const bool is_urgent = urgent != body.end() && urgent->get<bool>();
  job.task_class = is_urgent ? TaskClass::kUrgent : TaskClass::kBatch;
  return job;
}

JobDesk::JobDesk(EntryState& state,
                 const Clock& clock,
                 PlacementDriver& placement,
                 ChannelPool& entries,
                 EntryId self)
    : m_state(state),
      m_clock(clock),
      m_placement(placement),
      m_entries(entries),
      m_self(std::move(self)) {}

wire::JobReply JobDesk::Handle(const wire::JobCall& call) {
  std::optional<EntryInfo> preferred;
  bool is_owner = false;
  {
    const std::lock_guard lock(m_state.mutex);
    if (!m_state.owner) {
      return MakeReply(Error{ErrorCode::kNotReady, "no session yet", {}});
    }
    const TeamId team(call.team());
    is_owner = m_state.owner->Owns(team);
    preferred = m_state.owner->PreferredOwner(team);
  }
  if (is_owner || !preferred || preferred->entry == m_self) {
    return HandleLocally(call);
  }
  const auto stub = wire::Entry::NewStub(m_entries.Get(preferred->address));
  grpc::ClientContext context;
  context.set_deadline(std::chrono::system_clock::now() + kForwardTimeout);
  wire::JobReply reply;
  const grpc::Status status = stub->Job(&context, call, &reply);
  if (!status.ok()) {
    m_entries.Replace(preferred->address);
    return MakeReply(Error{ErrorCode::kOutcomeUnknown,
                           "the owning entry did not answer; repeat the call",
                           {}});
  }
  return reply;
}

wire::JobReply JobDesk::HandleLocally(const wire::JobCall& call) {
  {
    const std::lock_guard lock(m_state.mutex);
    const bool owns = m_state.owner && m_state.owner->Owns(TeamId(call.team()));
    if (!owns) {
      return MakeReply(
          Error{ErrorCode::kNotReady, "the team's shard has no owner yet", {}});
    }
  }
  if (call.operation() == "submit") {
    return Submit(call);
  }
  if (call.operation() == "cancel") {
    return Cancel(call);
  }
  return Get(call);
}

wire::JobReply JobDesk::Submit(const wire::JobCall& call) {
  const auto job = ParseJob(json::parse(call.body(), nullptr, false));
  if (!job) {
    return MakeReply(job.error());
  }
  const auto submitted = m_placement.Submit(*job, kCommitTimeout);
  if (!submitted) {
    return MakeReply(submitted.error());
  }
  return MakeReply(kHttpOk, json{{"job", call.job()}, {"accepted", true}});
}

wire::JobReply JobDesk::Cancel(const wire::JobCall& call) {
  const TeamId team(call.team());
  const auto cancelled =
      m_placement.Cancel(team, MakeJobId(team, call.job()), kCommitTimeout);
  if (!cancelled) {
    return MakeReply(cancelled.error());
  }
  return MakeReply(kHttpOk, json{{"job", call.job()}, {"cancelled", true}});
}

wire::JobReply JobDesk::Get(const wire::JobCall& call) {
  const TeamId team(call.team());
  const std::lock_guard lock(m_state.mutex);
  if (!m_state.owner) {
    return MakeReply(Error{ErrorCode::kNotReady, "no session yet", {}});
  }
  const auto views = m_state.owner->FindJob(team, MakeJobId(team, call.job()));
  if (views.empty()) {
    return MakeReply(Error{ErrorCode::kNotFound, call.job(), {}});
  }
  return MakeReply(kHttpOk, ToJson(views));
}

}  // namespace zinniacart
