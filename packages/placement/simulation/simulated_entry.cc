#include "placement/simulation/simulated_entry.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "configuration/configuration_writer.h"

namespace zinniacart::simulation {
namespace {

constexpr Duration kTick{20};
constexpr const char* kDirectoryPrefix = "entries/";

}  // namespace

SimulatedEntry::SimulatedEntry(EventQueue& events,
                               FakeStore& store,
                               EntryId entry,
                               std::uint32_t shards,
                               Duration clock_offset,
                               int drift_ppm,
                               PlacementTimes times,
                               SendToAgent send)
    : m_events(events),
      m_store(store),
      m_entry(std::move(entry)),
      m_shards(shards),
      m_clock(events, clock_offset, drift_ppm),
      m_times(times),
      m_send(std::move(send)) {}

void SimulatedEntry::Start() {
  m_alive = true;
  ++m_run;
  m_lease = LeaseId();
  m_hosts = std::make_unique<HostTable>(Incarnation(m_run));
  m_configuration = Configuration();
  Tick(m_run);
  KeepSession(m_run);
}

void SimulatedEntry::Kill() {
  m_alive = false;
  m_paused = false;
  m_owner.reset();
  m_waiting.clear();
  m_calls.clear();
}

void SimulatedEntry::Resume() {
  m_paused = false;
  for (auto& action : std::exchange(m_waiting, {})) {
    Do(std::move(action));
  }
}

void SimulatedEntry::Do(std::function<void()> action) {
  if (m_paused) {
    m_waiting.push_back(std::move(action));
  } else if (m_alive) {
    action();
  }
}

template <typename Value>
std::function<void(Result<Value>)> SimulatedEntry::Guard(
    std::function<void(Result<Value>)> handler) {
  // An answer to an earlier run or session finds nobody.
  return
      [this, handler, run = m_run, session = m_sessions](Result<Value> result) {
        Do([this, handler, run, session, result] {
          if (run == m_run && session == m_sessions) {
            handler(result);
            CarryOut();
          }
        });
      };
}

void SimulatedEntry::Receive(const HostId& host, const AgentMessage& message) {
  Do([this, host, message] {
    if (m_owner) {
      m_owner->OnAgentMessage(host, message, m_clock.Now());
      CarryOut();
    }
  });
}

void SimulatedEntry::Hear(const HostAnnouncement& announcement) {
  Do([this, announcement] {
    m_hosts->ReceiveFromAgent(announcement, m_clock.Now());
  });
}

bool SimulatedEntry::Submit(const JobRecord& job,
                            std::function<void(Result<void>)> done) {
  if (!m_alive || m_paused || !m_owner || !m_owner->Owns(job.team)) {
    return false;
  }
  m_calls[++m_call_count] = std::move(done);
  m_owner->Submit(m_call_count, job, m_clock.Now());
  CarryOut();
  return true;
}

bool SimulatedEntry::Cancel(const TeamId& team,
                            const JobId& job,
                            std::function<void(Result<void>)> done) {
  if (!m_alive || m_paused || !m_owner || !m_owner->Owns(team)) {
    return false;
  }
  m_calls[++m_call_count] = std::move(done);
  m_owner->Cancel(m_call_count, team, job, m_clock.Now());
  CarryOut();
  return true;
}

void SimulatedEntry::Tick(std::uint64_t run) {
  if (!m_alive || run != m_run) {
    return;
  }
  m_events.After(kTick, [this, run] { Tick(run); });
  if (m_paused || !m_owner) {
    return;
  }
  m_hosts->DropExpired(m_clock.Now());
  m_owner->Tick(*m_hosts, m_clock.Now());
  CarryOut();
}

void SimulatedEntry::KeepSession(std::uint64_t run) {
  if (!m_alive || run != m_run) {
    return;
  }
  m_events.After(m_times.session_renewal, [this, run] { KeepSession(run); });
  if (m_paused) {
    return;
  }
  if (m_lease.value().empty()) {
    OpenSession();
    return;
  }
  const Instant started = m_clock.Now();
  m_store.RenewLease(
      m_lease, Guard<void>([this, started](Result<void> renewed) {
        if (renewed) {
          m_owner->OnSessionRenewed(started);
        } else if (renewed.error().code == ErrorCode::kNotFound) {
          m_lease = LeaseId();
          m_owner.reset();
          ++m_sessions;
        }
      }));
  ListEntries();
  FollowConfiguration([](bool) {});
}

void SimulatedEntry::OpenSession() {
  ++m_sessions;
  const Instant started = m_clock.Now();
  const Incarnation incarnation(m_run * 1'000'000 + m_sessions);
  const auto on_row = [this, started, incarnation](LeaseId lease,
                                                   Result<StoreVersion> row) {
    if (!row) {
      return;
    }
    m_lease = lease;
    m_owner = std::make_unique<ShardOwner>(m_entry, incarnation, m_shards,
                                           m_times, InterferenceAware{});
    m_owner->OnConfiguration(m_configuration, m_clock.Now());
    m_owner->OnSessionRenewed(started);
  };
  m_store.OpenLease(
      m_times.session_ttl,
      Guard<LeaseId>([this, incarnation, on_row](Result<LeaseId> lease) {
        if (!lease) {
          return;
        }
        const nlohmann::json row{{"entry", m_entry.value()},
                                 {"incarnation", incarnation.value()}};
        const StoreKey key(kDirectoryPrefix + m_entry.value() + "/" +
                           std::to_string(incarnation.value()));
        m_store.CompareAndSwap(
            key, row.dump(), StoreVersion(0), *lease,
            Guard<StoreVersion>(
                [on_row, lease = *lease](Result<StoreVersion> version) {
                  on_row(lease, version);
                }));
      }));
}

void SimulatedEntry::ListEntries() {
  const Instant started = m_clock.Now();
  m_store.List(
      kDirectoryPrefix,
      Guard<std::vector<StoreValue>>(
          [this, started](Result<std::vector<StoreValue>> rows) {
            if (!rows || !m_owner) {
              return;
            }
            std::vector<EntryInfo> entries;
            for (const StoreValue& row : *rows) {
              const auto body = nlohmann::json::parse(row.bytes);
              entries.push_back(EntryInfo{EntryId(body.at("entry")),
                                          Incarnation(body.at("incarnation")),
                                          {}});
            }
            m_owner->OnEntries(std::move(entries), started, m_clock.Now());
          }));
}

void SimulatedEntry::FollowConfiguration(std::function<void(bool)> done) {
  m_store.Get(ConfigurationWriter::Key(),
              Guard<StoreValue>([this, done](Result<StoreValue> value) {
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

void SimulatedEntry::EvictSome() {
  Do([this] {
    if (!m_owner) {
      return;
    }
    m_owner->EvictOneBatchTask(m_clock.Now());
    CarryOut();
  });
}

void SimulatedEntry::CarryOut() {
  if (!m_owner) {
    return;
  }
  for (auto& [shard, effect] : m_owner->TakeEffects()) {
    std::visit(
        Visitor{[&, id = shard](const Shard::ReadRecord&) {
                  m_store.Get(ShardKey(id),
                              Guard<StoreValue>([this, id](auto value) {
                                m_owner->OnRead(id, value, m_clock.Now());
                              }));
                },
                [&, id = shard](const Shard::WriteRecord& write) {
                  m_store.CompareAndSwap(
                      ShardKey(id), write.bytes, write.expected, LeaseId(),
                      Guard<StoreVersion>([this, id](auto version) {
                        m_owner->OnWritten(id, version, m_clock.Now());
                      }));
                },
                [&, id = shard](const Shard::ConfirmConfiguration&) {
                  FollowConfiguration([this, id](bool confirmed) {
                    m_owner->OnConfigurationConfirmed(id, confirmed,
                                                      m_clock.Now());
                  });
                },
                [&](const Shard::Send& send) {
                  m_send(m_entry, send.host, send.message);
                },
                [&](const Shard::Answer& answer) {
                  const auto found = m_calls.find(answer.call);
                  if (found != m_calls.end()) {
                    const auto done = std::move(found->second);
                    m_calls.erase(found);
                    done(answer.result);
                  }
                }},
        effect);
  }
}

}  // namespace zinniacart::simulation
