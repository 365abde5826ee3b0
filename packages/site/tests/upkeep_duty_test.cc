#include "site/upkeep_duty.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "site/store_keys.h"

using namespace zinniacart;

namespace {

/// A store in memory with the records that the duty reads and writes.
class WaveStore final : public StorePort {
 public:
  void Get(const std::string&, Duration, StoreCallback<StoreItem>) override {}
  void List(const std::string& prefix,
            Duration,
            StoreCallback<StoreSnapshot> done) override {
    ++calls;
    StoreSnapshot snapshot;
    for (const auto& [key, item] : items) {
      if (key.starts_with(prefix)) {
        snapshot.items.push_back(item);
      }
    }
    done(std::move(snapshot));
  }
  void Watch(const std::string&,
             std::uint64_t,
             Duration,
             Duration,
             StoreCallback<StoreEvents>) override {}
  void Commit(const StoreTransaction& transaction,
              Duration,
              StoreCallback<StoreCommit> done) override {
    ++calls;
    if (away) {
      return done(Fail(ErrorCode::kStoreUnavailable, "away"));
    }
    StoreCommit commit;
    for (const StoreCondition& condition : transaction.conditions) {
      const auto found = items.find(condition.key);
      const std::uint64_t revision =
          found == items.end() ? 0 : found->second.revision;
      commit.current.push_back(StoreItem{condition.key, {}, revision});
      if (revision != condition.revision) {
        return done(commit);
      }
    }
    ++m_revision;
    for (const StoreWrite& write : transaction.writes) {
      items[write.key] = StoreItem{write.key, write.value, m_revision};
    }
    done(StoreCommit{true, m_revision, {}});
  }
  void OpenLease(Duration, Duration, StoreCallback<LeaseId>) override {}
  void RenewLease(const LeaseId&, Duration, StoreCallback<Duration>) override {}
  void EndLease(const LeaseId&, Duration, StoreCallback<Duration>) override {}

  /// @returns the store revision of the new epoch.
  std::uint64_t SetEpoch() {
    items[store_keys::kEpoch] = StoreItem{store_keys::kEpoch, "", ++m_revision};
    return m_revision;
  }

  std::map<std::string, StoreItem> items;
  bool away = false;
  int calls = 0;

 private:
  std::uint64_t m_revision = 100;
};

/// A machine service that checks the limit and the holders of the duty.
class MachineService final : public MachinePort {
 public:
  struct Machine {
    MachineState state = MachineState::kUp;
    bool had_upkeep = false;
    Instant up_at;
  };
  struct Call {
    UpkeepCall call;
    Instant at;
  };

  explicit MachineService(const Clock& clock) : m_clock(clock) {}

  void ListPage(const std::string&,
                Duration,
                std::function<void(Result<MachinePage>)> done) override {
    reads.push_back(m_clock.Now());
    if (away) {
      return done(Fail(ErrorCode::kUnreachable, "away"));
    }
    MachinePage page;
    for (auto& [id, machine] : machines) {
      if (machine.state == MachineState::kUpkeep &&
          m_clock.Now() >= machine.up_at) {
        machine.state = MachineState::kUp;
      }
      page.machines.push_back(ListedMachine{id, {}, machine.state, {}, "w"});
    }
    done(std::move(page));
  }

  void BeginUpkeep(const UpkeepCall& call,
                   Duration,
                   std::function<void(UpkeepAnswer)> done) override {
    calls.push_back(Call{call, m_clock.Now()});
    if (away) {
      return done(UpkeepAnswer::kUnreachable);
    }
    if (forced_answer) {
      return done(*forced_answer);
    }
    const UpkeepAnswer answer = Carry(call);
    if (keep_answers) {
      kept.push_back([done = std::move(done), answer] { done(answer); });
      return;
    }
    done(std::exchange(lose_answer, false) ? UpkeepAnswer::kUnanswered
                                           : answer);
  }

  std::map<MachineId, Machine> machines;
  std::vector<Call> calls;
  std::vector<Instant> reads;
  std::optional<UpkeepAnswer> forced_answer;
  bool away = false;
  bool lose_answer = false;
  bool keep_answers = false;
  std::vector<std::function<void()>> kept;
  std::size_t most_down = 0;

 private:
  UpkeepAnswer Carry(const UpkeepCall& call) {
    if (call.token < m_newest) {
      return UpkeepAnswer::kFenced;
    }
    m_newest = call.token;
    const auto found = machines.find(call.machine);
    if (found == machines.end()) {
      return UpkeepAnswer::kUnknownMachine;
    }
    Machine& machine = found->second;
    if (!machine.had_upkeep) {
      machine =
          Machine{MachineState::kUpkeep, true, m_clock.Now() + Duration(2000)};
    }
    most_down = std::max(
        most_down, static_cast<std::size_t>(std::count_if(
                       machines.begin(), machines.end(), [](const auto& entry) {
                         return entry.second.state == MachineState::kUpkeep;
                       })));
    return UpkeepAnswer::kAccepted;
  }

  const Clock& m_clock;
  Epoch m_newest;
};

}  // namespace

TEST_GROUP(UpkeepDuty) {
  ManualClock clock;
  WaveStore store;
  MachineService service{clock};
  Scheduler scheduler{{}, clock, [](const DecisionEvent&) {}};
  std::vector<std::unique_ptr<UpkeepDuty>> duties;
  std::uint64_t epoch = 0;
  UpkeepSettings settings;

  void setup() override {
    clock.Advance(Duration(100000));
    settings.reads_per_s = 5;
    for (const char* name : {"m1", "m2", "m3", "m4"}) {
      service.machines[MachineId(name)];
    }
  }

  UpkeepDuty& AddDuty() {
    const EntryId self("entry-" + std::to_string(duties.size()));
    duties.push_back(std::make_unique<UpkeepDuty>(
        settings, self, store, service, clock,
        [this] { return clock.Now().milliseconds; }));
    return *duties.back();
  }

  void BeginTerm(UpkeepDuty & duty) {
    ++epoch;
    scheduler.Begin(Epoch(epoch), EntryId("entry"));
    duty.BeginTerm(Epoch(epoch), store.SetEpoch());
  }

  static std::map<WaveId, WaveSpec> Waves(std::uint32_t max_down,
                                          Duration duration = Duration(60000)) {
    WaveSpec spec{WaveId(7), {}, duration, max_down};
    for (const char* name : {"m1", "m2", "m3", "m4"}) {
      spec.machines.emplace_back(name);
    }
    return {{spec.id, spec}};
  }

  void RunFor(Duration time, bool confirmed = true) {
    const Instant until = clock.Now() + time;
    while (clock.Now() < until) {
      clock.Advance(Duration(50));
      for (const auto& duty : duties) {
        duty->Tick(scheduler, confirmed);
      }
    }
  }

  std::string Status() {
    const auto found = store.items.find("status/wave/7");
    return found == store.items.end() ? "" : found->second.value;
  }

  bool Completed() {
    return Status().find("\"completed\"") != std::string::npos;
  }

  std::set<std::string> Called() {
    std::set<std::string> called;
    for (const auto& call : service.calls) {
      called.insert(call.call.machine.value());
    }
    return called;
  }
};

// A site without waves paid for those of others.
TEST(UpkeepDuty, WithoutAWaveThereIsNoCall) {
  BeginTerm(AddDuty());
  RunFor(Duration(20000));
  LONGS_EQUAL(0, store.calls);
  LONGS_EQUAL(0, service.reads.size());
  LONGS_EQUAL(0, service.calls.size());
}

TEST(UpkeepDuty, SwitchedOffItDoesNothing) {
  settings.enabled = false;
  UpkeepDuty& duty = AddDuty();
  duty.SetWaves(Waves(1));
  BeginTerm(duty);
  RunFor(Duration(20000));
  LONGS_EQUAL(0, store.calls + static_cast<int>(service.reads.size()));
}

// Calls exceeded the service's limits, or went on after the wave was complete.
TEST(UpkeepDuty, AWaveIsCompletedWithinLimitsAndThenCostsNothing) {
  UpkeepDuty& duty = AddDuty();
  duty.SetWaves(Waves(2));
  BeginTerm(duty);
  RunFor(Duration(2000));
  LONGS_EQUAL(0, service.calls.size());
  CHECK(Status().find("\"running\"") != std::string::npos);
  RunFor(Duration(20000));
  CHECK(Completed());
  LONGS_EQUAL(4, service.calls.size());
  CHECK(service.most_down <= 2);
  for (std::size_t index = 1; index < service.calls.size(); ++index) {
    CHECK(service.calls[index].at - service.calls[index - 1].at >=
          Duration(1000));
  }
  const std::size_t reads = service.reads.size();
  const int store_calls = store.calls;
  RunFor(Duration(10000));
  LONGS_EQUAL(reads, service.reads.size());
  LONGS_EQUAL(store_calls, store.calls);
}

// The holder was killed between the record of a call and the call, or its
// answer.
TEST(UpkeepDuty, ATakeoverCompletesWhatItsPredecessorBegan) {
  for (const Duration killed_after :
       {Duration(3050), Duration(3100), Duration(3150), Duration(5000)}) {
    for (auto& [id, machine] : service.machines) {
      machine = {};
    }
    store.items.clear();
    service.calls.clear();
    service.most_down = 0;
    duties.clear();
    UpkeepDuty& first = AddDuty();
    first.SetWaves(Waves(1));
    BeginTerm(first);
    service.keep_answers = true;
    RunFor(killed_after);
    first.EndTerm();
    first.SetWaves({});
    service.keep_answers = false;
    UpkeepDuty& second = AddDuty();
    second.SetWaves(Waves(1));
    BeginTerm(second);
    const Instant began = clock.Now();
    RunFor(Duration(30000));
    CHECK(Completed());
    LONGS_EQUAL(1, service.most_down);
    for (const auto& call : service.calls) {
      CHECK(call.call.holder == EntryId("entry-0") ||
            call.at >= began + Duration(3000));
    }
  }
}

// Two entries took themselves for the owner and called for the same machines.
TEST(UpkeepDuty, AHolderThatWasReplacedStopsCalling) {
  UpkeepDuty& first = AddDuty();
  first.SetWaves(Waves(1));
  BeginTerm(first);
  RunFor(Duration(2500));
  UpkeepDuty& second = AddDuty();
  second.SetWaves(Waves(1));
  BeginTerm(second);
  RunFor(Duration(30000));
  CHECK(Completed());
  LONGS_EQUAL(1, service.most_down);
  // Its order cannot be recorded under the old epoch, so it never calls.
  for (const auto& call : service.calls) {
    CHECK(call.call.holder == EntryId("entry-1"));
  }
}

// Two owners together exceeded the rate limits while one followed the other.
TEST(UpkeepDuty, RatesAreKeptWhileTheOwnershipIsHandedOver) {
  settings.reads_per_s = 2;
  settings.calls_per_s = 2;
  UpkeepDuty& first = AddDuty();
  UpkeepDuty& second = AddDuty();
  for (UpkeepDuty* duty : {&first, &second, &first, &second}) {
    first.EndTerm();
    first.SetWaves({});
    second.EndTerm();
    second.SetWaves({});
    duty->SetWaves(Waves(2));
    BeginTerm(*duty);
    RunFor(Duration(3400));
  }
  CHECK(service.reads.size() > 4);
  for (std::size_t index = 2; index < service.reads.size(); ++index) {
    CHECK(service.reads[index] - service.reads[index - 2] >= Duration(1000));
  }
  for (std::size_t index = 2; index < service.calls.size(); ++index) {
    CHECK(service.calls[index].at - service.calls[index - 2].at >=
          Duration(1000));
  }
}

// A holder went on calling with a token that was refused.
TEST(UpkeepDuty, AFencedHolderDoesNotCallAgainUntilItsEpochGrows) {
  UpkeepDuty& duty = AddDuty();
  duty.SetWaves(Waves(1));
  BeginTerm(duty);
  service.forced_answer = UpkeepAnswer::kFenced;
  RunFor(Duration(20000));
  LONGS_EQUAL(1, service.calls.size());
  service.forced_answer.reset();
  BeginTerm(duty);
  RunFor(Duration(30000));
  CHECK(Completed());
}

// A holder whose ownership the store had not confirmed called all the same.
TEST(UpkeepDuty, NothingIsCalledWhileTheOwnershipIsNotConfirmed) {
  UpkeepDuty& duty = AddDuty();
  duty.SetWaves(Waves(1));
  BeginTerm(duty);
  RunFor(Duration(10000), false);
  LONGS_EQUAL(0, service.calls.size());
}

// A machine was called for although the order was not recorded.
TEST(UpkeepDuty, NothingIsCalledWhileTheStoreIsAway) {
  UpkeepDuty& duty = AddDuty();
  duty.SetWaves(Waves(1));
  BeginTerm(duty);
  RunFor(Duration(1000));
  store.away = true;
  RunFor(Duration(10000));
  LONGS_EQUAL(0, service.calls.size());
  store.away = false;
  RunFor(Duration(30000));
  CHECK(Completed());
}

TEST(UpkeepDuty, ALostAnswerIsAskedForAgain) {
  UpkeepDuty& duty = AddDuty();
  duty.SetWaves(Waves(1));
  BeginTerm(duty);
  service.lose_answer = true;
  RunFor(Duration(40000));
  CHECK(Completed());
  LONGS_EQUAL(5, service.calls.size());
  LONGS_EQUAL(1, service.most_down);
}

// A service that is away was called at full rate.
TEST(UpkeepDuty, AServiceThatIsAwayIsCalledMoreAndMoreRarely) {
  UpkeepDuty& duty = AddDuty();
  duty.SetWaves(Waves(1, Duration(200000)));
  BeginTerm(duty);
  RunFor(Duration(1000));
  service.away = true;
  RunFor(Duration(60000));
  CHECK(service.calls.size() + service.reads.size() <= 45);
  service.away = false;
  RunFor(Duration(40000));
  CHECK(Completed());
}

// All machines of a site were asked again with each listing.
TEST(UpkeepDuty, BusyMachinesAreAskedOnceAlsoByTheNextOwner) {
  UpkeepDuty& first = AddDuty();
  first.SetWaves(Waves(2, Duration(10000)));
  BeginTerm(first);
  service.forced_answer = UpkeepAnswer::kBusy;
  RunFor(Duration(30000));
  LONGS_EQUAL(4, service.calls.size());
  LONGS_EQUAL(4, Called().size());
  LONGS_EQUAL(1, first.CountLate());
  first.EndTerm();
  first.SetWaves({});
  UpkeepDuty& second = AddDuty();
  second.SetWaves(Waves(2, Duration(10000)));
  BeginTerm(second);
  RunFor(Duration(30000));
  LONGS_EQUAL(4, service.calls.size());
  LONGS_EQUAL(4, second.Counts().at(WaveId(7)).at(UpkeepStage::kRefused));
  CHECK_FALSE(Completed());
}

// A wave waited for a machine that had left.
TEST(UpkeepDuty, AMachineThatLeavesDoesNotKeepTheWaveOpen) {
  UpkeepDuty& duty = AddDuty();
  duty.SetWaves(Waves(1));
  BeginTerm(duty);
  service.machines.at(MachineId("m4")).state = MachineState::kDown;
  RunFor(Duration(30000));
  CHECK_FALSE(Completed());
  service.machines.erase(MachineId("m4"));
  RunFor(Duration(5000));
  CHECK(Completed());
}

// The wave's hosts stayed out of use after operators had withdrawn it.
TEST(UpkeepDuty, AWithdrawnWaveLeavesNoHostOutOfUse) {
  UpkeepDuty& duty = AddDuty();
  duty.SetWaves(Waves(1));
  BeginTerm(duty);
  scheduler.AddHost(HostId("host"));
  HostReport report;
  report.epoch = Epoch(epoch);
  report.sequence = 1;
  report.listed = report.worker_reachable = true;
  report.incarnation = WorkerIncarnation(5);
  report.facts = WorkerFacts();
  report.facts->machine = MachineId("m1");
  report.facts->incarnation = WorkerIncarnation(5);
  scheduler.OnReport(HostId("host"), report);
  const Host& host = scheduler.hosts().at(HostId("host"));
  RunFor(Duration(1000));
  CHECK(host.upkeep == HostUpkeep::kEmptying);
  RunFor(Duration(3000));
  CHECK(host.upkeep == HostUpkeep::kOrdered);
  duty.SetWaves({});
  RunFor(Duration(1000));
  CHECK(host.upkeep == HostUpkeep::kNone);
}

// Progress that another writer had replaced ended the duty.
TEST(UpkeepDuty, AnOddRecordIsReplaced) {
  store.items["zinniacart/upkeep/7"] =
      StoreItem{"zinniacart/upkeep/7", "[odd", 50};
  store.items["zinniacart/upkeep/x"] = StoreItem{"zinniacart/upkeep/x", "", 51};
  UpkeepDuty& duty = AddDuty();
  duty.SetWaves(Waves(2));
  BeginTerm(duty);
  RunFor(Duration(30000));
  CHECK(Completed());
}
