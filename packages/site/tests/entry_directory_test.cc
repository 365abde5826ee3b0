#include "site/entry_directory.h"

#include <CppUTest/TestHarness.h>

#include "site/store_keys.h"

using namespace zinniacart;

namespace {

std::string Nest(std::size_t depth) {
  return std::string(depth, '[') + std::string(depth, ']');
}

}  // namespace

TEST_GROUP(EntryDirectory) {
  EntryDirectory directory;

  /// Reads a listing with a sound entry and owner, and one more item.
  void Read(const std::string& key, const std::string& value) {
    StoreSnapshot snapshot;
    snapshot.items = {
        StoreItem{store_keys::Entry(EntryId("a")),
                  EncodeEntryRecord(EntryRecord{"10.0.0.1:80", 0.5}), 3},
        StoreItem{store_keys::kEpoch, "7", 4},
        StoreItem{store_keys::kOwner,
                  EncodeOwnerRecord(
                      OwnerRecord{EntryId("a"), "10.0.0.1:80", Epoch(7)}),
                  4},
        StoreItem{key, value, 9}};
    directory.OnSnapshot(snapshot);
  }
};

TEST(EntryDirectory, OddEntryRecordHidesNoOtherEntry) {
  for (const std::string& value :
       {std::string(), std::string("x"), std::string("\xff"), std::string("{}"),
        std::string("[]"), Nest(100000),
        std::string(R"({"address":"10.0.0.2:99999","cores":1})"),
        std::string(R"({"address":"10.0.0.2:0","cores":1})"),
        std::string(R"({"address":"10.0.0.2","cores":1})"),
        std::string(R"({"address":"","cores":1})"),
        std::string(R"({"address":7,"cores":1})"),
        std::string(R"({"address":"10.0.0.2:80","cores":1e300})"),
        std::string(R"({"address":"10.0.0.2:80","cores":1e999})"),
        std::string(R"({"address":"10.0.0.2:80","cores":-1})"),
        std::string(R"({"address":"10.0.0.2:80","cores":"1"})"),
        R"({"address":"10.0.0.2:80","cores":)" + Nest(100000) + "}"}) {
    Read(store_keys::Entry(EntryId("odd")), value);
    LONGS_EQUAL(1, directory.entries().size());
    CHECK(directory.owner().has_value());
  }
}

// A claim is conditional on the revision of the record, so that it must be
// known for a record that names no owner too.
TEST(EntryDirectory, OddOwnerRecordCanBeReplaced) {
  for (const std::string& value :
       {std::string(), std::string("x"), std::string("{}"), Nest(100000),
        std::string(R"({"entry":"b","address":"10.0.0.2:99999","epoch":8})"),
        std::string(R"({"entry":7,"address":"10.0.0.2:80","epoch":8})"),
        std::string(R"({"entry":"b","address":"10.0.0.2:80","epoch":-1})"),
        std::string(R"({"entry":"b","address":"10.0.0.2:80","epoch":1e300})"),
        std::string(R"({"entry":"b","address":"10.0.0.2:80",)"
                    R"("epoch":18446744073709551615})")}) {
    Read(store_keys::kOwner, value);
    CHECK_FALSE_TEXT(directory.owner().has_value(), value.c_str());
    LONGS_EQUAL(9, directory.ownership().owner_revision);
    LONGS_EQUAL(7, directory.ownership().last_epoch.value());
  }
}

// The next epoch would wrap around to 0, which agents refuse.
TEST(EntryDirectory, OddEpochIsIgnored) {
  for (const std::string& value :
       {std::string(), std::string("x"), std::string("-5"), std::string("7 "),
        std::string("1e3"), std::string("18446744073709551614"),
        std::string("18446744073709551615"),
        std::string("18446744073709551616"), std::string(60000, '9'),
        Nest(100000)}) {
    Read(store_keys::kEpoch, value);
    LONGS_EQUAL(7, directory.ownership().last_epoch.value());
    LONGS_EQUAL(9, directory.ownership().epoch_revision);
  }
  Read(store_keys::kEpoch, "8");
  LONGS_EQUAL(8, directory.ownership().last_epoch.value());
}
