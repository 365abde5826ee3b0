#include "entry/peer_exchange.h"

#include <grpcpp/grpcpp.h>

#include <chrono>

#include "placement/wire_conversion.h"
#include "zinniacart.grpc.pb.h"

namespace zinniacart {
namespace {

constexpr std::chrono::milliseconds kFetchTimeout{300};

}  // namespace

PeerExchange::PeerExchange(EntryState& state,
                           const Clock& clock,
                           ChannelPool& entries,
                           EntryId self)
    : m_state(state),
      m_clock(clock),
      m_entries(entries),
      m_self(std::move(self)) {}

void PeerExchange::Run() {
  std::vector<EntryInfo> peers;
  {
    const std::lock_guard lock(m_state.mutex);
    peers = m_state.entries;
  }
  for (const EntryInfo& peer : peers) {
    if (peer.entry != m_self) {
      Fetch(peer);
    }
  }
}

void PeerExchange::Fetch(const EntryInfo& peer) {
  Position& position = m_positions[peer.entry];
  wire::ExchangeRequest request;
  request.set_entry(m_self.value());
  request.set_instance(position.instance);
  request.set_since(position.version);
  const auto stub = wire::Entry::NewStub(m_entries.Get(peer.address));
  grpc::ClientContext context;
  context.set_deadline(std::chrono::system_clock::now() + kFetchTimeout);
  wire::ExchangeReply reply;
  const grpc::Status status = stub->Exchange(&context, request, &reply);
  if (!status.ok()) {
    if (status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED) {
      m_entries.Replace(peer.address);
    }
    return;
  }
  position = Position{reply.instance(), reply.version()};
  const std::lock_guard lock(m_state.mutex);
  const Instant now = m_clock.Now();
  for (const auto& host : reply.hosts()) {
    m_state.hosts.ReceiveFromPeer(FromWire(host), now);
  }
  m_state.entry_serials[peer.entry] = ConfigSerial(reply.config_serial());
}

}  // namespace zinniacart
