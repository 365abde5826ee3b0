#include "entry/placement_driver.h"

#include <grpcpp/grpcpp.h>

#include <chrono>
#include <utility>

#include "base/logging.h"
#include "placement/wire_conversion.h"
#include "zinniacart.grpc.pb.h"

namespace zinniacart {
namespace {

/// Number of store operations in progress at once.
constexpr std::size_t kStoreThreads = 8;
constexpr std::size_t kReplyThreads = 2;
constexpr std::chrono::milliseconds kAgentCallTimeout{1'000};

/// The data of one call to an agent, which must exist until the call has ended.
struct AgentCall {
  std::unique_ptr<wire::Agent::Stub> stub;
  grpc::ClientContext context;
  wire::OwnerBatch batch;
  wire::AgentBatch replies;
};

}  // namespace

PlacementDriver::PlacementDriver(EntryState& state,
                                 Store& store,
                                 const Clock& clock,
                                 ConfigurationFollower& follower,
                                 ChannelPool& agents,
                                 EntryId self)
    : m_state(state),
      m_store(store),
      m_clock(clock),
      m_follower(follower),
      m_agents(agents),
      m_self(std::move(self)),
      m_store_threads(kStoreThreads),
      m_reply_threads(kReplyThreads) {}

void PlacementDriver::Tick() {
  std::vector<ShardOwner::ShardEffect> effects;
  Incarnation session;
  {
    const std::lock_guard lock(m_state.mutex);
    const Instant now = m_clock.Now();
    m_state.hosts.DropExpired(now);
    if (!m_state.owner) {
      return;
    }
    m_state.owner->Tick(m_state.hosts, now);
    effects = m_state.owner->TakeEffects();
    session = m_state.owner->incarnation();
  }
  Execute(effects, session);
}

std::vector<wire::OwnerMessage> PlacementDriver::Handle(
    const HostId& host,
    const google::protobuf::RepeatedPtrField<wire::AgentMessage>& messages) {
  std::vector<ShardOwner::ShardEffect> effects;
  std::vector<ShardOwner::ShardEffect> remaining;
  std::vector<wire::OwnerMessage> replies;
  Incarnation session;
  {
    const std::lock_guard lock(m_state.mutex);
    if (!m_state.owner) {
      return replies;
    }
    for (const auto& received : messages) {
      if (const auto message = FromWire(received)) {
        m_state.owner->OnAgentMessage(host, *message, m_clock.Now());
      }
    }
    effects = m_state.owner->TakeEffects();
    session = m_state.owner->incarnation();
  }
  for (auto& effect : effects) {
    const auto* send = std::get_if<Shard::Send>(&effect.effect);
    if (send != nullptr && send->host == host) {
      replies.push_back(ToWire(send->message));
    } else {
      remaining.push_back(std::move(effect));
    }
  }
  Execute(remaining, session);
  return replies;
}

Result<void> PlacementDriver::Submit(const JobRecord& job, Duration timeout) {
  return CallAndWait([&](ShardOwner& owner, std::uint64_t call,
                         Instant now) { owner.Submit(call, job, now); },
                     timeout);
}

Result<void> PlacementDriver::Cancel(const TeamId& team,
                                     const JobId& job,
                                     Duration timeout) {
  return CallAndWait([&](ShardOwner& owner, std::uint64_t call,
                         Instant now) { owner.Cancel(call, team, job, now); },
                     timeout);
}

Result<void> PlacementDriver::CallAndWait(
    const std::function<void(ShardOwner&, std::uint64_t, Instant)>& action,
    Duration timeout) {
  std::uint64_t call = 0;
  {
    const std::lock_guard lock(m_pending_calls_mutex);
    call = ++m_last_call;
    m_pending_calls[call] = PendingCall{};
  }
  {
    const std::lock_guard lock(m_state.mutex);
    if (!m_state.owner) {
      return Fail(ErrorCode::kNotReady, "no session at the store");
    }
    action(*m_state.owner, call, m_clock.Now());
  }
  Tick();
  std::unique_lock lock(m_pending_calls_mutex);
  const bool answered = m_answered.wait_for(
      lock, timeout, [&] { return m_pending_calls[call].answered; });
  const PendingCall answer = m_pending_calls[call];
  m_pending_calls.erase(call);
  if (!answered) {
    return Fail(ErrorCode::kOutcomeUnknown, "not known durable in time");
  }
  return answer.result;
}

void PlacementDriver::Stop() {
  m_store_threads.join();
  {
    std::unique_lock lock(m_agent_call_mutex);
    m_agent_call_ended.wait(lock, [this] { return m_open_agent_calls == 0; });
  }
  m_reply_threads.join();
}

void PlacementDriver::Execute(
    const std::vector<ShardOwner::ShardEffect>& effects,
    Incarnation session) {
  std::map<HostId, wire::OwnerBatch> batches;
  for (const auto& [shard, effect] : effects) {
    std::visit(
        Visitor{[&, id = shard](const Shard::ReadRecord&) {
                  asio::post(m_store_threads, [this, id, session] {
                    const auto value = m_store.Get(ShardKey(id));
                    WithOwner(session, [&](ShardOwner& owner, Instant now) {
                      owner.OnRead(id, value, now);
                    });
                  });
                },
                [&, id = shard](const Shard::WriteRecord& write) {
                  asio::post(m_store_threads, [this, id, session, write] {
                    const auto version = m_store.CompareAndSwap(
                        ShardKey(id), write.bytes, write.expected, LeaseId());
                    WithOwner(session, [&](ShardOwner& owner, Instant now) {
                      owner.OnWritten(id, version, now);
                    });
                  });
                },
                [&, id = shard](const Shard::ConfirmConfiguration&) {
                  asio::post(m_store_threads, [this, id, session] {
                    const bool confirmed = m_follower.Refresh();
                    WithOwner(session, [&](ShardOwner& owner, Instant now) {
                      owner.OnConfigurationConfirmed(id, confirmed, now);
                    });
                  });
                },
                [&](const Shard::Send& send) {
                  *batches[send.host].add_messages() = ToWire(send.message);
                },
                [&](const Shard::Answer& answer) {
                  const std::lock_guard lock(m_pending_calls_mutex);
                  const auto found = m_pending_calls.find(answer.call);
                  if (found != m_pending_calls.end()) {
                    found->second = PendingCall{true, answer.result};
                    m_answered.notify_all();
                  }
                }},
        effect);
  }
  SendBatches(batches);
}

void PlacementDriver::WithOwner(
    Incarnation session,
    const std::function<void(ShardOwner&, Instant)>& action) {
  std::vector<ShardOwner::ShardEffect> effects;
  {
    const std::lock_guard lock(m_state.mutex);
    const bool is_same_session =
        m_state.owner && m_state.owner->incarnation() == session;
    if (!is_same_session) {
      return;
    }
    action(*m_state.owner, m_clock.Now());
    effects = m_state.owner->TakeEffects();
  }
  Execute(effects, session);
}

void PlacementDriver::SendBatches(
    const std::map<HostId, wire::OwnerBatch>& batches) {
  for (const auto& [host, batch] : batches) {
    std::string address;
    {
      const std::lock_guard lock(m_state.mutex);
      const HostAnnouncement* announcement = m_state.hosts.Find(host);
      if (announcement == nullptr) {
        // The shard sends the messages again after `PlacementTimes::resend`
        // for as long as they still apply.
        continue;
      }
      address = announcement->address;
    }
    auto call = std::make_shared<AgentCall>();
    call->stub = wire::Agent::NewStub(m_agents.Get(address));
    call->batch = batch;
    call->batch.set_entry(m_self.value());
    call->batch.set_host(host.value());
    call->context.set_deadline(std::chrono::system_clock::now() +
                               kAgentCallTimeout);
    {
      const std::lock_guard lock(m_agent_call_mutex);
      ++m_open_agent_calls;
    }
    call->stub->async()->Place(
        &call->context, &call->batch, &call->replies,
        [this, call, host = host, address](const grpc::Status& status) mutable {
          // gRPC's thread must not destroy the call or its channel: it still
          // uses both after this callback returns.
          asio::post(m_reply_threads, [this, call = std::move(call), host,
                                       address, status] {
            HandleAgentReplies(
                host, address, call->replies, status.ok(),
                status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED);
          });
        });
  }
}

void PlacementDriver::HandleAgentReplies(const HostId& host,
                                         const std::string& address,
                                         const wire::AgentBatch& replies,
                                         bool ok,
                                         bool timed_out) {
  if (ok && !replies.messages().empty()) {
    const auto messages = Handle(host, replies.messages());
    wire::OwnerBatch batch;
    for (const auto& message : messages) {
      *batch.add_messages() = message;
    }
    if (!messages.empty()) {
      std::map<HostId, wire::OwnerBatch> batches;
      batches[host] = std::move(batch);
      SendBatches(batches);
    }
  }
  if (timed_out) {
    m_agents.Replace(address);
  }
  const std::lock_guard lock(m_agent_call_mutex);
  --m_open_agent_calls;
  m_agent_call_ended.notify_all();
}

}  // namespace zinniacart
