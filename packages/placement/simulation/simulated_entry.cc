#include "placement/simulation/simulated_entry.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "configuration/configuration_writer.h"

namespace zinniacart::simulation {
namespace {

/// Interval between two ticks of the owner, in milliseconds.
constexpr Duration kTickInterval{20};
/// The store keys under which live entries are registered.
constexpr const char* kEntryPrefix = "entries/";

}  // namespace

SimulatedEntry::SimulatedEntry(EventQueue& events,
                               FakeStore& store,
                               EntryId entry,
                               std::uint32_t shard_count,
                               Duration clock_offset,
                               int drift_ppm,
                               PlacementTimes times,
                               SendToAgent send)
    : m_events(events),
      m_store(store),
      m_entry(std::move(entry)),
      m_shard_count(shard_count),
      m_clock(events, clock_offset, drift_ppm),
      m_times(times),
      m_send(std::move(send)) {}

void SimulatedEntry::Start() {
  m_alive = true;
  ++m_process_number;
  m_lease = LeaseId();
  m_hosts = std::make_unique<HostTable>(Incarnation(m_process_number));
  m_configuration = Configuration();
  Tick(m_process_number);
  MaintainSession(m_process_number);
}

void SimulatedEntry::Kill() {
  m_alive = false;
  m_paused = false;
  m_owner.reset();
  m_deferred.clear();
  m_pending_calls.clear();
}

void SimulatedEntry::Resume() {
  m_paused = false;
  for (auto& action : std::exchange(m_deferred, {})) {
    RunOrDefer(std::move(action));
  }
}

void SimulatedEntry::RunOrDefer(std::function<void()> action) {
  if (m_paused) {
    m_deferred.push_back(std::move(action));
  } else if (m_alive) {
    action();
  }
}

template <typename Value>
std::function<void(Result<Value>)> SimulatedEntry::GuardCallback(
    std::function<void(Result<Value>)> handler) {
  // Responses to calls of an earlier process or session are discarded.
  return [this, handler, process_number = m_process_number,
          session_number = m_session_number](Result<Value> result) {
    RunOrDefer([this, handler, process_number, session_number, result] {
      if (process_number == m_process_number &&
          session_number == m_session_number) {
        handler(result);
        ExecuteEffects();
      }
    });
  };
}

void SimulatedEntry::Receive(const HostId& host, const AgentMessage& message) {
  RunOrDefer([this, host, message] {
    if (m_owner) {
      m_owner->OnAgentMessage(host, message, m_clock.Now());
      ExecuteEffects();
    }
  });
}

void SimulatedEntry::ReceiveAnnouncement(const HostAnnouncement& announcement) {
  RunOrDefer([this, announcement] {
    m_hosts->ReceiveFromAgent(announcement, m_clock.Now());
  });
}

bool SimulatedEntry::Submit(const JobRecord& job,
                            std::function<void(Result<void>)> done) {
  if (!m_alive || m_paused || !m_owner || !m_owner->Owns(job.team)) {
    return false;
  }
  m_pending_calls[++m_call_count] = std::move(done);
  m_owner->Submit(m_call_count, job, m_clock.Now());
  ExecuteEffects();
  return true;
}

bool SimulatedEntry::Cancel(const TeamId& team,
                            const JobId& job,
                            std::function<void(Result<void>)> done) {
  if (!m_alive || m_paused || !m_owner || !m_owner->Owns(team)) {
    return false;
  }
  m_pending_calls[++m_call_count] = std::move(done);
  m_owner->Cancel(m_call_count, team, job, m_clock.Now());
  ExecuteEffects();
  return true;
}

void SimulatedEntry::Tick(std::uint64_t process_number) {
  if (!m_alive || process_number != m_process_number) {
    return;
  }
  m_events.ScheduleAfter(kTickInterval,
                         [this, process_number] { Tick(process_number); });
  if (m_paused || !m_owner) {
    return;
  }
  m_hosts->DropExpired(m_clock.Now());
  m_owner->Tick(*m_hosts, m_clock.Now());
  ExecuteEffects();
}

void SimulatedEntry::MaintainSession(std::uint64_t process_number) {
  if (!m_alive || process_number != m_process_number) {
    return;
  }
  m_events.ScheduleAfter(m_times.session_renewal, [this, process_number] {
    MaintainSession(process_number);
  });
  if (m_paused) {
    return;
  }
  if (m_lease.value().empty()) {
    OpenSession();
    return;
  }
  const Instant started_at = m_clock.Now();
  m_store.RenewLease(
      m_lease, GuardCallback<void>([this, started_at](Result<void> renewed) {
        if (renewed) {
          m_owner->OnSessionRenewed(started_at);
        } else if (renewed.error().code == ErrorCode::kNotFound) {
          m_lease = LeaseId();
          m_owner.reset();
          ++m_session_number;
        }
      }));
  ListEntries();
  ReadConfiguration([](bool) {});
}

void SimulatedEntry::OpenSession() {
  ++m_session_number;
  const Instant started_at = m_clock.Now();
  const Incarnation incarnation(m_process_number * 1'000'000 +
                                m_session_number);
  const auto on_registered = [this, started_at, incarnation](
                                 LeaseId lease,
                                 Result<StoreVersion> registration) {
    if (!registration) {
      return;
    }
    m_lease = lease;
    m_owner = std::make_unique<ShardOwner>(m_entry, incarnation, m_shard_count,
                                           m_times, InterferenceAware{});
    m_owner->OnConfiguration(m_configuration, m_clock.Now());
    m_owner->OnSessionRenewed(started_at);
  };
  m_store.OpenLease(
      m_times.session_ttl,
      GuardCallback<LeaseId>([this, incarnation,
                              on_registered](Result<LeaseId> lease) {
        if (!lease) {
          return;
        }
        const nlohmann::json registration{{"entry", m_entry.value()},
                                          {"incarnation", incarnation.value()}};
        const StoreKey key(kEntryPrefix + m_entry.value() + "/" +
                           std::to_string(incarnation.value()));
        m_store.CompareAndSwap(
            key, registration.dump(), StoreVersion(0), *lease,
            GuardCallback<StoreVersion>(
                [on_registered, lease = *lease](Result<StoreVersion> version) {
                  on_registered(lease, version);
                }));
      }));
}

void SimulatedEntry::ListEntries() {
  const Instant started_at = m_clock.Now();
  m_store.List(
      kEntryPrefix,
      GuardCallback<std::vector<StoreValue>>(
          [this, started_at](Result<std::vector<StoreValue>> registrations) {
            if (!registrations || !m_owner) {
              return;
            }
            std::vector<EntryInfo> entries;
            for (const StoreValue& registration : *registrations) {
              const auto body = nlohmann::json::parse(registration.bytes);
              entries.push_back(EntryInfo{EntryId(body.at("entry")),
                                          Incarnation(body.at("incarnation")),
                                          {}});
            }
            m_owner->OnEntries(std::move(entries), started_at, m_clock.Now());
          }));
}

void SimulatedEntry::ReadConfiguration(std::function<void(bool)> done) {
  m_store.Get(ConfigurationWriter::Key(),
              GuardCallback<StoreValue>([this, done](Result<StoreValue> value) {
                const bool never_written =
                    !value && value.error().code == ErrorCode::kNotFound;
                if (value) {
                  const auto read = Configuration::Parse(value->bytes);
                  if (read && read->serial() > m_configuration.serial()) {
                    m_configuration = *read;
                    if (m_owner) {
                      m_owner->OnConfiguration(m_configuration, m_clock.Now());
                    }
                  }
                }
                done(value.has_value() || never_written);
              }));
}

void SimulatedEntry::EvictRunningTask() {
  RunOrDefer([this] {
    if (!m_owner) {
      return;
    }
    m_owner->EvictOneBatchTask(m_clock.Now());
    ExecuteEffects();
  });
}

void SimulatedEntry::ExecuteEffects() {
  if (!m_owner) {
    return;
  }
  for (auto& [shard, effect] : m_owner->TakeEffects()) {
    std::visit(
        Visitor{[&, id = shard](const Shard::ReadRecord&) {
                  m_store.Get(ShardKey(id),
                              GuardCallback<StoreValue>([this, id](auto value) {
                                m_owner->OnRead(id, value, m_clock.Now());
                              }));
                },
                [&, id = shard](const Shard::WriteRecord& write) {
                  m_store.CompareAndSwap(
                      ShardKey(id), write.bytes, write.expected, LeaseId(),
                      GuardCallback<StoreVersion>([this, id](auto version) {
                        m_owner->OnWritten(id, version, m_clock.Now());
                      }));
                },
                [&, id = shard](const Shard::ConfirmConfiguration&) {
                  ReadConfiguration([this, id](bool confirmed) {
                    m_owner->OnConfigurationConfirmed(id, confirmed,
                                                      m_clock.Now());
                  });
                },
                [&](const Shard::Send& send) {
                  m_send(m_entry, send.host, send.message);
                },
                [&](const Shard::Answer& answer) {
                  const auto found = m_pending_calls.find(answer.call);
                  if (found != m_pending_calls.end()) {
                    const auto done = std::move(found->second);
                    m_pending_calls.erase(found);
                    done(answer.result);
                  }
                }},
        effect);
  }
}

}  // namespace zinniacart::simulation
