#include "net/client_budget.h"

#include "net/http_client.h"

namespace zinniacart::net {

bool ClientBudget::TakeConnection() {
  if (m_connections >= m_limits.most_connections) {
    for (HttpClient* client : m_clients) {
      client->DropIdleConnections();
    }
  }
  if (m_connections >= m_limits.most_connections) {
    return false;
  }
  ++m_connections;
  return true;
}

bool ClientBudget::ChangeHeldBytes(std::size_t before, std::size_t after) {
  m_held_bytes += after - before;
  return after <= before || m_held_bytes <= m_limits.most_held_bytes;
}

}  // namespace zinniacart::net
