#pragma once

#include <asio.hpp>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "entry/configuration_follower.h"
#include "entry/entry_state.h"
#include "ports/store.h"
#include "rpc/channel_pool.h"
#include "zinniacart.pb.h"

namespace zinniacart {

/// Drives the `ShardOwner` in `EntryState`, which itself does no I/O: passes
/// events to it, executes the resulting effects (reads and writes at the store,
/// messages to agents) and reports their results to it. Does nothing while this
/// entry has no session at the store. Thread-safe.
class PlacementDriver final {
 public:
  PlacementDriver(EntryState& state,
                  Store& store,
                  const Clock& clock,
                  ConfigurationFollower& follower,
                  ChannelPool& agents,
                  EntryId self);

  /// Drops the hosts whose announcements have expired, lets the shard owner act
  /// on the current time and executes its effects. Call every few tens of
  /// milliseconds.
  void Tick();

  /// Passes the messages received from the agent of `host` to the shard owner.
  /// @returns the resulting messages to that agent, which the caller sends as
  /// its reply. All other effects are executed.
  std::vector<wire::OwnerMessage> Handle(
      const HostId& host,
      const google::protobuf::RepeatedPtrField<wire::AgentMessage>& messages);

  /// Submits or cancels a job and waits until the change is stored durably.
  /// @param timeout limit of the wait.
  /// @returns `kNotReady` without a session at the store, `kOutcomeUnknown`
  /// where the change is not known to be durable in time, or the error with
  /// which the shard owner refused it.
  Result<void> Submit(const JobRecord& job, Duration timeout);
  Result<void> Cancel(const TeamId& team, const JobId& job, Duration timeout);

  /// Waits for the store operations and agent calls in progress and joins the
  /// threads. No other function may be called afterwards.
  void Stop();

 private:
  /// A `Submit` or `Cancel` that waits for its `Shard::Answer`.
  struct PendingCall {
    bool answered = false;
    Result<void> result;
  };

  /// Executes effects of the shard owner of the session `session`. Store
  /// operations run on `m_store_threads`; messages to agents go out in one call
  /// per host.
  void Execute(const std::vector<ShardOwner::ShardEffect>& effects,
               Incarnation session);
  /// Runs `action` on the shard owner under the state's lock and executes the
  /// effects. Does nothing if `session` is no longer the current session: a
  /// result of an earlier session does not concern the present owner.
  void WithOwner(Incarnation session,
                 const std::function<void(ShardOwner&, Instant)>& action);
  void SendBatches(const std::map<HostId, wire::OwnerBatch>& batches);
  /// Handles the end of a call to an agent: passes the messages in the reply to
  /// the shard owner and sends the resulting ones. Replaces the channel after a
  /// timeout, as its connection may be dead.
  void HandleAgentReplies(const HostId& host,
                          const std::string& address,
                          const wire::AgentBatch& replies,
                          bool ok,
                          bool timed_out);
  /// Runs `action` with a new call number and waits for the answer to it.
  Result<void> CallAndWait(
      const std::function<void(ShardOwner&, std::uint64_t, Instant)>& action,
      Duration timeout);

  EntryState& m_state;
  Store& m_store;
  const Clock& m_clock;
  ConfigurationFollower& m_follower;
  ChannelPool& m_agents;
  const EntryId m_self;
  asio::thread_pool m_store_threads;
  asio::thread_pool m_reply_threads;  ///< Handle the agents' replies.
  std::mutex m_pending_calls_mutex;
  std::condition_variable m_answered;
  std::map<std::uint64_t, PendingCall> m_pending_calls;
  std::uint64_t m_last_call = 0;
  std::mutex m_agent_call_mutex;
  std::condition_variable m_agent_call_ended;
  int m_open_agent_calls = 0;
};

}  // namespace zinniacart
