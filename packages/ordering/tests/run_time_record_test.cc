#include "ordering/run_time_record.h"

#include <CppUTest/TestHarness.h>

using namespace zinniacart;

TEST_GROUP(RunTimeRecord) {
  RunTimeModel model;
  RunTimeModel successor;
  const QueueId queue{"queue"};

  void setup() override {
    for (int run = 0; run < 20; ++run) {
      model.Learn(queue, Duration(500), Duration(1500));
      model.LearnDeviation(queue, 0.09);
    }
  }
};

// Guards against a new owner that orders a full site by declared times alone.
TEST(RunTimeRecord, SuccessorKnowsWhatWasLearned) {
  CHECK(RestoreRunTimes(EncodeRunTimes(model), successor).has_value());
  LONGS_EQUAL(model.ExpectedRunTime(queue, Duration(500)).count(),
              successor.ExpectedRunTime(queue, Duration(500)).count());
  const RunTimeEstimate wide{7, 0.5};
  DOUBLES_EQUAL(0.09, successor.VarianceWithinStep(queue, wide), 1e-9);
}

TEST(RunTimeRecord, WhatTheSuccessorHasLearnedItselfIsKept) {
  for (int run = 0; run < 30; ++run) {
    successor.Learn(queue, Duration(500), Duration(500));
  }
  CHECK(RestoreRunTimes(EncodeRunTimes(model), successor).has_value());
  LONGS_EQUAL(500, successor.ExpectedRunTime(queue, Duration(500)).count());
}

TEST(RunTimeRecord, RecordIsBounded) {
  for (int number = 0; number < 1000; ++number) {
    model.Learn(QueueId(std::string(200, 'q') + std::to_string(number)),
                Duration(500), Duration(1501 + number));
  }
  CHECK(EncodeRunTimes(model).size() < 20000);
}

// Guards against a damaged record that stops the owner or its order of work.
TEST(RunTimeRecord, MalformedRecordChangesNothing) {
  const std::string whole = EncodeRunTimes(model);
  for (std::size_t size = 0; size < whole.size(); ++size) {
    CHECK_FALSE(RestoreRunTimes(whole.substr(0, size), successor).has_value());
  }
  for (const char* bytes :
       {"[]", R"({"version":2,"queues":[]})", R"({"version":1,"queues":7})",
        R"({"version":1,"queues":[["q",9,1e300,1,0,0,1,1]]})",
        R"({"version":1,"queues":[["q",9,7,-1,0,0,1,1]]})",
        R"({"version":1,"queues":[["q",-9,7,1,0,0,1,1]]})",
        R"({"version":1,"queues":[["q",9,7,null,0,0,1,1]]})"}) {
    const auto restored = RestoreRunTimes(bytes, successor);
    CHECK_FALSE(restored.has_value());
    CHECK(restored.error().code == ErrorCode::kInvalidArgument);
  }
  CHECK(successor.queues().empty());
}
