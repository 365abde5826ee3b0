#include <CppUTest/TestHarness.h>

#include <map>

#include "routing/admission_queue.h"
#include "routing/request_ledger.h"
#include "routing/retry_budget.h"
#include "routing/router.h"

using namespace zinniacart;

namespace {

const ServiceId kService("echo");

HostAnnouncement MakeHost(const std::string& name,
                          const std::string& domain,
                          int queued) {
  HostAnnouncement host;
  host.host = HostId(name);
  host.domain = DomainId(domain);
  host.address = "127.0.0.1:1";
  host.stamp = Stamp{Incarnation(1), Instant{1}};
  host.backends.push_back(
      BackendAnnouncement{BackendId(name + "-b"), kService, 0, queued});
  return host;
}

}  // namespace

TEST_GROUP(Router) {
  HostTable hosts{Incarnation(1)};
  Configuration configuration;
  Router router{DomainId("marka"), 42};

  std::map<std::string, int> Choose(int times) {
    std::map<std::string, int> chosen;
    for (int number = 0; number < times; ++number) {
      const auto route = router.Choose(kService, hosts, configuration, {});
      ++chosen[route->host.value()];
      router.Complete(route->backend);
    }
    return chosen;
  }
};

TEST(Router, PrefersOwnDomainWhileNotSaturated) {
  hosts.ReceiveFromAgent(MakeHost("near", "marka", 3), Instant{0});
  hosts.ReceiveFromAgent(MakeHost("far", "zarqa", 0), Instant{0});
  CHECK_EQUAL(100, Choose(100)["near"]);
}

TEST(Router, UsesOtherDomainWhenOwnIsSaturated) {
  hosts.ReceiveFromAgent(MakeHost("near", "marka", 8), Instant{0});
  hosts.ReceiveFromAgent(MakeHost("far", "zarqa", 0), Instant{0});
  CHECK_EQUAL(100, Choose(100)["far"]);
}

TEST(Router, ChoosesLessLoadedOfTwo) {
  hosts.ReceiveFromAgent(MakeHost("busy", "marka", 6), Instant{0});
  hosts.ReceiveFromAgent(MakeHost("idle", "marka", 0), Instant{0});
  auto chosen = Choose(1'000);
  // The busy host is chosen only if both random candidates are that host.
  CHECK(chosen["busy"] < 350);
  CHECK(chosen["idle"] > 650);
}

TEST(Router, CountsOwnBurstBeforeItIsAnnounced) {
  hosts.ReceiveFromAgent(MakeHost("a", "marka", 0), Instant{0});
  hosts.ReceiveFromAgent(MakeHost("b", "marka", 0), Instant{0});
  std::map<std::string, int> chosen;
  for (int number = 0; number < 40; ++number) {
    ++chosen[router.Choose(kService, hosts, configuration, {})->host.value()];
  }
  CHECK(chosen["a"] >= 15);
  CHECK(chosen["b"] >= 15);
}

TEST(Router, ReportsWhyThereIsNoRoute) {
  const auto none = router.Choose(kService, hosts, configuration, {});
  CHECK(none.error().code == ErrorCode::kNoBackend);
  HostAnnouncement leaving = MakeHost("a", "marka", 0);
  leaving.draining = true;
  hosts.ReceiveFromAgent(leaving, Instant{0});
  const auto draining = router.Choose(kService, hosts, configuration, {});
  CHECK(draining.error().code == ErrorCode::kDraining);
  hosts.ReceiveFromAgent(MakeHost("b", "marka", 0), Instant{0});
  const auto excluded =
      router.Choose(kService, hosts, configuration, {BackendId("b-b")});
  CHECK(excluded.error().code == ErrorCode::kOverloaded);
}

TEST(Router, SendsNothingToDrainedDomain) {
  hosts.ReceiveFromAgent(MakeHost("near", "marka", 0), Instant{0});
  hosts.ReceiveFromAgent(MakeHost("far", "zarqa", 0), Instant{0});
  configuration.Append(ChangeRequest{"id", "amal", 0, "domain/marka",
                                     DomainResource{DomainId("marka"), false},
                                     std::nullopt});
  CHECK_EQUAL(20, Choose(20)["far"]);
}

TEST_GROUP(RetryBudget){};

TEST(RetryBudget, LimitsRetriesToFractionOfTraffic) {
  RetryBudget budget;
  int retries = 0;
  constexpr int kRequests = 10'000;
  for (int number = 0; number < kRequests; ++number) {
    budget.Earn();
    retries += budget.Spend() ? 1 : 0;
  }
  CHECK(retries <= kRequests / 10 + 20);
  CHECK(retries >= kRequests / 10);
}

TEST_GROUP(AdmissionQueue) {
  AdmissionQueue queue{2, 3};
  Instant now{1'000};
  Instant late{100'000};
  using Verdict = AdmissionQueue::Verdict;
};

TEST(AdmissionQueue, FillsSlotsThenQueuesThenRefuses) {
  for (int number = 0; number < 5; ++number) {
    const auto verdict =
        queue.Arrive(RequestId(std::to_string(number)), now, late);
    CHECK(*verdict == (number < 2 ? Verdict::kRun : Verdict::kWait));
  }
  const auto refused = queue.Arrive(RequestId("5"), now, late);
  CHECK(refused.error().code == ErrorCode::kOverloaded);
}

TEST(AdmissionQueue, StartsInOrderAndSkipsExpired) {
  queue.Arrive(RequestId("0"), now, late);
  queue.Arrive(RequestId("1"), now, late);
  queue.Arrive(RequestId("2"), now, now + Duration(10));
  queue.Arrive(RequestId("3"), now, late);
  now = now + Duration(20);
  const auto departures = queue.Complete(now, Duration(20));
  CHECK(departures.expired == std::vector<RequestId>{RequestId("2")});
  CHECK(departures.run == RequestId("3"));
}

TEST(AdmissionQueue, RefusesRequestThatCannotStartInTime) {
  queue.Arrive(RequestId("0"), now, late);
  for (int number = 0; number < 200; ++number) {
    queue.Complete(now, Duration(1'000));
    queue.Arrive(RequestId("x"), now, late);
  }
  queue.Arrive(RequestId("1"), now, late);
  const auto refused = queue.Arrive(RequestId("2"), now, now + Duration(100));
  CHECK(refused.error().code == ErrorCode::kOverloaded);
}

TEST(AdmissionQueue, DrainingRefusesNewAndFinishesRunning) {
  queue.Arrive(RequestId("0"), now, late);
  queue.Drain();
  CHECK(queue.Arrive(RequestId("1"), now, late).error().code ==
        ErrorCode::kDraining);
  CHECK(!queue.idle());
  queue.Complete(now, Duration(5));
  CHECK(queue.idle());
}

TEST_GROUP(RequestLedger) {
  RequestLedger ledger;
  Instant now{1'000};
  RequestId request{"r-1"};
};

TEST(RequestLedger, RequestIdIsRegisteredOnce) {
  CHECK(ledger.Arrive(request) == nullptr);
  const auto* again = ledger.Arrive(request);
  CHECK(std::holds_alternative<RequestRunning>(*again));
  Answer answer;
  answer.body = "whole";
  ledger.End(request, RequestAnswered{answer}, now);
  const auto* ended = ledger.Arrive(request);
  STRCMP_EQUAL("whole", std::get<RequestAnswered>(*ended).answer.body.c_str());
}

TEST(RequestLedger, QueriedRequestIsRefusedIfItArrivesLater) {
  const auto& outcome = ledger.Inquire(request, now);
  CHECK(std::holds_alternative<RequestNotRun>(outcome));
  const auto* late = ledger.Arrive(request);
  CHECK(late != nullptr);
  CHECK(std::holds_alternative<RequestNotRun>(*late));
}

TEST(RequestLedger, KeepsOutcomesLongerThanStampsAreValid) {
  CHECK(RequestLedger::kRetention > RequestLedger::kStampValidity);
  ledger.Inquire(request, now);
  ledger.Forget(now + RequestLedger::kRetention);
  CHECK_EQUAL(1u, ledger.size());
  ledger.Forget(now + RequestLedger::kRetention + Duration(1));
  CHECK_EQUAL(0u, ledger.size());
}

TEST(RequestLedger, DroppedAnswerBecomesUnknown) {
  constexpr std::size_t kBody = RequestLedger::kMaxAnswerBytes / 2 + 1;
  for (const char* id : {"a", "b"}) {
    Answer answer;
    answer.body = std::string(kBody, 'x');
    ledger.Arrive(RequestId(id));
    ledger.End(RequestId(id), RequestAnswered{answer}, now);
  }
  CHECK(std::holds_alternative<RequestOutcomeUnknown>(
      ledger.Inquire(RequestId("a"), now)));
  CHECK(std::holds_alternative<RequestAnswered>(
      ledger.Inquire(RequestId("b"), now)));
}
