#include "site/registration.h"

#include <utility>

namespace zinniacart {
namespace {

/// The store normally answers within milliseconds; the rest is for a slow one.
constexpr Duration kTimeout{800};
constexpr Duration kRetryDelay{300};

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
      m_retry.After(kRetryDelay, [this] { Start(); });
    }
  });
}

}  // namespace zinniacart
