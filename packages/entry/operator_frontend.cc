#include "entry/operator_frontend.h"

#include <httplib.h>

#include <chrono>
#include <nlohmann/json.hpp>
#include <thread>

#include "configuration/configuration_writer.h"
#include "entry/configuration_follower.h"
#include "entry/job_desk.h"
#include "entry/problem.h"

namespace zinniacart {
namespace {

using nlohmann::json;

constexpr std::size_t kOperatorThreads = 32;
constexpr int kIdleSeconds = 5;
constexpr std::size_t kLargestBody = 1 << 20;

void AnswerJson(const json& body, httplib::Response& out) {
  out.set_content(body.dump(-1, ' ', false, json::error_handler_t::replace),
                  "application/json");
}

json RowOf(const Configuration::Row& row) {
  json body = ToJson(row.resource);
  body["serial"] = row.changed_at.value();
  return body;
}

}  // namespace

OperatorFrontend::OperatorFrontend(EntryState& state,
                                   Store& store,
                                   const Clock& clock,
                                   JobDesk& jobs,
                                   Metrics metrics)
    : m_state(state),
      m_store(store),
      m_clock(clock),
      m_jobs(jobs),
      m_metrics(std::move(metrics)),
      m_server(HttpServerLimits{kOperatorThreads, kIdleSeconds, kLargestBody}) {
  auto& server = m_server.server();
  server.Post("/v1/resources",
              [this](const auto& in, auto& out) { Apply(in, out); });
  server.Get("/v1/resources",
             [this](const auto& in, auto& out) { ListResources(in, out); });
  server.Get("/v1/resources/([^/]+/[^/]+)", [this](const auto& in, auto& out) {
    GetResource(in.matches[1], out);
  });
  server.Delete("/v1/resources/([^/]+/[^/]+)",
                [this](const auto& in, auto& out) { Delete(in, out); });
  server.Get("/v1/audit", [this](const auto&, auto& out) { Audit(out); });
  server.Get("/v1/in-force",
             [this](const auto& in, auto& out) { InForce(in, out); });
  server.Get("/v1/status", [this](const auto&, auto& out) { Status(out); });
  server.Post("/v1/jobs",
              [this](const auto& in, auto& out) { SubmitJob(in, out); });
  server.Get("/v1/jobs/([^/]+)/([^/]+)",
             [this](const auto& in, auto& out) { Job("get", in, out); });
  server.Delete("/v1/jobs/([^/]+)/([^/]+)",
                [this](const auto& in, auto& out) { Job("cancel", in, out); });
  server.Get("/healthz", [](const auto&, auto& out) {
    out.set_content("ok", "text/plain");
  });
  server.Get("/readyz", [this](const auto&, auto& out) {
    const bool ready = IsReady();
    out.status = ready ? 200 : 503;
    out.set_content(ready ? "ready" : "not ready", "text/plain");
  });
  server.Get("/metrics", [this](const auto&, auto& out) {
    out.set_content(m_metrics(), "text/plain; version=0.0.4");
  });
}

bool OperatorFrontend::Start(const Endpoint& endpoint) {
  return m_server.Start(endpoint);
}

void OperatorFrontend::Stop() {
  m_server.Stop();
}

bool OperatorFrontend::IsReady() {
  const std::lock_guard lock(m_state.mutex);
  return m_state.owner != nullptr && !m_state.entries.empty() && !m_draining;
}

void OperatorFrontend::Apply(const httplib::Request& in,
                             httplib::Response& out) {
  const json body = json::parse(in.body, nullptr, false);
  if (body.is_discarded()) {
    AnswerProblem(Error{ErrorCode::kInvalidArgument, "malformed JSON", ""},
                  out);
    return;
  }
  auto resource = ParseResource(body);
  if (!resource) {
    AnswerProblem(resource.error(), out);
    return;
  }
  const std::string key = ResourceKey(*resource);
  Change(in, key, std::move(*resource), out);
}

void OperatorFrontend::Delete(const httplib::Request& in,
                              httplib::Response& out) {
  Change(in, in.matches[1], std::nullopt, out);
}

void OperatorFrontend::Change(const httplib::Request& in,
                              const std::string& key,
                              std::optional<Resource> resource,
                              httplib::Response& out) {
  ChangeRequest request;
  request.change_id = in.get_header_value("Zinniacart-Change-Id");
  request.author = in.get_header_value("Zinniacart-Author");
  request.wall_clock_ms = WallClockMilliseconds();
  request.key = key;
  request.resource = std::move(resource);
  const bool named = !request.change_id.empty() && !request.author.empty();
  if (!named) {
    AnswerProblem(Error{ErrorCode::kInvalidArgument,
                        "Zinniacart-Change-Id and Zinniacart-Author are needed",
                        "Zinniacart-Change-Id"},
                  out);
    return;
  }
  if (in.has_header("If-Match")) {
    request.expected = ConfigSerial(
        std::strtoull(in.get_header_value("If-Match").c_str(), nullptr, 10));
  }
  ConfigurationWriter writer(
      m_store, [](Duration pause) { std::this_thread::sleep_for(pause); });
  const auto written = writer.Write(request);
  if (!written) {
    AnswerProblem(written.error(), out);
    return;
  }
  PutInForce(m_state, *written, m_clock.Now());
  const auto serial = written->FindChange(request.change_id);
  AnswerJson(json{{"key", key}, {"serial", serial->value()}}, out);
}

void OperatorFrontend::GetResource(const std::string& key,
                                   httplib::Response& out) {
  const std::lock_guard lock(m_state.mutex);
  const auto& rows = m_state.configuration->rows();
  const auto found = rows.find(key);
  if (found == rows.end()) {
    AnswerProblem(Error{ErrorCode::kNotFound, key, {}}, out);
    return;
  }
  out.set_header("ETag",
                 '"' + std::to_string(found->second.changed_at.value()) + '"');
  AnswerJson(RowOf(found->second), out);
}

void OperatorFrontend::ListResources(const httplib::Request& in,
                                     httplib::Response& out) {
  const std::string kind = in.get_param_value("kind");
  const std::lock_guard lock(m_state.mutex);
  json rows = json::array();
  for (const auto& [key, row] : m_state.configuration->rows()) {
    if (kind.empty() || key.starts_with(kind + "/")) {
      rows.push_back(RowOf(row));
    }
  }
  AnswerJson(json{{"serial", m_state.configuration->serial().value()},
                  {"resources", rows}},
             out);
}

void OperatorFrontend::Audit(httplib::Response& out) {
  const auto archive = m_store.List(ConfigurationWriter::kArchivePrefix);
  if (!archive) {
    AnswerProblem(archive.error(), out);
    return;
  }
  std::map<std::uint64_t, json> changes;
  for (const StoreValue& segment : *archive) {
    for (const auto& row : json::parse(segment.bytes, nullptr, false)) {
      changes[row.at("serial")] = row;
    }
  }
  {
    const std::lock_guard lock(m_state.mutex);
    for (const auto& change : m_state.configuration->changes()) {
      changes[change.serial.value()] = ToJson(change);
    }
  }
  json rows = json::array();
  for (auto& [serial, row] : changes) {
    rows.push_back(std::move(row));
  }
  AnswerJson(json{{"changes", rows}}, out);
}

void OperatorFrontend::InForce(const httplib::Request& in,
                               httplib::Response& out) {
  const std::uint64_t serial =
      std::strtoull(in.get_param_value("serial").c_str(), nullptr, 10);
  const std::lock_guard lock(m_state.mutex);
  json behind = json::array();
  for (const HostAnnouncement* host : m_state.hosts.Hosts()) {
    if (host->config_serial.value() < serial) {
      behind.push_back("host/" + host->host.value());
    }
  }
  for (const EntryInfo& entry : m_state.entries) {
    const auto found = m_state.entry_serials.find(entry.entry);
    const bool here =
        m_state.owner && entry.incarnation == m_state.owner->incarnation();
    const ConfigSerial known = here ? m_state.configuration->serial()
                               : found == m_state.entry_serials.end()
                                   ? ConfigSerial(0)
                                   : found->second;
    if (known.value() < serial) {
      behind.push_back("entry/" + entry.entry.value());
    }
  }
  AnswerJson(json{{"in_force", behind.empty()}, {"behind", behind}}, out);
}

void OperatorFrontend::Status(httplib::Response& out) {
  const std::lock_guard lock(m_state.mutex);
  json hosts = json::array();
  for (const HostAnnouncement* host : m_state.hosts.Hosts()) {
    json backends = json::array();
    for (const BackendAnnouncement& backend : host->backends) {
      backends.push_back({{"backend", backend.backend.value()},
                          {"service", backend.service.value()},
                          {"running", backend.running},
                          {"queued", backend.queued},
                          {"draining", backend.draining},
                          {"tail_ms", backend.latency.count()}});
    }
    hosts.push_back({{"host", host->host.value()},
                     {"domain", host->domain.value()},
                     {"address", host->address},
                     {"capacity", ToJson(host->capacity)},
                     {"committed", ToJson(host->committed)},
                     {"draining", host->draining},
                     {"allowed", m_state.configuration->AllowsWork(host->domain,
                                                                   host->host)},
                     {"config_serial", host->config_serial.value()},
                     {"backends", backends}});
  }
  json entries = json::array();
  for (const EntryInfo& entry : m_state.entries) {
    entries.push_back(
        {{"entry", entry.entry.value()}, {"address", entry.address}});
  }
  json body{{"entries", entries},
            {"hosts", hosts},
            {"config_serial", m_state.configuration->serial().value()}};
  if (m_state.owner) {
    body["owned_shards"] = m_state.owner->OwnedShards().size();
    body["store_confirmed"] = m_state.owner->IsConfirmed(m_clock.Now());
  }
  AnswerJson(body, out);
}

void OperatorFrontend::SubmitJob(const httplib::Request& in,
                                 httplib::Response& out) {
  const json body = json::parse(in.body, nullptr, false);
  if (body.is_discarded()) {
    AnswerProblem(Error{ErrorCode::kInvalidArgument, "malformed JSON", ""},
                  out);
    return;
  }
  const auto job = ParseJob(body);
  if (!job) {
    AnswerProblem(job.error(), out);
    return;
  }
  wire::JobCall call;
  call.set_operation("submit");
  call.set_team(job->team.value());
  call.set_job(body.at("name").get<std::string>());
  call.set_body(in.body);
  const wire::JobReply reply = m_jobs.Handle(call);
  out.status = static_cast<int>(reply.status());
  out.set_content(reply.body(), "application/json");
}

void OperatorFrontend::Job(const std::string& operation,
                           const httplib::Request& in,
                           httplib::Response& out) {
  wire::JobCall call;
  call.set_operation(operation);
  call.set_team(in.matches[1]);
  call.set_job(in.matches[2]);
  const wire::JobReply reply = m_jobs.Handle(call);
  out.status = static_cast<int>(reply.status());
  out.set_content(reply.body(), "application/json");
}

}  // namespace zinniacart
