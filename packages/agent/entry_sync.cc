#include "agent/entry_sync.h"

#include <grpcpp/grpcpp.h>

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/logging.h"
#include "zinniacart.grpc.pb.h"

namespace zinniacart {
namespace {

constexpr std::chrono::milliseconds kCallTimeout{1'000};

}  // namespace

EntrySync::EntrySync(HostId host, std::vector<std::string> seeds)
    : m_host(std::move(host)), m_seeds(std::move(seeds)) {}

EntrySync::Round EntrySync::RunRound(
    std::map<EntryId, std::vector<wire::AgentMessage>> messages,
    const wire::HostAnnouncement& announcement,
    bool announcement_due) {
  Round round;
  const auto request_for = [&](const EntryId& entry) {
    wire::SyncRequest request;
    request.set_host(m_host.value());
    request.set_config_serial(m_configuration.serial().value());
    const auto queued = messages.find(entry);
    if (queued != messages.end()) {
      for (auto& message : queued->second) {
        *request.add_messages() = std::move(message);
      }
      messages.erase(queued);
    }
    return request;
  };
  if (announcement_due) {
    for (const Target& target : AnnouncementTargets()) {
      wire::SyncRequest request = request_for(target.entry);
      *request.mutable_announcement() = announcement;
      if (Call(target, request, round)) {
        break;
      }
    }
  }
  while (!messages.empty()) {
    const EntryId entry = messages.begin()->first;
    const auto address = m_entries.find(entry);
    if (address == m_entries.end()) {
      messages.erase(entry);
      continue;
    }
    const Target target{entry, address->second};
    Call(target, request_for(entry), round);
  }
  return round;
}

std::vector<EntryId> EntrySync::Entries() const {
  std::vector<EntryId> entries;
  for (const auto& [entry, address] : m_entries) {
    entries.push_back(entry);
  }
  return entries;
}

std::vector<EntrySync::Target> EntrySync::AnnouncementTargets() const {
  std::vector<Target> targets;
  for (const auto& [entry, address] : m_entries) {
    targets.push_back(Target{entry, address});
  }
  // Rendezvous hashing distributes the hosts evenly over the entries.
  std::sort(targets.begin(), targets.end(),
            [this](const Target& a, const Target& b) {
              return StableHash(m_host.value() + "/" + a.entry.value()) >
                     StableHash(m_host.value() + "/" + b.entry.value());
            });
  for (const std::string& seed : m_seeds) {
    targets.push_back(Target{EntryId(), seed});
  }
  return targets;
}

bool EntrySync::Call(const Target& target,
                     const wire::SyncRequest& request,
                     Round& round) {
  const auto stub = wire::Entry::NewStub(m_channels.Get(target.address));
  grpc::ClientContext context;
  context.set_deadline(std::chrono::system_clock::now() + kCallTimeout);
  wire::SyncReply reply;
  const grpc::Status status = stub->Sync(&context, request, &reply);
  if (!status.ok()) {
    if (status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED) {
      // The connection may be lost without notice: the next call uses a new
      // one.
      m_channels.Replace(target.address);
    }
    return false;
  }
  round.reached_any = true;
  round.host_conflict |= reply.host_conflict();
  ApplyEntries(reply);
  round.configuration_changed |= ApplyConfiguration(reply);
  round.replies.emplace_back(target.entry, std::move(reply));
  return true;
}

void EntrySync::ApplyEntries(const wire::SyncReply& reply) {
  if (reply.entries().empty()) {
    return;
  }
  m_entries.clear();
  for (const auto& row : reply.entries()) {
    m_entries[EntryId(row.entry())] = row.address();
  }
}

bool EntrySync::ApplyConfiguration(const wire::SyncReply& reply) {
  const ConfigSerial before = m_configuration.serial();
  if (!reply.config_whole().empty()) {
    auto full_configuration = Configuration::Parse(reply.config_whole());
    if (full_configuration && full_configuration->serial() > before) {
      m_configuration = std::move(*full_configuration);
    }
  }
  for (const std::string& text : reply.config_changes()) {
    const auto change =
        ParseChange(nlohmann::json::parse(text, nullptr, false));
    if (!change) {
      LogError("configuration.unreadable", {{"detail", change.error().detail}});
      break;
    }
    if (change->serial == m_configuration.serial().Next()) {
      m_configuration.Apply(*change);
    }
  }
  return m_configuration.serial() > before;
}

}  // namespace zinniacart
