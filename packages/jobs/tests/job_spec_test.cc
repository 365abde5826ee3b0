#include "jobs/job_spec.h"

#include <CppUTest/TestHarness.h>

#include "jobs/job_record.h"
#include "jobs/job_state.h"
#include "jobs/queue.h"
#include "jobs/task_key.h"

using namespace zinniacart;

namespace {

StepSpec MakeStep(std::uint32_t count,
                  std::int64_t estimate_ms,
                  std::vector<std::uint32_t> after = {}) {
  StepSpec step;
  step.count = count;
  step.demand = Resources{500, 256, 0};
  step.estimate = Duration(estimate_ms);
  step.after = std::move(after);
  return step;
}

}  // namespace

TEST_GROUP(JobSpec){};

TEST(JobSpec, TaskKeyTextRoundTrips) {
  const TaskKey key{JobId("5c0e7a21d94b36f8"), 3, 1, 17};
  STRCMP_EQUAL("5c0e7a21d94b36f8.3.1.17", key.ToString().c_str());
  CHECK(TaskKey::Parse(key.ToString()) == key);
}

TEST(JobSpec, MalformedTaskKeyTextIsRejected) {
  for (const char* text : {"", ".", "a", "a.1.2", ".1.2.3", "a.1.2.x", "a.1..3",
                           "a.1.2.3 ", "a.-1.2.3", "a.99999999999.2.3"}) {
    CHECK_FALSE(TaskKey::Parse(text).has_value());
  }
}

TEST(JobSpec, ValidationErrorNamesTheInvalidField) {
  JobSpec spec;
  STRCMP_EQUAL("steps", Validate(spec).error().field.c_str());
  spec.steps = {MakeStep(0, 1)};
  STRCMP_EQUAL("steps[0].count", Validate(spec).error().field.c_str());
  spec.steps = {MakeStep(1, 1), MakeStep(1, 1, {1})};
  STRCMP_EQUAL("steps[1].after", Validate(spec).error().field.c_str());
  spec.steps = {MakeStep(1, 1), MakeStep(1, 1, {0})};
  CHECK(Validate(spec).has_value());
  spec.steps[0].demand.memory_mb = -1;
  STRCMP_EQUAL("steps[0].demand", Validate(spec).error().field.c_str());
  spec.payload = std::string(4001, 'x');
  STRCMP_EQUAL("payload", Validate(spec).error().field.c_str());
}

/// Guards against a short message that fills the owner's memory.
TEST(JobSpec, TasksOfAllStepsAndNamesAreLimited) {
  JobSpec spec;
  spec.steps = {MakeStep(10000, 1), MakeStep(10000, 1)};
  CHECK(Validate(spec).has_value());
  spec.steps.push_back(MakeStep(1, 1));
  STRCMP_EQUAL("steps", Validate(spec).error().field.c_str());
  STRCMP_EQUAL("20001 tasks in all steps, at most 20000",
               Validate(spec).error().detail.c_str());
  spec.steps.pop_back();
  spec.steps[1].after.assign(65, 0);
  STRCMP_EQUAL("steps[1].after", Validate(spec).error().field.c_str());
  spec.steps[0].image = std::string(257, 'i');
  STRCMP_EQUAL("steps[0].image", Validate(spec).error().field.c_str());
}

TEST(JobSpec, LongestChainFollowsDependencies) {
  JobSpec spec;
  spec.steps = {MakeStep(4, 100), MakeStep(2, 1000), MakeStep(1, 300, {0, 1}),
                MakeStep(1, 50)};
  LONGS_EQUAL(1300, LongestChainEstimate(spec).count());
  LONGS_EQUAL(400, ChainEstimate(spec, 0).count());
  LONGS_EQUAL(300, ChainEstimate(spec, 2).count());
}

TEST(JobSpec, JobRecordEncodingRoundTrips) {
  JobRecord record;
  record.id = JobId("5c0e7a21d94b36f8");
  record.queue = QueueId("nightly");
  record.policy.service = ServiceId("orders");
  record.policy.priority = 2;
  record.policy.max_attempts = 4;
  record.policy.stretch = 1.5;
  record.policy.objective = Duration(300);
  record.policy_version = 9007199254740993;
  record.accepted_at_ms = 1783667592535;
  record.spec.payload = "(text) \"quoted\"";
  record.spec.steps = {MakeStep(4, 100), MakeStep(20, 7000, {0})};
  StepSpec& step = record.spec.steps[1];
  step.checkpoints = step.gang = step.best_effort = true;
  step.preferred_rack = "r1-3";
  step.most_per_host = 2;
  step.latency_target = Duration(125);
  step.disruption_budget = 1;
  record.spec.schedule = Schedule{3, 1783667600000, Duration(4500)};
  const auto decoded = DecodeJobRecord(record.id, EncodeJobRecord(record));
  CHECK(decoded.has_value());
  STRCMP_EQUAL(EncodeJobRecord(record).c_str(),
               EncodeJobRecord(*decoded).c_str());
  STRCMP_EQUAL("r1-3", decoded->spec.steps[1].preferred_rack.c_str());
  LONGS_EQUAL(3, decoded->spec.occurrences());
  CHECK(decoded->policy_version == record.policy_version);
}

TEST(JobSpec, DecodingInvalidBytesReturnsInvalidArgument) {
  for (const char* bytes : {"", "{}", "[]", "{\"queue\":1}", "\xff\xfe"}) {
    const auto decoded = DecodeJobRecord(JobId("a"), bytes);
    CHECK_FALSE(decoded.has_value());
    CHECK(decoded.error().code == ErrorCode::kInvalidArgument);
  }
}

TEST(JobSpec, QueueLookupUsesTheLongestMatchingPrefix) {
  SiteConfiguration configuration;
  Queue queue;
  queue.host = "a.example";
  queue.prefix = "/x/";
  queue.id = QueueId("short");
  configuration.queues.push_back(queue);
  queue.prefix = "/x/y/";
  queue.id = QueueId("long");
  configuration.queues.push_back(queue);
  STRCMP_EQUAL("long",
               configuration.Find("a.example", "/x/y/1")->id.value().c_str());
  STRCMP_EQUAL("short",
               configuration.Find("a.example", "/x/1")->id.value().c_str());
  CHECK(configuration.Find("b.example", "/x/1") == nullptr);
  CHECK(configuration.Find("a.example", "/z") == nullptr);
}

TEST_GROUP(JobState){};

TEST(JobState, EveryStateNameParsesBack) {
  for (const JobState state :
       {JobState::kQueued, JobState::kRunning, JobState::kCompleted,
        JobState::kFailed, JobState::kCancelled}) {
    CHECK(ParseJobState(ToString(state)) == state);
  }
}

TEST(JobState, UnknownStateNameIsAnError) {
  const auto state = ParseJobState("paused");
  CHECK_FALSE(state.has_value());
  CHECK(state.error().code == ErrorCode::kInvalidArgument);
  STRCMP_CONTAINS("paused", state.error().detail.c_str());
}

namespace {

/// @returns the text of a valid record in which `from` is replaced by `to`.
std::string ChangeRecord(const std::string& from, const std::string& to) {
  JobRecord record;
  record.queue = QueueId("orders");
  record.policy.max_attempts = 2;
  record.accepted_at_ms = 1700000000000;
  record.spec.payload = "text";
  record.spec.steps = {MakeStep(3, 100), MakeStep(4, 200, {0})};
  record.spec.schedule = Schedule{5, 1700000000000, Duration(500)};
  std::string text = EncodeJobRecord(record);
  const auto found = text.find(from);
  CHECK_TEXT(found != std::string::npos, from.c_str());
  return text.replace(found, from.size(), to);
}

bool IsRecord(const std::string& text) {
  return DecodeJobRecord(JobId("5c0e7a21d94b36f8"), text).has_value();
}

}  // namespace

// A record of another writer must not make the owner allocate or index by its
// numbers: each following owner would end in the same way.
TEST(JobSpec, StoredRecordBeyondTheLimitsIsRejected) {
  CHECK(IsRecord(ChangeRecord("\"count\":3", "\"count\":3")));
  for (const auto& [from, to] :
       {std::pair("\"count\":3", "\"count\":1000000000"),
        std::pair("\"count\":3", "\"count\":-1"),
        std::pair("\"count\":3", "\"count\":18446744073709551615"),
        std::pair("\"count\":3", "\"count\":1e300"),
        std::pair("\"count\":3", "\"count\":0"),
        std::pair("\"occurrences\":5", "\"occurrences\":4294967296"),
        std::pair("\"occurrences\":5", "\"occurrences\":-1"),
        std::pair("\"after\":[0]", "\"after\":[1]"),
        std::pair("\"after\":[0]", "\"after\":[4294967295]"),
        std::pair("\"after\":[0]", "\"after\":0"),
        std::pair("\"millicores\":500", "\"millicores\":-500"),
        std::pair("\"millicores\":500", "\"millicores\":9223372036854775807"),
        std::pair("\"estimate_ms\":100", "\"estimate_ms\":1e19"),
        std::pair("\"accepted_at_ms\":1700000000000",
                  "\"accepted_at_ms\":-9223372036854775808"),
        std::pair("\"first_at_ms\":1700000000000",
                  "\"first_at_ms\":9223372036854775807"),
        std::pair("\"interval_ms\":500", "\"interval_ms\":1e999"),
        std::pair("\"max_attempts\":2", "\"max_attempts\":4294967296"),
        std::pair("\"queue\":\"orders\"", "\"queue\":[]")}) {
    CHECK_FALSE_TEXT(IsRecord(ChangeRecord(from, to)), to);
  }
}

TEST(JobSpec, StoredRecordWithDeepNestingIsRejected) {
  const std::string nested =
      std::string(100000, '[') + std::string(100000, ']');
  CHECK_FALSE(IsRecord(nested));
  CHECK_FALSE(IsRecord(ChangeRecord("[0]", nested)));
  CHECK_FALSE(IsRecord(ChangeRecord("\"text\"", nested)));
}

// The names of its tasks could not be parsed, so that an agent would reject all
// orders that contain one.
TEST(JobSpec, StoredRecordWithoutAnIdIsRejected) {
  const std::string text = ChangeRecord("orders", "orders");
  CHECK_FALSE(DecodeJobRecord(JobId(), text).has_value());
}

// A job may repeat for years; `OccurrenceTable` bounds what that takes.
TEST(JobSpec, OccurrencesAreNotLimited) {
  JobSpec spec;
  spec.steps = {MakeStep(10000, 1), MakeStep(10, 1)};
  spec.schedule.occurrences = 4294967295;
  CHECK(Validate(spec).has_value());
}
