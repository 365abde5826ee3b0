#pragma once

#include <cstddef>
#include <set>

#include "base/clock.h"

namespace zinniacart::net {

/// What a connection of a server is occupied with.
enum class ConnectionPhase {
  kIdle,       ///< No byte of the next request has been received.
  kReading,    ///< A request is incomplete.
  kHandling,   ///< A complete request waits for its response.
  kWriting,    ///< A response is being sent.
  kLingering,  ///< Refused; discards what the client still sends.
};

/// The state of one connection, which a `ConnectionLedger` counts. The
/// connection owns it.
struct ConnectionRecord {
  ConnectionPhase phase = ConnectionPhase::kIdle;
  Instant since;  ///< When the phase began.
  std::size_t held_bytes = 0;
};

/// Counts the connections of one listener and the bytes that they hold, and
/// decides which one to close when either runs out. A connection whose complete
/// request is being handled is never closed.
///
/// Replays the load of untrusted clients: many connections that each leave
/// something unfinished.
class ConnectionLedger final {
 public:
  void Add(ConnectionRecord& record, Instant now);
  void Remove(ConnectionRecord& record);
  /// Notes that `record` enters `phase` at `now`.
  void SetPhase(ConnectionRecord& record, ConnectionPhase phase, Instant now);
  void SetHeldBytes(ConnectionRecord& record, std::size_t bytes);

  /// @returns the connection to close so that another one can be served:
  /// requests that have been incomplete and responses that have been unread for
  /// longer than usual, then idle connections, then any incomplete request; of
  /// each kind the oldest. Null if all of them are being handled.
  ConnectionRecord* ChooseForSlot(Instant now) const;
  /// @returns the connection to close so that others may hold more: of the
  /// requests that have been incomplete and the responses that have been unread
  /// for longer than usual the one that holds most, otherwise the incomplete
  /// request that holds most. Null if there is none.
  ConnectionRecord* ChooseForBytes(Instant now) const;
  /// @returns the refused connection that was refused first; null if none.
  ConnectionRecord* OldestLingering() const;

  const std::set<ConnectionRecord*>& records() const { return m_records; }
  /// @returns the number of connections that are not refused.
  std::size_t serving() const { return m_records.size() - m_lingering; }
  std::size_t held_bytes() const { return m_held_bytes; }

 private:
  std::set<ConnectionRecord*> m_records;
  std::size_t m_lingering = 0;
  std::size_t m_held_bytes = 0;
};

}  // namespace zinniacart::net
