#include "site/interference_archive.h"

#include <cstdlib>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/logging.h"
#include "site/store_keys.h"

namespace zinniacart {
namespace {

/// Separates the wall clock of the writing, in milliseconds, from the record.
/// Clocks of entries may differ by seconds, which changes the deviations of the
/// estimates only little.
constexpr char kSeparator = ' ';

}  // namespace

void InterferenceArchive::Load(
    std::weak_ptr<int> term,
    std::function<void(const std::string&, Duration)> on_record) {
  // The first record of the term must not replace the last one before that was
  // read.
  m_saved_at = m_clock.Now();
  m_store.Get(
      store_keys::kInterference, kTimeout,
      [term = std::move(term),
       on_record = std::move(on_record)](const Result<StoreItem>& item) {
        if (term.expired()) {
          return;
        }
        if (!item) {
          if (item.error().code != ErrorCode::kNotFound) {
            LogWarning("learned interference cannot be read; learning anew",
                       {{"detail", item.error().detail}});
          }
          return;
        }
        const std::size_t end = item->value.find(kSeparator);
        if (end == std::string::npos) {
          return LogWarning("learned interference has no time; learning anew",
                            {{"bytes", item->value.size()}});
        }
        const std::int64_t written_at_ms =
            std::strtoll(item->value.c_str(), nullptr, 10);
        on_record(item->value.substr(end + 1),
                  Duration(WallClockMilliseconds() - written_at_ms));
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
  transaction.writes.push_back(StoreWrite{
      store_keys::kInterference,
      std::to_string(WallClockMilliseconds()) + kSeparator + encode(),
      {}});
  m_store.Commit(transaction, kTimeout, [](const Result<StoreCommit>& commit) {
    if (!commit) {
      LogInfo("learned interference not saved; the next record follows",
              {{"detail", commit.error().detail}});
    }
  });
}

}  // namespace zinniacart
