#include "scheduling/ownership.h"

#include <CppUTest/TestHarness.h>

using namespace zinniacart;

TEST_GROUP(Ownership) {
  ManualClock clock;
  OwnershipTimes times;
  Ownership ownership{EntryId("a"), OwnershipTimes(), Duration(100), clock};

  void setup() override {
    clock.Advance(Duration(1000));
  }

  template <typename Step>
  bool NextIs() {
    return std::holds_alternative<Step>(ownership.Next());
  }

  void BecomeOwner() {
    CHECK(NextIs<ReadViewStep>());
    ownership.OnViewRead(OwnershipView{{}, 0, Epoch(4), 17});
    CHECK(NextIs<WaitStep>());
    clock.Advance(Duration(100));
    CHECK(NextIs<OpenLeaseStep>());
    ownership.OnLeaseOpened(LeaseId("9"));
    const auto step = ownership.Next();
    const auto* claim = std::get_if<ClaimStep>(&step);
    CHECK(claim != nullptr);
    LONGS_EQUAL(4, claim->view.last_epoch.value());
    ownership.OnClaimed(Epoch(5), 18);
  }
};

TEST(Ownership, ClaimsAVacantOwnershipWithTheNextEpoch) {
  BecomeOwner();
  CHECK(ownership.owner());
  LONGS_EQUAL(5, ownership.epoch().value());
}

TEST(Ownership, ClaimsNothingWhileAnotherEntryIsOwner) {
  CHECK(NextIs<ReadViewStep>());
  ownership.OnViewRead(
      OwnershipView{OwnerRecord{EntryId("b"), "", Epoch(4)}, 3, Epoch(4), 3});
  clock.Advance(Duration(10000));
  CHECK(NextIs<WaitStep>());
  // The owner record disappears when its lease expires.
  ownership.OnView(OwnershipView{{}, 0, Epoch(4), 3});
  CHECK(NextIs<WaitStep>());
  clock.Advance(Duration(100));
  CHECK(NextIs<OpenLeaseStep>());
}

TEST(Ownership, RecordOfThePreviousIncarnationDoesNotBlockAClaim) {
  CHECK(NextIs<ReadViewStep>());
  ownership.OnViewRead(
      OwnershipView{OwnerRecord{EntryId("a"), "", Epoch(4)}, 3, Epoch(4), 3});
  CHECK(NextIs<WaitStep>());
  clock.Advance(Duration(100));
  CHECK(NextIs<OpenLeaseStep>());
}

TEST(Ownership, RenewsTheLeaseAfterTheRenewalInterval) {
  BecomeOwner();
  CHECK(NextIs<WaitStep>());
  clock.Advance(times.renewal);
  CHECK(NextIs<RenewStep>());
  // One renewal at a time.
  CHECK(NextIs<WaitStep>());
  ownership.OnRenewed();
  CHECK(NextIs<WaitStep>());
}

TEST(Ownership, ConfirmationCountsFromTheStartOfTheRenewal) {
  BecomeOwner();
  clock.Advance(times.renewal);
  CHECK(NextIs<RenewStep>());
  clock.Advance(Duration(400));
  ownership.OnRenewed();
  CHECK(ownership.ConfirmedWithin(Duration(401)));
  CHECK_FALSE(ownership.ConfirmedWithin(Duration(400)));
}

TEST(Ownership, ReadsTheViewAgainAfterLosingOwnership) {
  BecomeOwner();
  ownership.OnLost();
  CHECK_FALSE(ownership.owner());
  CHECK_FALSE(ownership.ConfirmedWithin(Duration(100000)));
  CHECK(NextIs<ReadViewStep>());
}

TEST(Ownership, ARetiredEntryDoesNothing) {
  ownership.Retire();
  clock.Advance(Duration(10000));
  CHECK(NextIs<WaitStep>());
}

TEST(Ownership, RetriesAFailedStepAfterADelay) {
  CHECK(NextIs<ReadViewStep>());
  ownership.OnFailed();
  CHECK(NextIs<WaitStep>());
  clock.Advance(times.retry);
  CHECK(NextIs<ReadViewStep>());
}

// Agents obey no lower epoch, whatever another writer left in the store.
TEST(Ownership, ClaimsNoEpochBelowOneThatWasSeen) {
  BecomeOwner();
  ownership.OnLost();
  CHECK(NextIs<ReadViewStep>());
  ownership.OnViewRead(OwnershipView{{}, 0, Epoch(), 30});
  CHECK(NextIs<WaitStep>());
  clock.Advance(Duration(100));
  CHECK(NextIs<OpenLeaseStep>());
  ownership.OnLeaseOpened(LeaseId("10"));
  const auto step = ownership.Next();
  const auto* claim = std::get_if<ClaimStep>(&step);
  CHECK(claim != nullptr);
  LONGS_EQUAL(5, claim->view.last_epoch.value());
  LONGS_EQUAL(30, claim->view.epoch_revision);
}

TEST(Ownership, ClaimsNoEpochBelowThatOfTheOwnerRecord) {
  CHECK(NextIs<ReadViewStep>());
  ownership.OnViewRead(
      OwnershipView{OwnerRecord{EntryId("b"), "", Epoch(9)}, 3, Epoch(), 3});
  ownership.OnView(OwnershipView{{}, 0, Epoch(), 3});
  CHECK(NextIs<WaitStep>());
  clock.Advance(Duration(100));
  CHECK(NextIs<OpenLeaseStep>());
  ownership.OnLeaseOpened(LeaseId("9"));
  const auto step = ownership.Next();
  LONGS_EQUAL(9, std::get<ClaimStep>(step).view.last_epoch.value());
}
