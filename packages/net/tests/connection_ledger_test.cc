#include "net/connection_ledger.h"

#include <CppUTest/TestHarness.h>

#include <list>

using namespace zinniacart;
using namespace zinniacart::net;

namespace {

constexpr Instant kNow{100000};

}  // namespace

TEST_GROUP(ConnectionLedger) {
  ConnectionLedger ledger;
  std::list<ConnectionRecord> records;

  ConnectionRecord* Add(ConnectionPhase phase, Duration age,
                        std::size_t bytes = 0) {
    ConnectionRecord& record = records.emplace_back();
    ledger.Add(record, kNow - age);
    ledger.SetPhase(record, phase, kNow - age);
    ledger.SetHeldBytes(record, bytes);
    return &record;
  }
};

/// Guards against closing a connection whose request may already have run.
TEST(ConnectionLedger, ConnectionsThatAreHandledStay) {
  Add(ConnectionPhase::kHandling, Duration(90000), 1U << 20U);
  Add(ConnectionPhase::kWriting, Duration(10), 1U << 20U);
  POINTERS_EQUAL(nullptr, ledger.ChooseForSlot(kNow));
  POINTERS_EQUAL(nullptr, ledger.ChooseForBytes(kNow));
}

/// Guards against idle or slow clients that keep ordinary ones out.
TEST(ConnectionLedger, TheSlowestIsClosedForAnotherConnection) {
  ConnectionRecord* fresh = Add(ConnectionPhase::kReading, Duration(5));
  POINTERS_EQUAL(fresh, ledger.ChooseForSlot(kNow));
  Add(ConnectionPhase::kIdle, Duration(1));
  ConnectionRecord* idle = Add(ConnectionPhase::kIdle, Duration(50000));
  POINTERS_EQUAL(idle, ledger.ChooseForSlot(kNow));
  ConnectionRecord* unread = Add(ConnectionPhase::kWriting, Duration(2000));
  POINTERS_EQUAL(unread, ledger.ChooseForSlot(kNow));
  ConnectionRecord* slow = Add(ConnectionPhase::kReading, Duration(3000));
  POINTERS_EQUAL(slow, ledger.ChooseForSlot(kNow));
}

TEST(ConnectionLedger, TheLargestIsClosedForMemory) {
  Add(ConnectionPhase::kReading, Duration(1), 20);
  ConnectionRecord* largest = Add(ConnectionPhase::kReading, Duration(1), 30);
  Add(ConnectionPhase::kHandling, Duration(9000), 90);
  POINTERS_EQUAL(largest, ledger.ChooseForBytes(kNow));
  // Otherwise slow clients of a medium size would keep larger requests out.
  Add(ConnectionPhase::kReading, Duration(9000), 10);
  ConnectionRecord* slow = Add(ConnectionPhase::kWriting, Duration(5000), 15);
  POINTERS_EQUAL(slow, ledger.ChooseForBytes(kNow));
}

TEST(ConnectionLedger, CountsFollowPhasesAndRemovals) {
  ConnectionRecord* refused = Add(ConnectionPhase::kReading, Duration(1), 30);
  ConnectionRecord* other = Add(ConnectionPhase::kIdle, Duration(1), 12);
  ledger.SetPhase(*refused, ConnectionPhase::kLingering, kNow);
  POINTERS_EQUAL(refused, ledger.OldestLingering());
  LONGS_EQUAL(1, ledger.serving());
  LONGS_EQUAL(42, ledger.held_bytes());
  ledger.Remove(*refused);
  ledger.Remove(*refused);
  POINTERS_EQUAL(nullptr, ledger.OldestLingering());
  ledger.SetHeldBytes(*other, 5);
  LONGS_EQUAL(1, ledger.serving());
  LONGS_EQUAL(5, ledger.held_bytes());
}
