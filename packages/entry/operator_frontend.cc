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
constexpr int kIdleTimeoutSeconds = 5;
constexpr std::size_t kMaxBodyBytes = 1 << 20;

void WriteJson(const json& body, httplib::Response& http_response) {
  http_response.set_content(
      body.dump(-1, ' ', false, json::error_handler_t::replace),
      "application/json");
}

json RowToJson(const Configuration::Row& row) {
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
      m_server(HttpServerLimits{kOperatorThreads, kIdleTimeoutSeconds,
                                kMaxBodyBytes}) {
  auto& server = m_server.server();
  server.Post("/v1/resources",
              [this](const auto& http_request, auto& http_response) {
                ApplyResource(http_request, http_response);
              });
  server.Get("/v1/resources",
             [this](const auto& http_request, auto& http_response) {
               ListResources(http_request, http_response);
             });
  server.Get("/v1/resources/([^/]+/[^/]+)",
             [this](const auto& http_request, auto& http_response) {
               GetResource(http_request.matches[1], http_response);
             });
  server.Delete("/v1/resources/([^/]+/[^/]+)",
                [this](const auto& http_request, auto& http_response) {
                  DeleteResource(http_request, http_response);
                });
  server.Get("/v1/audit", [this](const auto&, auto& http_response) {
    GetAudit(http_response);
  });
  server.Get("/v1/in-force",
             [this](const auto& http_request, auto& http_response) {
               GetInForce(http_request, http_response);
             });
  server.Get("/v1/status", [this](const auto&, auto& http_response) {
    GetStatus(http_response);
  });
  server.Post("/v1/jobs",
              [this](const auto& http_request, auto& http_response) {
                SubmitJob(http_request, http_response);
              });
  server.Get("/v1/jobs/([^/]+)/([^/]+)",
             [this](const auto& http_request, auto& http_response) {
               CallJobDesk("get", http_request, http_response);
             });
  server.Delete("/v1/jobs/([^/]+)/([^/]+)",
                [this](const auto& http_request, auto& http_response) {
                  CallJobDesk("cancel", http_request, http_response);
                });
  server.Get("/healthz", [](const auto&, auto& http_response) {
    http_response.set_content("ok", "text/plain");
  });
  server.Get("/readyz", [this](const auto&, auto& http_response) {
    const bool ready = IsReady();
    http_response.status = ready ? 200 : 503;
    http_response.set_content(ready ? "ready" : "not ready", "text/plain");
  });
  server.Get("/metrics", [this](const auto&, auto& http_response) {
    http_response.set_content(m_metrics(), "text/plain; version=0.0.4");
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

void OperatorFrontend::ApplyResource(const httplib::Request& http_request,
                                     httplib::Response& http_response) {
  const json body = json::parse(http_request.body, nullptr, false);
  if (body.is_discarded()) {
    WriteProblem(Error{ErrorCode::kInvalidArgument, "malformed JSON", ""},
                 http_response);
    return;
  }
  auto resource = ParseResource(body);
  if (!resource) {
    WriteProblem(resource.error(), http_response);
    return;
  }
  const std::string key = ResourceKey(*resource);
  WriteChange(http_request, key, std::move(*resource), http_response);
}

void OperatorFrontend::DeleteResource(const httplib::Request& http_request,
                                      httplib::Response& http_response) {
  WriteChange(http_request, http_request.matches[1], std::nullopt,
              http_response);
}

void OperatorFrontend::WriteChange(const httplib::Request& http_request,
                                   const std::string& key,
                                   std::optional<Resource> resource,
                                   httplib::Response& http_response) {
  ChangeRequest request;
  request.change_id = http_request.get_header_value("Zinniacart-Change-Id");
  request.author = http_request.get_header_value("Zinniacart-Author");
  request.wall_clock_ms = WallClockMilliseconds();
  request.key = key;
  request.resource = std::move(resource);
  const bool identified = !request.change_id.empty() && !request.author.empty();
  if (!identified) {
    WriteProblem(Error{ErrorCode::kInvalidArgument,
                       "Zinniacart-Change-Id and Zinniacart-Author are needed",
                       "Zinniacart-Change-Id"},
                 http_response);
    return;
  }
  if (http_request.has_header("If-Match")) {
    request.expected = ConfigSerial(std::strtoull(
        http_request.get_header_value("If-Match").c_str(), nullptr, 10));
  }
  ConfigurationWriter writer(
      m_store, [](Duration pause) { std::this_thread::sleep_for(pause); });
  const auto written = writer.Write(request);
  if (!written) {
    WriteProblem(written.error(), http_response);
    return;
  }
  PutInForce(m_state, *written, m_clock.Now());
  const auto serial = written->FindChange(request.change_id);
  WriteJson(json{{"key", key}, {"serial", serial->value()}}, http_response);
}

void OperatorFrontend::GetResource(const std::string& key,
                                   httplib::Response& http_response) {
  const std::lock_guard lock(m_state.mutex);
  const auto& rows = m_state.configuration->rows();
  const auto found = rows.find(key);
  if (found == rows.end()) {
    WriteProblem(Error{ErrorCode::kNotFound, key, {}}, http_response);
    return;
  }
  http_response.set_header(
      "ETag", '"' + std::to_string(found->second.changed_at.value()) + '"');
  WriteJson(RowToJson(found->second), http_response);
}

void OperatorFrontend::ListResources(const httplib::Request& http_request,
                                     httplib::Response& http_response) {
  const std::string kind = http_request.get_param_value("kind");
  const std::lock_guard lock(m_state.mutex);
  json rows = json::array();
  for (const auto& [key, row] : m_state.configuration->rows()) {
    if (kind.empty() || key.starts_with(kind + "/")) {
      rows.push_back(RowToJson(row));
    }
  }
  WriteJson(json{{"serial", m_state.configuration->serial().value()},
                 {"resources", rows}},
            http_response);
}

void OperatorFrontend::GetAudit(httplib::Response& http_response) {
  const auto archive = m_store.List(ConfigurationWriter::kArchivePrefix);
  if (!archive) {
    WriteProblem(archive.error(), http_response);
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
  WriteJson(json{{"changes", rows}}, http_response);
}

void OperatorFrontend::GetInForce(const httplib::Request& http_request,
                                  httplib::Response& http_response) {
  const std::uint64_t serial = std::strtoull(
      http_request.get_param_value("serial").c_str(), nullptr, 10);
  const std::lock_guard lock(m_state.mutex);
  json behind = json::array();
  for (const HostAnnouncement* host : m_state.hosts.Hosts()) {
    if (host->config_serial.value() < serial) {
      behind.push_back("host/" + host->host.value());
    }
  }
  for (const EntryInfo& entry : m_state.entries) {
    const auto found = m_state.entry_serials.find(entry.entry);
    const bool is_self =
        m_state.owner && entry.incarnation == m_state.owner->incarnation();
    const ConfigSerial known = is_self ? m_state.configuration->serial()
                               : found == m_state.entry_serials.end()
                                   ? ConfigSerial(0)
                                   : found->second;
    if (known.value() < serial) {
      behind.push_back("entry/" + entry.entry.value());
    }
  }
  WriteJson(json{{"in_force", behind.empty()}, {"behind", behind}},
            http_response);
}

void OperatorFrontend::GetStatus(httplib::Response& http_response) {
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
  WriteJson(body, http_response);
}

void OperatorFrontend::SubmitJob(const httplib::Request& http_request,
                                 httplib::Response& http_response) {
  const json body = json::parse(http_request.body, nullptr, false);
  if (body.is_discarded()) {
    WriteProblem(Error{ErrorCode::kInvalidArgument, "malformed JSON", ""},
                 http_response);
    return;
  }
  const auto job = ParseJob(body);
  if (!job) {
    WriteProblem(job.error(), http_response);
    return;
  }
  wire::JobCall call;
  call.set_operation("submit");
  call.set_team(job->team.value());
  call.set_job(body.at("name").get<std::string>());
  call.set_body(http_request.body);
  const wire::JobReply reply = m_jobs.Handle(call);
  http_response.status = static_cast<int>(reply.status());
  http_response.set_content(reply.body(), "application/json");
}

void OperatorFrontend::CallJobDesk(const std::string& operation,
                                   const httplib::Request& http_request,
                                   httplib::Response& http_response) {
  wire::JobCall call;
  call.set_operation(operation);
  call.set_team(http_request.matches[1]);
  call.set_job(http_request.matches[2]);
  const wire::JobReply reply = m_jobs.Handle(call);
  http_response.status = static_cast<int>(reply.status());
  http_response.set_content(reply.body(), "application/json");
}

}  // namespace zinniacart
