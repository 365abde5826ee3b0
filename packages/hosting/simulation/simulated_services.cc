#include "hosting/simulation/simulated_services.h"

#include <utility>

#include "hosting/simulation/simulated_owner.h"

namespace zinniacart::simulation {
namespace {

Error Unanswered() {
  return Error{ErrorCode::kOutcomeUnknown, "no answer", {}};
}

}  // namespace

SimulatedServices::SimulatedServices(std::string self,
                                     SimulatedStore& store,
                                     SimulatedMachines& machines,
                                     const Clock& clock,
                                     Post post)
    : m_self(std::move(self)),
      m_store(store),
      m_machines(machines),
      m_clock(clock),
      m_post(std::move(post)) {}

void SimulatedServices::ExpireCalls() {
  for (auto call = m_pending.begin(); call != m_pending.end();) {
    if (m_clock.Now() < call->second.until) {
      ++call;
      continue;
    }
    const auto fail = std::move(call->second.fail);
    call = m_pending.erase(call);
    fail();
  }
}

template <typename Answer>
void SimulatedServices::Call(const std::string& service,
                             Duration timeout,
                             std::function<Answer()> carry_out,
                             std::function<void(Answer)> done,
                             Answer failure) {
  const std::uint64_t number = ++m_calls;
  m_pending[number] =
      PendingCall{m_clock.Now() + timeout, [done, failure] { done(failure); }};
  m_post(service, [this, number, carry_out = std::move(carry_out), done] {
    m_post(m_self, [this, number, done, answer = carry_out()] {
      if (m_pending.erase(number) > 0) {
        done(answer);
      }
    });
  });
}

void SimulatedServices::Get(const std::string&,
                            Duration,
                            StoreCallback<StoreItem>) {}

void SimulatedServices::List(const std::string& prefix,
                             Duration timeout,
                             StoreCallback<StoreSnapshot> done) {
  Call<Result<StoreSnapshot>>(
      "store", timeout, [this, prefix] { return m_store.List(prefix); },
      std::move(done), tl::unexpected(Unanswered()));
}

void SimulatedServices::Watch(const std::string&,
                              std::uint64_t,
                              Duration,
                              Duration,
                              StoreCallback<StoreEvents>) {}

void SimulatedServices::Commit(const StoreTransaction& transaction,
                               Duration timeout,
                               StoreCallback<StoreCommit> done) {
  Call<Result<StoreCommit>>(
      "store", timeout,
      [this, transaction] {
        auto commit = m_store.Commit(transaction);
        if (commit && commit->committed) {
          for (const StoreWrite& write : transaction.writes) {
            for (const auto& [id, wave] : m_machines.waves()) {
              if (write.key == "status/wave/" + std::to_string(id.value()) &&
                  write.value.find("\"completed\"") != std::string::npos) {
                m_machines.OnCompleted(id);
              }
            }
          }
        }
        return commit;
      },
      std::move(done), tl::unexpected(Unanswered()));
}

void SimulatedServices::OpenLease(Duration, Duration, StoreCallback<LeaseId>) {}

void SimulatedServices::RenewLease(const LeaseId&,
                                   Duration,
                                   StoreCallback<Duration>) {}

void SimulatedServices::EndLease(const LeaseId&,
                                 Duration,
                                 StoreCallback<Duration>) {}

void SimulatedServices::ListPage(
    const std::string&,
    Duration timeout,
    std::function<void(Result<MachinePage>)> done) {
  Call<Result<MachinePage>>(
      "machines", timeout, [this] { return m_machines.List(); },
      std::move(done), tl::unexpected(Unanswered()));
}

void SimulatedServices::BeginUpkeep(const UpkeepCall& call,
                                    Duration timeout,
                                    std::function<void(UpkeepAnswer)> done) {
  Call<UpkeepAnswer>(
      "machines", timeout,
      [this, call] { return m_machines.BeginUpkeep(call); }, std::move(done),
      UpkeepAnswer::kUnanswered);
}

}  // namespace zinniacart::simulation
