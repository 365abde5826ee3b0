#include "entry/entry_service.h"

#include <nlohmann/json.hpp>

#include "entry/job_desk.h"
#include "entry/placement_driver.h"
#include "placement/wire_conversion.h"

namespace zinniacart {

EntryService::EntryService(EntryState& state,
                           const Clock& clock,
                           PlacementDriver& placement,
                           JobDesk& jobs)
    : m_state(state), m_clock(clock), m_placement(placement), m_jobs(jobs) {}

grpc::Status EntryService::Sync(grpc::ServerContext*,
                                const wire::SyncRequest* request,
                                wire::SyncReply* reply) {
  const HostId host(request->host());
  {
    const std::lock_guard lock(m_state.mutex);
    if (request->has_announcement()) {
      const bool accepted = m_state.hosts.ReceiveFromAgent(
          FromWire(request->announcement()), m_clock.Now());
      reply->set_host_conflict(!accepted);
      for (const EntryInfo& entry : m_state.entries) {
        auto& entry_address = *reply->add_entries();
        entry_address.set_entry(entry.entry.value());
        entry_address.set_address(entry.address);
      }
    }
  }
  if (reply->host_conflict()) {
    return grpc::Status::OK;
  }
  WriteConfiguration(ConfigSerial(request->config_serial()), *reply);
  for (auto& message : m_placement.Handle(host, request->messages())) {
    *reply->add_messages() = std::move(message);
  }
  return grpc::Status::OK;
}

void EntryService::WriteConfiguration(ConfigSerial known,
                                      wire::SyncReply& reply) {
  std::shared_ptr<const Configuration> configuration;
  {
    const std::lock_guard lock(m_state.mutex);
    configuration = m_state.configuration;
  }
  if (configuration->serial() <= known) {
    return;
  }
  const auto changes = configuration->ChangesAfter(known);
  if (!changes) {
    reply.set_config_whole(configuration->Serialize());
    return;
  }
  for (const ConfigurationChange& change : *changes) {
    reply.add_config_changes(ToJson(change).dump());
  }
}

grpc::Status EntryService::Exchange(grpc::ServerContext*,
                                    const wire::ExchangeRequest* request,
                                    wire::ExchangeReply* reply) {
  const std::lock_guard lock(m_state.mutex);
  const auto delta = m_state.hosts.ChangesSince(
      Incarnation(request->instance()), request->since());
  reply->set_instance(delta.instance.value());
  reply->set_version(delta.version);
  reply->set_whole(delta.full);
  for (const HostAnnouncement& host : delta.hosts) {
    *reply->add_hosts() = ToWire(host);
  }
  reply->set_config_serial(m_state.configuration->serial().value());
  return grpc::Status::OK;
}

grpc::Status EntryService::Job(grpc::ServerContext*,
                               const wire::JobCall* request,
                               wire::JobReply* reply) {
  *reply = m_jobs.HandleLocally(*request);
  return grpc::Status::OK;
}

}  // namespace zinniacart
