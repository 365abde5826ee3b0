#include "site/peer_clients.h"

#include <utility>

namespace zinniacart {

void PeerClients::Post(const std::string& address,
                       const std::string& path,
                       std::string body,
                       Duration timeout,
                       net::ResponseCallback done) {
  auto& client = m_clients[address];
  if (!client) {
    const auto parsed = net::Address::Parse(address, "peer address");
    if (!parsed) {
      m_clients.erase(address);
      return done(tl::unexpected(parsed.error()));
    }
    client = net::HttpClient::Create(m_loop, *parsed, m_budget);
  }
  client->Call(net::Request{"POST", path, {}, std::move(body), {}}, timeout,
               std::move(done));
}

}  // namespace zinniacart
