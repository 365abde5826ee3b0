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

/// Runs the shard owner: carries out its effects at the store and the
/// agents, and gives it the results. Thread-safe.
class PlacementDriver final {
 public:
  PlacementDriver(EntryState& state,
                  Store& store,
                  const Clock& clock,
                  ConfigurationFollower& follower,
                  ChannelPool& agents,
                  EntryId self);

  /// Lets time pass. Call every few ten milliseconds.
  void Tick();

  /// Takes messages that an agent sent, and returns the ones for it that
  /// they brought about.
  std::vector<wire::OwnerMessage> Handle(
      const HostId& host,
      const google::protobuf::RepeatedPtrField<wire::AgentMessage>& messages);

  /// Submits a job or cancels one and waits until that is durable.
  Result<void> Submit(const JobRecord& job, Duration patience);
  Result<void> Cancel(const TeamId& team, const JobId& job, Duration patience);

  /// Stops carrying out effects and joins.
  void Stop();

 private:
  struct PendingAnswer {
    bool answered = false;
    Result<void> result;
  };

  void CarryOut(const std::vector<ShardOwner::ShardEffect>& effects,
                Incarnation session);
  void WithOwner(Incarnation session,
                 const std::function<void(ShardOwner&, Instant)>& action);
  void SendBatches(const std::map<HostId, wire::OwnerBatch>& batches);
  void TakeAnswers(const HostId& host,
                   const std::string& address,
                   const wire::AgentBatch& answers,
                   bool ok,
                   bool timed_out);
  Result<void> Call(
      const std::function<void(ShardOwner&, std::uint64_t, Instant)>& action,
      Duration patience);

  EntryState& m_state;
  Store& m_store;
  const Clock& m_clock;
  ConfigurationFollower& m_follower;
  ChannelPool& m_agents;
  const EntryId m_self;
  asio::thread_pool m_store_threads;
  asio::thread_pool m_answer_threads;
  std::mutex m_answer_mutex;
  std::condition_variable m_answered;
  std::map<std::uint64_t, PendingAnswer> m_answers;
  std::uint64_t m_last_call = 0;
  std::mutex m_call_mutex;
  std::condition_variable m_calls_ended;
  int m_open_calls = 0;
};

}  // namespace zinniacart
