#include "site/registration.h"

#include <utility>

namespace zinniacart {
namespace {

/// A store that answers takes milliseconds; one that is slow gets some more.
constexpr Duration kTimeout{800};
constexpr Duration kRetry{300};

}  // namespace

Registration::Registration(boost::asio::io_context& loop,
                           StorePort& store,
                           std::string key,
                           std::string record)
    : m_store(store),
      m_key(std::move(key)),
      m_record(std::move(record)),
      m_retry(loop) {}

void Registration::Start() {
  StoreTransaction transaction;
  transaction.writes = {StoreWrite{m_key, m_record, {}}};
  m_store.Commit(transaction, kTimeout, [this](Result<StoreCommit> commit) {
    if (!commit) {
      m_retry.After(kRetry, [this] { Start(); });
    }
  });
}

}  // namespace zinniacart
