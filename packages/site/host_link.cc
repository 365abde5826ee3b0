#include "site/host_link.h"

#include <algorithm>
#include <utility>

#include "base/logging.h"
#include "scheduling/host_messages_codec.h"
#include "site/peer_paths.h"

#include <nlohmann/json.hpp>

namespace zinniacart {
namespace {

/// How long an agent may hold a poll without anything to report. Also the
/// longest time between two grants of the lease.
constexpr Duration kPollWait{500};
/// How much longer than the requested wait a response may take.
constexpr Duration kResponseMargin{700};
constexpr Duration kMinBackoff{100};
constexpr Duration kMaxBackoff{800};
constexpr int kOk = 200;
constexpr int kConflict = 409;

}  // namespace

HostLink::HostLink(boost::asio::io_context& loop,
                   PeerClients& peers,
                   HostId host,
                   std::string address,
                   Events events)
    : m_peers(peers),
      m_host(std::move(host)),
      m_address(std::move(address)),
      m_events(std::move(events)),
      m_retry(loop) {}

void HostLink::Start() {
  Send(true);
}

void HostLink::SendOrders() {
  if (!m_orders_in_flight) {
    m_orders_in_flight = true;
    Send(false);
  }
}

void HostLink::Send(bool poll) {
  HostOrders orders = m_events.take_orders(m_host);
  orders.wait = poll ? kPollWait : Duration(0);
  m_peers.Post(m_address, peer_paths::kHostSync, Encode(orders),
               orders.wait + kResponseMargin,
               [this, poll, alive = std::weak_ptr<int>(m_alive)](
                   Result<net::Response> response) {
                 if (!alive.expired()) {
                   OnResponse(poll, response);
                 }
               });
}

void HostLink::OnResponse(bool poll, const Result<net::Response>& response) {
  if (!poll) {
    m_orders_in_flight = false;
  }
  const std::weak_ptr<int> alive = m_alive;
  if (response && response->status == kOk) {
    const auto report = DecodeHostReport(response->body);
    if (report) {
      m_backoff = Duration(0);
      m_events.on_report(m_host, *report);
      if (poll && !alive.expired()) {
        Send(true);
      }
      return;
    }
    LogError("host report cannot be decoded",
             {{"host", m_host.value()}, {"detail", report.error().detail}});
  }
  if (response && response->status == kConflict) {
    return m_events.on_newer_owner(m_host);
  }
  m_events.on_orders_lost(m_host);
  if (poll && !alive.expired()) {
    m_backoff = std::clamp(m_backoff * 2, kMinBackoff, kMaxBackoff);
    m_retry.After(m_backoff, [this] { Send(true); });
  }
}

}  // namespace zinniacart
