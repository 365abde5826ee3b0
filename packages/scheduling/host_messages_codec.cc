#include "scheduling/host_messages_codec.h"

#include <limits>
#include <nlohmann/json.hpp>

#include "base/json_text.h"

namespace zinniacart {
namespace {

using nlohmann::json;

std::uint64_t ReadNumber(const json& value, const char* name) {
  return static_cast<std::uint64_t>(ReadInteger(value, name));
}

/// Reads an integer that may be negative.
std::int64_t ReadSigned(const json& value, const char* name) {
  return ReadInteger(value, name, -kMaxJsonInteger);
}

/// Reads an enumerator.
/// @param last the greatest enumerator.
template <typename Enum>
Enum ReadEnum(const json& value, const char* name, Enum last) {
  return static_cast<Enum>(
      ReadInteger(value, name, 0, static_cast<std::int64_t>(last)));
}

int ReadPercent(const json& value) {
  return static_cast<int>(ReadInteger(value, "percent",
                                      std::numeric_limits<int>::min(),
                                      std::numeric_limits<int>::max()));
}

WorkerIncarnation ReadIncarnation(const json& value) {
  return WorkerIncarnation(ReadSigned(value, "incarnation"));
}

json EncodeRun(const TaskRun& id) {
  return json::array({id.task.ToString(), id.run.value()});
}

TaskRun DecodeRun(const json& row) {
  const auto task = TaskKey::Parse(row.at(0).get<std::string>());
  if (!task) {
    throw std::invalid_argument("task " + row.at(0).dump());
  }
  return TaskRun{*task, RunNumber(ReadNumber(row.at(1), "run"))};
}

json EncodeInterrupted(const InterruptedRun& run) {
  json row = EncodeRun(run.id);
  row.push_back(run.worked.count());
  return row;
}

InterruptedRun DecodeInterrupted(const json& row) {
  return InterruptedRun{DecodeRun(row),
                        Duration(ReadInteger(row.at(2), "worked"))};
}

json EncodeFacts(const WorkerFacts& facts) {
  json row{{"worker", facts.worker},
           {"incarnation", facts.incarnation.value()},
           {"domain", facts.domain.value()},
           {"service", facts.service.value()},
           {"capacity",
            json::array({facts.capacity.millicores, facts.capacity.memory_mb,
                         facts.capacity.accelerators})},
           {"labels", facts.labels},
           {"rack", facts.rack}};
  if (facts.machine != MachineId()) {
    row["machine"] = facts.machine.value();
  }
  if (facts.draining) {
    row["draining"] = true;
  }
  if (facts.remaining) {
    row["remaining_ms"] = facts.remaining->count();
  }
  return row;
}

WorkerFacts DecodeFacts(const json& row) {
  WorkerFacts facts;
  facts.worker = row.at("worker");
  facts.incarnation = ReadIncarnation(row.at("incarnation"));
  facts.domain = DomainId(row.at("domain").get<std::string>());
  facts.service = ServiceId(row.at("service").get<std::string>());
  const json& capacity = row.at("capacity");
  facts.capacity = Resources{ReadInteger(capacity.at(0), "millicores"),
                             ReadInteger(capacity.at(1), "memory_mb"),
                             ReadInteger(capacity.at(2), "accelerators")};
  facts.labels = row.at("labels").get<std::vector<std::string>>();
  facts.rack = row.at("rack");
  facts.machine = MachineId(row.value("machine", std::string()));
  facts.draining = row.value("draining", false);
  if (row.contains("remaining_ms")) {
    facts.remaining = Duration(ReadSigned(row["remaining_ms"], "remaining_ms"));
  }
  return facts;
}

json EncodeRunning(const RunningTask& task) {
  json row = EncodeRun(task.id);
  row.push_back(task.checkpoint.value());
  row.push_back(task.progress_percent);
  row.push_back(task.measure);
  return row;
}

RunningTask DecodeRunning(const json& row) {
  return RunningTask{DecodeRun(row), CheckpointId(row.at(2).get<std::string>()),
                     ReadPercent(row.at(3)), ReadSigned(row.at(4), "measure")};
}

json EncodeEnded(const EndedTask& ended) {
  json row = EncodeRun(ended.id);
  row.push_back(ended.number);
  row.push_back(static_cast<int>(ended.kind));
  row.push_back(ended.checkpoint.value());
  return row;
}

EndedTask DecodeEnded(const json& row) {
  return EndedTask{ReadNumber(row.at(2), "end number"), DecodeRun(row),
                   ReadEnum(row.at(3), "end kind", EndKind::kGangIncomplete),
                   CheckpointId(row.at(4).get<std::string>())};
}

json EncodeStart(const StartOrder& order) {
  json row{{"run", EncodeRun(order.id)}, {"payload", order.payload}};
  if (!order.resume_from.value().empty()) {
    row["resume_from"] = order.resume_from.value();
  }
  if (!order.ticket.empty()) {
    row["ticket"] = order.ticket;
  }
  if (order.trial) {
    row["trial"] = true;
  }
  return row;
}

StartOrder DecodeStart(const json& row) {
  return StartOrder{DecodeRun(row.at("run")), row.at("payload"),
                    CheckpointId(row.value("resume_from", std::string())),
                    row.value("ticket", std::string()),
                    row.value("trial", false)};
}

template <typename Row, typename Encoder>
json EncodeRows(const std::vector<Row>& rows, Encoder encode) {
  json list = json::array();
  for (const Row& row : rows) {
    list.push_back(encode(row));
  }
  return list;
}

template <typename Row, typename Decoder>
std::vector<Row> DecodeRows(const json& list, Decoder decode) {
  std::vector<Row> rows;
  rows.reserve(list.size());
  for (const json& row : list) {
    rows.push_back(decode(row));
  }
  return rows;
}

HostOrders DecodeOrdersRow(const json& row) {
  HostOrders orders;
  orders.epoch = Epoch(ReadNumber(row.at("epoch"), "epoch"));
  orders.owner = EntryId(row.at("owner").get<std::string>());
  orders.incarnation = ReadIncarnation(row.at("incarnation"));
  orders.granted_stamp =
      Instant{ReadSigned(row.at("granted_stamp"), "granted_stamp")};
  orders.recorded_ends = ReadNumber(row.at("recorded_ends"), "recorded_ends");
  orders.starts = DecodeRows<StartOrder>(row.at("starts"), DecodeStart);
  orders.stops = DecodeRows<TaskRun>(row.at("stops"), DecodeRun);
  orders.paces = DecodeRows<PaceOrder>(row.at("paces"), [](const json& pace) {
    return PaceOrder{DecodeRun(pace), ReadPercent(pace.at(2))};
  });
  orders.wait = Duration(ReadNumber(row.at("wait_ms"), "wait_ms"));
  return orders;
}

HostReport DecodeReportRow(const json& row) {
  HostReport report;
  report.agent = Incarnation(ReadNumber(row.at("agent"), "agent"));
  report.sequence = ReadNumber(row.at("sequence"), "sequence");
  report.stamp = Instant{ReadSigned(row.at("stamp"), "stamp")};
  report.epoch = Epoch(ReadNumber(row.at("epoch"), "epoch"));
  if (row.contains("incarnation")) {
    report.incarnation = ReadIncarnation(row["incarnation"]);
  }
  if (row.contains("facts")) {
    report.facts = DecodeFacts(row["facts"]);
  }
  report.listed = row.at("listed");
  report.list_number = ReadNumber(row.at("list"), "list");
  report.worker_reachable = row.at("reachable");
  report.lease_expired = row.at("lapsed");
  report.running = DecodeRows<RunningTask>(row.at("running"), DecodeRunning);
  report.ended = DecodeRows<EndedTask>(row.at("ended"), DecodeEnded);
  report.more_ends = row.value("more_ends", false);
  report.results =
      DecodeRows<OrderResult>(row.at("results"), [](const json& result) {
        return OrderResult{DecodeRun(result), ReadEnum(result.at(2), "outcome",
                                                       OrderOutcome::kStopped)};
      });
  if (row.contains("unproven")) {
    report.unproven = DecodeRows<TaskRun>(row["unproven"], DecodeRun);
  }
  if (row.contains("crash")) {
    const json& crash = row["crash"];
    report.crash = WorkerCrash{
        ReadIncarnation(crash.at("incarnation")),
        DecodeRows<TaskRun>(crash.at("suspects"), DecodeRun),
        DecodeRows<TaskRun>(crash.at("unconfirmed"), DecodeRun),
        DecodeRows<InterruptedRun>(crash.value("interrupted", json::array()),
                                   DecodeInterrupted)};
  }
  return report;
}

template <typename Message, typename Decoder>
Result<Message> Decode(const std::string& bytes,
                       const char* kind,
                       Decoder decode) {
  try {
    return decode(ParseJson(bytes));
  } catch (const std::exception& error) {
    return Fail(ErrorCode::kInvalidArgument, error.what(), kind);
  }
}

}  // namespace

std::string Encode(const HostOrders& orders) {
  return DumpJson(json{{"epoch", orders.epoch.value()},
                       {"owner", orders.owner.value()},
                       {"incarnation", orders.incarnation.value()},
                       {"granted_stamp", orders.granted_stamp.milliseconds},
                       {"recorded_ends", orders.recorded_ends},
                       {"starts", EncodeRows(orders.starts, EncodeStart)},
                       {"stops", EncodeRows(orders.stops, EncodeRun)},
                       {"paces", EncodeRows(orders.paces,
                                            [](const PaceOrder& pace) {
                                              json encoded = EncodeRun(pace.id);
                                              encoded.push_back(pace.percent);
                                              return encoded;
                                            })},
                       {"wait_ms", orders.wait.count()}});
}

std::string Encode(const HostReport& report) {
  json row{
      {"agent", report.agent.value()},
      {"sequence", report.sequence},
      {"stamp", report.stamp.milliseconds},
      {"epoch", report.epoch.value()},
      {"listed", report.listed},
      {"list", report.list_number},
      {"reachable", report.worker_reachable},
      {"lapsed", report.lease_expired},
      {"running", EncodeRows(report.running, EncodeRunning)},
      {"ended", EncodeRows(report.ended, EncodeEnded)},
      {"more_ends", report.more_ends},
      {"results", EncodeRows(report.results, [](const OrderResult& result) {
         json encoded = EncodeRun(result.id);
         encoded.push_back(static_cast<int>(result.outcome));
         return encoded;
       })}};
  if (report.incarnation) {
    row["incarnation"] = report.incarnation->value();
  }
  if (report.facts) {
    row["facts"] = EncodeFacts(*report.facts);
  }
  if (!report.unproven.empty()) {
    row["unproven"] = EncodeRows(report.unproven, EncodeRun);
  }
  if (report.crash) {
    row["crash"] = {
        {"incarnation", report.crash->incarnation.value()},
        {"suspects", EncodeRows(report.crash->suspects, EncodeRun)},
        {"unconfirmed", EncodeRows(report.crash->unconfirmed, EncodeRun)},
        {"interrupted",
         EncodeRows(report.crash->interrupted, EncodeInterrupted)}};
  }
  return DumpJson(row);
}

Result<HostOrders> DecodeHostOrders(const std::string& bytes) {
  return Decode<HostOrders>(bytes, "host orders", DecodeOrdersRow);
}

Result<HostReport> DecodeHostReport(const std::string& bytes) {
  return Decode<HostReport>(bytes, "host report", DecodeReportRow);
}

}  // namespace zinniacart
