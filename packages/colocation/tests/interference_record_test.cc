#include "colocation/interference_record.h"

#include <CppUTest/TestHarness.h>

using namespace zinniacart;

TEST_GROUP(InterferenceRecord) {
  InterferenceModel model;
  InterferenceModel successor;
  static constexpr Instant kNow{500000};
  static constexpr std::int64_t kWallMs = 1700000000000;

  void setup() override {
    model.Restore({"serving", "harmful", {0.4, 0.05}}, kNow);
    model.Restore({"serving", "quiet", {0.01, 0.03}}, kNow);
  }

  double LossPerCore(const InterferenceModel& of, const std::string& image) {
    return of.Estimate("serving", image, kNow).loss_per_core;
  }
};

TEST(InterferenceRecord, SuccessorKnowsWhatWasLearned) {
  CHECK(RestoreInterference(EncodeInterference(model, kNow, kWallMs), successor,
                            kNow, kWallMs)
            .has_value());
  DOUBLES_EQUAL(0.4, LossPerCore(successor, "harmful"), 1e-9);
  DOUBLES_EQUAL(0.01, LossPerCore(successor, "quiet"), 1e-9);
}

TEST(InterferenceRecord, OldRecordIsLessCertain) {
  CHECK(RestoreInterference(EncodeInterference(model, kNow, kWallMs), successor,
                            kNow, kWallMs + 60000)
            .has_value());
  CHECK(successor.Estimate("serving", "quiet", kNow).deviation >
        2 * model.Estimate("serving", "quiet", kNow).deviation);
}

// A clock of an entry that is behind must not make estimates certain.
TEST(InterferenceRecord, RecordFromTheFutureIsTakenAsNew) {
  CHECK(RestoreInterference(EncodeInterference(model, kNow, kWallMs), successor,
                            kNow, kWallMs - 60000)
            .has_value());
  DOUBLES_EQUAL(0.03, successor.Estimate("serving", "quiet", kNow).deviation,
                1e-9);
}

TEST(InterferenceRecord, TornRecordChangesNothing) {
  const std::string whole = EncodeInterference(model, kNow, kWallMs);
  for (std::size_t size = 0; size < whole.size(); ++size) {
    const auto restored =
        RestoreInterference(whole.substr(0, size), successor, kNow, kWallMs);
    CHECK_FALSE(restored.has_value());
    CHECK(restored.error().code == ErrorCode::kInvalidArgument);
  }
  for (const char* bytes :
       {R"({"version":2,"written_at_ms":1,"pairs":[]})",
        R"({"version":1,"written_at_ms":1,"pairs":[["a"]]})",
        R"({"version":1,"written_at_ms":1,"pairs":[["a","b","c",0.1]]})",
        "[]"}) {
    CHECK_FALSE(
        RestoreInterference(bytes, successor, kNow, kWallMs).has_value());
  }
  DOUBLES_EQUAL(InterferenceSettings().prior_loss_per_core,
                LossPerCore(successor, "harmful"), 1e-9);
}

TEST(InterferenceRecord, KeepsTheNewestPairsWithinItsSize) {
  for (int pair = 0; pair < 1000; ++pair) {
    model.Restore({"serving", "image-" + std::to_string(pair), {0.3, 0.1}},
                  Instant{1000 + pair});
  }
  const std::string record = EncodeInterference(model, kNow, kWallMs);
  CHECK(record.size() < 40000);
  CHECK(RestoreInterference(record, successor, kNow, kWallMs).has_value());
  LONGS_EQUAL(kMaxRecordedPairs, successor.Newest(10000, kNow).size());
  DOUBLES_EQUAL(0.4, LossPerCore(successor, "harmful"), 1e-9);
  DOUBLES_EQUAL(InterferenceSettings().prior_loss_per_core,
                LossPerCore(successor, "image-0"), 1e-9);
}

TEST(InterferenceRecord, LongNamesDoNotExceedItsSize) {
  for (int pair = 0; pair < 400; ++pair) {
    model.Restore(
        {"serving", std::string(4000, 'x') + std::to_string(pair), {0.3, 0.1}},
        Instant{1000 + pair});
  }
  CHECK(EncodeInterference(model, kNow, kWallMs).size() <
        2 * kMaxRecordedNameBytes);
}

// A record may hold any numbers; none may make a pair immune to measurements.
TEST(InterferenceRecord, ValuesOutOfRangeAreClamped) {
  CHECK(
      RestoreInterference(
          R"({"version":1,"written_at_ms":1,"pairs":[["serving","a",-3.0,99.0]]})",
          successor, kNow, kWallMs)
          .has_value());
  const InterferenceSettings settings;
  DOUBLES_EQUAL(0, LossPerCore(successor, "a"), 1e-9);
  DOUBLES_EQUAL(settings.max_deviation,
                successor.Estimate("serving", "a", kNow).deviation, 1e-9);
}

TEST(InterferenceRecord, RecordOfAnotherWriterChangesNothing) {
  const std::string nested =
      std::string(100000, '[') + std::string(100000, ']');
  for (const std::string& bytes :
       {std::string(), std::string("\xff"), nested,
        std::string(R"({"version":1e300,"written_at_ms":1,"pairs":[]})"),
        std::string(R"({"version":1,"written_at_ms":1e300,"pairs":[]})"),
        std::string(R"({"version":1,"written_at_ms":-1,"pairs":[]})"),
        std::string(R"({"version":1,"written_at_ms":18446744073709551616,)"
                    R"("pairs":[]})"),
        std::string(R"({"version":1,"written_at_ms":1,)"
                    R"("pairs":[["serving","harmful",1e999,1]]})"),
        R"({"version":1,"written_at_ms":1,"pairs":[["serving",)" + nested +
            ",1,1]]}"}) {
    const auto restored = RestoreInterference(bytes, successor, kNow, kWallMs);
    CHECK_FALSE(restored.has_value());
    CHECK(restored.error().code == ErrorCode::kInvalidArgument);
    CHECK(successor.empty());
  }
}
