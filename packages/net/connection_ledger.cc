#include "net/connection_ledger.h"

#include <optional>

namespace zinniacart::net {
namespace {

/// Requests and responses of ordinary clients pass within this time.
constexpr Duration kUsualTransfer{1000};

bool IsTransfer(const ConnectionRecord& record) {
  return record.phase == ConnectionPhase::kReading ||
         record.phase == ConnectionPhase::kWriting;
}

/// @returns the order in which a kind of connection is closed, the lowest
/// first; nothing for one that stays open.
std::optional<int> SlotOrder(const ConnectionRecord& record, Instant now) {
  if (IsTransfer(record) && now - record.since >= kUsualTransfer) {
    return 0;
  }
  if (record.phase == ConnectionPhase::kIdle) {
    return 1;
  }
  if (record.phase == ConnectionPhase::kReading) {
    return 2;
  }
  return std::nullopt;
}

}  // namespace

void ConnectionLedger::Add(ConnectionRecord& record, Instant now) {
  record.since = now;
  m_records.insert(&record);
  m_held_bytes += record.held_bytes;
}

void ConnectionLedger::Remove(ConnectionRecord& record) {
  if (m_records.erase(&record) == 0) {
    return;
  }
  m_held_bytes -= record.held_bytes;
  m_lingering -= record.phase == ConnectionPhase::kLingering ? 1 : 0;
}

void ConnectionLedger::SetPhase(ConnectionRecord& record,
                                ConnectionPhase phase,
                                Instant now) {
  m_lingering -= record.phase == ConnectionPhase::kLingering ? 1 : 0;
  m_lingering += phase == ConnectionPhase::kLingering ? 1 : 0;
  record.phase = phase;
  record.since = now;
}

void ConnectionLedger::SetHeldBytes(ConnectionRecord& record,
                                    std::size_t bytes) {
  m_held_bytes += bytes - record.held_bytes;
  record.held_bytes = bytes;
}

ConnectionRecord* ConnectionLedger::ChooseForSlot(Instant now) const {
  ConnectionRecord* chosen = nullptr;
  std::optional<int> chosen_order;
  for (ConnectionRecord* record : m_records) {
    const auto order = SlotOrder(*record, now);
    if (!order) {
      continue;
    }
    if (!chosen || *order < *chosen_order ||
        (*order == *chosen_order && record->since < chosen->since)) {
      chosen = record;
      chosen_order = order;
    }
  }
  return chosen;
}

ConnectionRecord* ConnectionLedger::ChooseForBytes(Instant now) const {
  ConnectionRecord* chosen = nullptr;
  bool chosen_is_slow = false;
  for (ConnectionRecord* record : m_records) {
    const bool slow =
        IsTransfer(*record) && now - record->since >= kUsualTransfer;
    if (!slow && record->phase != ConnectionPhase::kReading) {
      continue;
    }
    if (!chosen || (slow && !chosen_is_slow) ||
        (slow == chosen_is_slow && record->held_bytes > chosen->held_bytes)) {
      chosen = record;
      chosen_is_slow = slow;
    }
  }
  return chosen;
}

ConnectionRecord* ConnectionLedger::OldestLingering() const {
  ConnectionRecord* oldest = nullptr;
  for (ConnectionRecord* record : m_records) {
    if (record->phase == ConnectionPhase::kLingering &&
        (!oldest || record->since < oldest->since)) {
      oldest = record;
    }
  }
  return oldest;
}

}  // namespace zinniacart::net
