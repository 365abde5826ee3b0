#include "configuration/configuration.h"

#include <CppUTest/TestHarness.h>

#include <deque>
#include <map>
#include <nlohmann/json.hpp>

#include "configuration/configuration_writer.h"

using namespace zinniacart;
using nlohmann::json;

namespace {

ChangeRequest DrainDomain(const std::string& id, const std::string& author) {
  return ChangeRequest{id,
                       author,
                       0,
                       "domain/marka",
                       DomainResource{DomainId("marka"), false},
                       std::nullopt};
}

/// A store that holds one value and injects faults: each write takes the next
/// entry of `faults`.
class ScriptedStore final : public Store {
 public:
  enum class Fault {
    kNone,
    kUnavailable,
    kResponseLost,
    kRequestLost,
    kConcurrentWrite
  };

  std::deque<Fault> faults;
  std::string bytes;
  std::uint64_t version = 0;

  Result<StoreValue> Get(const StoreKey& key) override {
    if (version == 0) {
      return Fail(ErrorCode::kNotFound, key.value());
    }
    return StoreValue{key, bytes, StoreVersion(version)};
  }
  Result<StoreValue> GetIfChanged(const StoreKey& key, StoreVersion) override {
    return Get(key);
  }
  Result<StoreValue> Watch(const StoreKey& key,
                           StoreVersion,
                           Duration) override {
    return Get(key);
  }
  Result<std::vector<StoreValue>> List(const std::string&) override {
    return std::vector<StoreValue>{};
  }
  Result<StoreVersion> CompareAndSwap(const StoreKey&,
                                      const std::string& value,
                                      StoreVersion expected,
                                      const LeaseId&) override {
    Fault fault = Fault::kNone;
    if (!faults.empty()) {
      fault = faults.front();
      faults.pop_front();
    }
    if (fault == Fault::kUnavailable) {
      return Fail(ErrorCode::kStoreUnavailable, "down");
    }
    if (fault == Fault::kRequestLost) {
      return Fail(ErrorCode::kOutcomeUnknown, "lost");
    }
    if (fault == Fault::kConcurrentWrite) {
      WriteConcurrently();
    }
    if (expected.value() != version) {
      return Fail(ErrorCode::kPreconditionFailed, "version changed");
    }
    bytes = value;
    ++version;
    if (fault == Fault::kResponseLost) {
      return Fail(ErrorCode::kOutcomeUnknown, "lost");
    }
    return StoreVersion(version);
  }
  Result<void> Delete(const StoreKey&, StoreVersion) override { return {}; }
  Result<LeaseId> OpenLease(Duration) override { return LeaseId("lease"); }
  Result<void> RenewLease(const LeaseId&) override { return {}; }

 private:
  /// Writes a change between the read and the write of the code under test.
  void WriteConcurrently() {
    Configuration configuration;
    if (version > 0) {
      configuration = *Configuration::Parse(bytes);
    }
    configuration.Append(
        DrainDomain("rival-" + std::to_string(version), "rival"));
    bytes = configuration.Serialize();
    ++version;
  }
};

}  // namespace

TEST_GROUP(Resource){void CheckField(const char* text, const char* field){
    const auto parsed = ParseResource(json::parse(text));
CHECK(!parsed.has_value());
CHECK(parsed.error().code == ErrorCode::kInvalidArgument);
STRCMP_EQUAL(field, parsed.error().field.c_str());
}
}
;

TEST(Resource, ErrorNamesInvalidField) {
  CheckField("[]", "");
  CheckField(R"({"name":"x"})", "kind");
  CheckField(R"({"kind":"planet","name":"x"})", "kind");
  CheckField(R"({"kind":"domain","name":"Marka"})", "name");
  CheckField(R"({"kind":"domain","name":"a","available":"no"})", "available");
  CheckField(R"({"kind":"domain","name":"a","colour":1})", "colour");
  CheckField(R"({"kind":"team","name":"a","quota":{"millicores":-1}})",
             "quota.millicores");
  CheckField(R"({"kind":"team","name":"a","quota":{"cores":1}})",
             "quota.cores");
  CheckField(R"({"kind":"service","name":"a","team":"b","slots":0})", "slots");
}

TEST(Resource, RoundTripsThroughJson) {
  const auto parsed = ParseResource(json::parse(
      R"({"kind":"service","name":"a","team":"b","replicas":3,
          "demand":{"millicores":500},"latency_target_ms":40})"));
  CHECK(parsed.has_value());
  const auto again = ParseResource(ToJson(*parsed));
  CHECK(*again == *parsed);
}

TEST_GROUP(Configuration) {
  Configuration configuration;
};

TEST(Configuration, RepeatedChangeIdAppliesOnce) {
  const auto first = configuration.Append(DrainDomain("id-1", "amal"));
  const auto again = configuration.Append(DrainDomain("id-1", "amal"));
  CHECK(*first == *again);
  CHECK(configuration.serial() == ConfigSerial(1));
}

TEST(Configuration, ConflictNamesAuthorOfLastChange) {
  configuration.Append(DrainDomain("id-1", "amal"));
  ChangeRequest outdated = DrainDomain("id-2", "badr");
  outdated.expected = ConfigSerial(0);
  const auto refused = configuration.Append(outdated);
  CHECK(refused.error().code == ErrorCode::kConflict);
  STRCMP_CONTAINS("amal", refused.error().detail.c_str());
}

TEST(Configuration, ChangesAfterReturnsNothingOutsideKeptChanges) {
  const std::size_t count = Configuration::kKeptChanges + 10;
  for (std::size_t number = 0; number < count; ++number) {
    configuration.Append(DrainDomain("id-" + std::to_string(number), "amal"));
  }
  CHECK_EQUAL(3u, configuration.ChangesAfter(ConfigSerial(count - 3))->size());
  CHECK(!configuration.ChangesAfter(ConfigSerial(5)).has_value());
  CHECK(!configuration.ChangesAfter(ConfigSerial(count + 1)).has_value());
}

TEST(Configuration, RoundTripsThroughSerialize) {
  configuration.Append(DrainDomain("id-1", "amal"));
  const auto read = Configuration::Parse(configuration.Serialize());
  CHECK(read->serial() == configuration.serial());
  CHECK(!read->AllowsWork(DomainId("marka"), HostId("any")));
  CHECK(read->FindChange("id-1").has_value());
}

TEST_GROUP(ConfigurationWriter) {
  ScriptedStore store;
  int pauses = 0;
  ConfigurationWriter writer{store, [this](Duration) { ++pauses; }};
  using Fault = ScriptedStore::Fault;
};

TEST(ConfigurationWriter, LostResponseAppliesChangeExactlyOnce) {
  store.faults = {Fault::kResponseLost};
  const auto written = writer.Write(DrainDomain("id-1", "amal"));
  CHECK(written.has_value());
  CHECK(Configuration::Parse(store.bytes)->serial() == ConfigSerial(1));
}

TEST(ConfigurationWriter, LostRequestIsRetried) {
  store.faults = {Fault::kRequestLost, Fault::kRequestLost};
  CHECK(writer.Write(DrainDomain("id-1", "amal")).has_value());
  CHECK(Configuration::Parse(store.bytes)->serial() == ConfigSerial(1));
}

TEST(ConfigurationWriter, UnavailableStoreFailsWithoutEffect) {
  store.faults = {Fault::kUnavailable};
  const auto refused = writer.Write(DrainDomain("id-1", "amal"));
  CHECK(refused.error().code == ErrorCode::kStoreUnavailable);
  CHECK_EQUAL(0u, store.version);
}

TEST(ConfigurationWriter, OutageAfterLostRequestReportsOutcomeUnknown) {
  store.faults = {Fault::kResponseLost};
  for (int number = 0; number < 100; ++number) {
    store.faults.push_back(Fault::kUnavailable);
  }
  store.faults[0] = Fault::kRequestLost;
  const auto unknown = writer.Write(DrainDomain("id-1", "amal"));
  CHECK(unknown.error().code == ErrorCode::kOutcomeUnknown);
}

TEST(ConfigurationWriter, ConcurrentChangeFailsPreconditionWithConflict) {
  store.faults = {Fault::kConcurrentWrite};
  ChangeRequest conditional = DrainDomain("id-1", "amal");
  conditional.expected = ConfigSerial(0);
  const auto refused = writer.Write(conditional);
  CHECK(refused.error().code == ErrorCode::kConflict);
  STRCMP_CONTAINS("rival", refused.error().detail.c_str());
  CHECK(Configuration::Parse(store.bytes)->serial() == ConfigSerial(1));
}

TEST(ConfigurationWriter, ConcurrentChangesWithoutPreconditionBothApply) {
  store.faults = {Fault::kConcurrentWrite};
  CHECK(writer.Write(DrainDomain("id-1", "amal")).has_value());
  CHECK(Configuration::Parse(store.bytes)->serial() == ConfigSerial(2));
}
