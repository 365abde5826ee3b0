#pragma once

#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "base/clock.h"
#include "site/store_port.h"

namespace zinniacart {

/// Keeps what the owner has learned about one subject in the store, so that its
/// successor need not measure it again: how each pair of images interferes, how
/// long the tasks of each queue run. Losing a record
/// costs some seconds of learning, so nothing waits for it and nothing is
/// repeated: the next record follows after `kSaveInterval`.
class LearnedArchive final {
 public:
  /// A record takes 20 KB, and 50 KB with the longest names of images, so that
  /// it costs 5 to 13 KB/s at most; that of run times 5 KB/s.
  static constexpr Duration kSaveInterval{4000};

  /// @param key     of the record in the store.
  /// @param subject what is learned, for the log.
  LearnedArchive(StorePort& store,
                 const Clock& clock,
                 std::string key,
                 std::string subject)
      : m_store(store),
        m_clock(clock),
        m_key(std::move(key)),
        m_subject(std::move(subject)) {}

  /// Reads the last record, once in a term.
  /// @param term     the result is dropped if the term has ended meanwhile.
  /// @param on_record receives the record; not called if there is none or the
  ///                  store cannot be read.
  void Load(std::weak_ptr<int> term,
            std::function<void(const std::string&)> on_record);

  /// Writes a record if the last one was written long enough ago.
  /// @param epoch_revision of the owner's epoch; a deposed owner's record is
  ///                       rejected by the store.
  /// @param encode         called only if a record is written.
  void SaveIfDue(std::uint64_t epoch_revision,
                 const std::function<std::string()>& encode);

 private:
  StorePort& m_store;
  const Clock& m_clock;
  const std::string m_key;
  const std::string m_subject;
  Instant m_saved_at;
};

}  // namespace zinniacart
