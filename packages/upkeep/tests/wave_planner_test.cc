#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <memory>

#include "upkeep/call_pacer.h"
#include "upkeep/wave_planner.h"

using namespace zinniacart;

/// A machine service and a scheduler that play a wave with a planner.
TEST_GROUP(WavePlanner) {
  struct Machine {
    MachineState state = MachineState::kUp;
    bool had_upkeep = false;
    bool busy = false;
    Instant up_at;
    bool listed = true;
    MachineView view;
  };

  Instant now{100000};
  Epoch epoch{1};
  std::map<MachineId, Machine> machines;
  std::unique_ptr<WavePlanner> planner;
  std::size_t calls = 0;
  std::size_t most_down = 0;
  std::size_t emptied_in_vain = 0;
  bool lose_answers = false;
  std::vector<MachineId> order;

  void AddMachines(int count) {
    for (int number = 0; number < count; ++number) {
      Machine& machine = machines[Id(number)];
      machine.view.known = true;
      machine.view.incarnation = 1000;
    }
  }

  static MachineId Id(int number) {
    return MachineId("m" + std::to_string(100 + number));
  }

  WaveSpec Spec(Duration duration, std::uint32_t max_down) {
    WaveSpec spec{WaveId(1), {}, duration, max_down};
    for (const auto& [id, machine] : machines) {
      spec.machines.push_back(id);
    }
    return spec;
  }

  void Begin(Duration duration, std::uint32_t max_down,
             const WaveRecord& record = {}) {
    planner = std::make_unique<WavePlanner>(Spec(duration, max_down),
                                            WaveTimes(), record, now, now);
  }

  std::map<MachineId, MachineView> Views() {
    std::map<MachineId, MachineView> views;
    for (const auto& [id, machine] : machines) {
      views[id] = machine.view;
    }
    return views;
  }

  void List() {
    MachineListing listing;
    listing.asked_at = now;
    for (const auto& [id, machine] : machines) {
      if (machine.listed) {
        listing.machines[id] = ListedMachine{id, {}, machine.state, {}, "w"};
      }
    }
    planner->OnListing(listing, now);
  }

  UpkeepAnswer Call(const MachineId& id) {
    ++calls;
    order.push_back(id);
    Machine& machine = machines.at(id);
    if (machine.had_upkeep) {
      return UpkeepAnswer::kAccepted;
    }
    if (machine.busy || machine.state != MachineState::kUp) {
      return UpkeepAnswer::kBusy;
    }
    machine.had_upkeep = true;
    machine.state = MachineState::kUpkeep;
    machine.up_at = now + Duration(2000);
    machine.view.empty = true;
    machine.view.loss = 0;
    const auto down = static_cast<std::size_t>(
        std::count_if(machines.begin(), machines.end(), [](const auto& entry) {
          return entry.second.state == MachineState::kUpkeep;
        }));
    most_down = std::max(most_down, down);
    return lose_answers ? UpkeepAnswer::kUnanswered : UpkeepAnswer::kAccepted;
  }

  /// Plans once and carries the plan out.
  WavePlan Step(Duration time_to_empty = Duration(500)) {
    now = now + Duration(100);
    for (auto& [id, machine] : machines) {
      if (machine.state == MachineState::kUpkeep && now >= machine.up_at) {
        machine.state = MachineState::kUp;
        machine.view.incarnation += 1;
      }
    }
    if (now.milliseconds % 500 == 0) {
      List();
    }
    const WavePlan plan = planner->Plan(Views(), now);
    for (const auto& [id, spare] : plan.emptying) {
      Machine& machine = machines.at(id);
      machine.view.loss -=
          static_cast<double>(100) / static_cast<double>(time_to_empty.count());
      machine.view.empty = machine.view.empty || machine.view.loss <= 0;
    }
    if (plan.call) {
      planner->OnOrdered(*plan.call, epoch, machines.at(*plan.call).view, now);
      planner->OnAnswer(*plan.call, Call(*plan.call), now);
    }
    return plan;
  }

  void RunFor(Duration time, Duration time_to_empty = Duration(500)) {
    const Instant until = now + time;
    while (now < until && !planner->IsComplete()) {
      Step(time_to_empty);
    }
  }

  std::size_t Count(UpkeepStage stage) {
    return planner->Counts()[stage];
  }

  void Fill() {
    for (auto& [id, machine] : machines) {
      machine.view.empty = false;
      machine.view.loss = 1;
    }
  }
};

// A wave over a loaded site took down more machines than allowed, or was late.
TEST(WavePlanner, ALoadedSiteIsDoneInTimeWithinTheLimit) {
  AddMachines(72);
  Fill();
  Begin(Duration(120000), 4);
  RunFor(Duration(120000));
  CHECK(planner->IsComplete());
  CHECK_FALSE(planner->IsLate(now));
  LONGS_EQUAL(72, calls);
  CHECK(most_down <= 4);
}

// A machine that never becomes empty kept the whole wave waiting.
TEST(WavePlanner, MachinesThatStayFullGoLastAndInTime) {
  AddMachines(12);
  Fill();
  machines.at(Id(0)).view.loss = 1e9;
  Begin(Duration(60000), 1);
  RunFor(Duration(30000));
  CHECK(Count(UpkeepStage::kDone) >= 5);
  RunFor(Duration(30000));
  CHECK(planner->IsComplete());
  CHECK(order.back() == Id(0));
  LONGS_EQUAL(1, most_down);
}

// Work was ended beyond a step's budget to keep a wave in time.
TEST(WavePlanner, NothingIsCalledThatMayNotEnd) {
  AddMachines(2);
  Fill();
  machines.at(Id(1)).view.may_end = false;
  Begin(Duration(5000), 2);
  RunFor(Duration(8000));
  LONGS_EQUAL(1, calls);
  CHECK(planner->IsLate(now));
}

// A machine was called before its agent had reported what runs there.
TEST(WavePlanner, NothingIsDoneToAMachineThatIsNotKnown) {
  AddMachines(1);
  machines.at(Id(0)).view.known = false;
  Begin(Duration(3000), 1);
  RunFor(Duration(5000));
  LONGS_EQUAL(0, calls);
}

// Work was taken off every host of a site whose machines are all refused, and
// the service was asked over and over.
TEST(WavePlanner, BusyMachinesAreAskedOnceAndTheirWorkStays) {
  AddMachines(10);
  for (auto& [id, machine] : machines) {
    machine.busy = true;
  }
  Begin(Duration(20000), 3);
  RunFor(Duration(10000));
  LONGS_EQUAL(10, calls);
  RunFor(Duration(30000));
  LONGS_EQUAL(10, calls);
  CHECK(planner->IsLate(now));
  CHECK_FALSE(planner->IsComplete());
  LONGS_EQUAL(10, Count(UpkeepStage::kRefused));
  machines.at(Id(3)).busy = false;
  machines.at(Id(3)).view.incarnation = 2000;
  RunFor(Duration(5000));
  LONGS_EQUAL(11, calls);
  LONGS_EQUAL(1, Count(UpkeepStage::kDone));
}

TEST(WavePlanner, FullMachinesAreNotEmptiedWhileAllAreRefused) {
  AddMachines(10);
  Fill();
  for (auto& [id, machine] : machines) {
    machine.busy = true;
  }
  machines.at(Id(0)).view.empty = true;
  Begin(Duration(60000), 3);
  std::set<MachineId> emptied;
  for (int step = 0; step < 250; ++step) {
    for (const auto& [id, spare] : Step().emptying) {
      emptied.insert(id);
    }
  }
  // The machine that is asked first is empty; the others are not touched.
  LONGS_EQUAL(1, calls);
  CHECK(emptied.size() <= 3);
}

// After a lost answer another machine went down beyond the limit.
TEST(WavePlanner, AnUnansweredCallCountsAsDownAndIsRepeated) {
  AddMachines(3);
  Begin(Duration(60000), 1);
  lose_answers = true;
  RunFor(Duration(30000));
  CHECK(planner->IsComplete());
  LONGS_EQUAL(6, calls);
  LONGS_EQUAL(1, most_down);
}

// A new owner forgot what the previous one had called for.
TEST(WavePlanner, ATakeoverCountsWhatWasOrderedAsDown) {
  AddMachines(3);
  Begin(Duration(60000), 1);
  List();
  const WavePlan plan = planner->Plan(Views(), now);
  planner->OnOrdered(*plan.call, epoch, machines.at(*plan.call).view, now);
  const WaveRecord stored =
      *DecodeWaveRecord(EncodeWaveRecord(planner->record()));
  CHECK(stored == planner->record());
  Call(*plan.call);  // The owner is killed before the answer.
  epoch = epoch.Next();
  Begin(Duration(60000), 1, stored);
  RunFor(Duration(1000));
  LONGS_EQUAL(1, calls);
  LONGS_EQUAL(1, most_down);
  RunFor(Duration(30000));
  CHECK(planner->IsComplete());
  LONGS_EQUAL(4, calls);
  LONGS_EQUAL(1, most_down);
}

// A call that was recorded and never sent was taken as carried out.
TEST(WavePlanner, ATakeoverRepeatsACallThatWasNotSent) {
  AddMachines(1);
  Begin(Duration(60000), 1);
  List();
  const WavePlan plan = planner->Plan(Views(), now);
  planner->OnOrdered(*plan.call, epoch, machines.at(*plan.call).view, now);
  Begin(Duration(60000), 1, planner->record());
  RunFor(Duration(5000));
  CHECK(machines.at(Id(0)).had_upkeep);
}

// A wave waited for a machine that was taken away.
TEST(WavePlanner, AMachineThatLeavesNoLongerCounts) {
  AddMachines(2);
  machines.at(Id(0)).state = MachineState::kDown;
  Begin(Duration(60000), 1);
  RunFor(Duration(3000));
  CHECK_FALSE(planner->IsComplete());
  machines.at(Id(0)).listed = false;
  List();  // It may be missing because the machines changed between pages.
  CHECK_FALSE(planner->IsComplete());
  List();
  CHECK(planner->IsComplete());
}

// A machine that had just been called for was taken to be up again by a listing
// from before, and another one went down beside it.
TEST(WavePlanner, AListingFromBeforeTheAnswerDoesNotShowThatAMachineIsUp) {
  AddMachines(2);
  Begin(Duration(60000), 1);
  List();
  const MachineId id = *planner->Plan(Views(), now).call;
  MachineListing before;
  before.asked_at = now;
  before.machines[id] = ListedMachine{id, {}, MachineState::kUp, {}, "w"};
  now = now + Duration(10);
  planner->OnOrdered(id, epoch, machines.at(id).view, now);
  planner->OnAnswer(id, UpkeepAnswer::kUnanswered, now);
  now = now + Duration(5000);
  planner->OnListing(before, now);
  CHECK_FALSE(planner->Plan(Views(), now).call.has_value());
  List();
  CHECK(planner->Plan(Views(), now).call == id);
}

// A failure domain that lacked hosts lost another one first.
TEST(WavePlanner, MachinesInAShortDomainGoLast) {
  AddMachines(4);
  Fill();
  machines.at(Id(0)).view.domain_short = true;
  machines.at(Id(0)).view.empty = true;
  machines.at(Id(2)).view.loss = 0.1;
  Begin(Duration(60000), 1);
  RunFor(Duration(60000));
  CHECK(order.front() == Id(2));
  CHECK(order.back() == Id(0));
}

// Machines that the service excludes were called again, or the wave was
// reported as completed without them.
TEST(WavePlanner, AnExcludedMachineIsNotCalledAgainAndKeepsTheWaveOpen) {
  AddMachines(1);
  Begin(Duration(60000), 1);
  List();
  const MachineId id = *planner->Plan(Views(), now).call;
  planner->OnOrdered(id, epoch, machines.at(id).view, now);
  planner->OnAnswer(id, UpkeepAnswer::kOtherWave, now);
  RunFor(Duration(5000));
  LONGS_EQUAL(0, calls);
  CHECK_FALSE(planner->IsComplete());
  machines.at(id).listed = false;
  RunFor(Duration(5000));
  CHECK(planner->IsComplete());
}

// A call that was not sent left its machine counted as down.
TEST(WavePlanner, ACallThatDidNotReachTheServiceHasNoEffect) {
  AddMachines(1);
  Begin(Duration(60000), 1);
  List();
  for (const auto answer :
       {UpkeepAnswer::kUnreachable, UpkeepAnswer::kTooManyCalls}) {
    const MachineId id = *planner->Plan(Views(), now).call;
    planner->OnOrdered(id, epoch, machines.at(id).view, now);
    planner->OnAnswer(id, answer, now);
    CHECK_FALSE(planner->HasMachinesDown());
  }
  RunFor(Duration(5000));
  CHECK(planner->IsComplete());
}

TEST_GROUP(CallPacer){};

// Calls exceeded the limit, or went on at full rate while they were refused.
TEST(CallPacer, KeepsBelowTheLimitAndBacksOff) {
  CallPacer pacer(2);
  Instant now{1000};
  int calls = 0;
  for (; now < Instant{11000}; now = now + Duration(10)) {
    if (pacer.MayCall(now)) {
      ++calls;
      pacer.OnCalled(now);
      pacer.OnAnswered();
    }
  }
  CHECK(calls >= 15 && calls <= 18);
  for (int limited = 0; limited < 10; ++limited) {
    pacer.OnLimited(now);
  }
  LONGS_EQUAL(5000, pacer.interval().count());
  for (int answered = 0; answered < 20; ++answered) {
    pacer.OnAnswered();
  }
  LONGS_EQUAL(625, pacer.interval().count());
  for (int failed = 0; failed < 10; ++failed) {
    pacer.OnFailed(now);
  }
  CHECK_FALSE(pacer.MayCall(now + Duration(4900)));
  CHECK(pacer.MayCall(now + Duration(10100)));
}

TEST_GROUP(WaveRecord){};

// A value that another writer left was taken as a wave's progress.
TEST(WaveRecord, OddTextIsNotARecord) {
  for (
      const char* text :
      {"", "[]", "{}", R"({"began_ms":1,"completed":2,"machines":{}})",
       R"({"began_ms":1,"completed":false,"machines":{"m":["odd",1,"",0,0]}})",
       R"({"began_ms":1,"completed":false,"machines":{"m":["done",1,"",0,9]}})"}) {
    CHECK_FALSE(DecodeWaveRecord(text).has_value());
  }
}
