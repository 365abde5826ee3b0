#include "site/learned_archive.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "base/logging.h"
#include "site/store_keys.h"

namespace zinniacart {
namespace {

constexpr Duration kTimeout{900};

}  // namespace

void LearnedArchive::Load(std::weak_ptr<int> term,
                          std::function<void(const std::string&)> on_record) {
  // The first record of the term must not replace the last one before that was
  // read.
  m_saved_at = m_clock.Now();
  m_store.Get(
      m_key, kTimeout,
      [subject = m_subject, term = std::move(term),
       on_record = std::move(on_record)](const Result<StoreItem>& item) {
        if (term.expired()) {
          return;
        }
        if (!item) {
          if (item.error().code != ErrorCode::kNotFound) {
            LogWarning("learned " + subject + " cannot be read",
                       {{"detail", item.error().detail}});
          }
          return;
        }
        on_record(item->value);
      });
}

void LearnedArchive::SaveIfDue(std::uint64_t epoch_revision,
                               const std::function<std::string()>& encode) {
  if (m_clock.Now() - m_saved_at < kSaveInterval) {
    return;
  }
  m_saved_at = m_clock.Now();
  StoreTransaction transaction;
  transaction.conditions.push_back(
      StoreCondition{store_keys::kEpoch, epoch_revision});
  transaction.writes.push_back(StoreWrite{m_key, encode(), {}});
  m_store.Commit(transaction, kTimeout,
                 [subject = m_subject](const Result<StoreCommit>& commit) {
                   if (!commit) {
                     LogInfo("learned " + subject + " not saved",
                             {{"detail", commit.error().detail}});
                   }
                 });
}

}  // namespace zinniacart
