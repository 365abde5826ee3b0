#include "site/interference_archive.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "base/logging.h"
#include "site/store_keys.h"

namespace zinniacart {
namespace {

constexpr Duration kTimeout{900};

}  // namespace

void InterferenceArchive::Load(
    std::weak_ptr<int> term,
    std::function<void(const std::string&)> on_record) {
  // The first record of the term must not replace the last one before that was
  // read.
  m_saved_at = m_clock.Now();
  m_store.Get(store_keys::kInterference, kTimeout,
              [term = std::move(term), on_record = std::move(on_record)](
                  const Result<StoreItem>& item) {
                if (term.expired()) {
                  return;
                }
                if (!item) {
                  if (item.error().code != ErrorCode::kNotFound) {
                    LogWarning("learned interference cannot be read",
                               {{"detail", item.error().detail}});
                  }
                  return;
                }
                on_record(item->value);
              });
}

void InterferenceArchive::SaveIfDue(
    std::uint64_t epoch_revision,
    const std::function<std::string()>& encode) {
  if (m_clock.Now() - m_saved_at < kSaveInterval) {
    return;
  }
  m_saved_at = m_clock.Now();
  StoreTransaction transaction;
  transaction.conditions.push_back(
      StoreCondition{store_keys::kEpoch, epoch_revision});
  transaction.writes.push_back(
      StoreWrite{store_keys::kInterference, encode(), {}});
  m_store.Commit(transaction, kTimeout, [](const Result<StoreCommit>& commit) {
    if (!commit) {
      LogInfo("learned interference not saved",
              {{"detail", commit.error().detail}});
    }
  });
}

}  // namespace zinniacart
