#include "entry/session_keeper.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/logging.h"

namespace zinniacart {
namespace {

constexpr const char* kDirectoryPrefix = "entries/";
/// The directory is listed when a session is first opened and after every
/// second successful opening or renewal from then on.
constexpr int kRenewalsPerListing = 2;

}  // namespace

SessionKeeper::SessionKeeper(EntryState& state,
                             Store& store,
                             const Clock& clock,
                             const EntrySettings& settings,
                             std::string rpc_address,
                             PlacementTimes times)
    : m_state(state),
      m_store(store),
      m_clock(clock),
      m_settings(settings),
      m_rpc_address(std::move(rpc_address)),
      m_times(times) {}

SessionKeeper::~SessionKeeper() {
  Stop();
}

void SessionKeeper::Start() {
  m_running = true;
  m_thread = std::thread([this] { Run(); });
}

void SessionKeeper::Stop() {
  if (!m_thread.joinable()) {
    return;
  }
  m_running = false;
  m_thread.join();
  if (m_entry_version != StoreVersion(0)) {
    m_store.Delete(m_entry_key, m_entry_version);
  }
}

void SessionKeeper::Run() {
  int renewals = 0;
  while (m_running) {
    const bool succeeded =
        m_lease.value().empty() ? OpenSession() : RenewSession();
    if (succeeded && renewals++ % kRenewalsPerListing == 0) {
      ListEntries();
    }
    std::this_thread::sleep_for(m_times.session_renewal);
  }
}

bool SessionKeeper::OpenSession() {
  const Incarnation incarnation(DrawRunNumber());
  const Instant call_began = m_clock.Now();
  const auto lease = m_store.OpenLease(m_times.session_ttl);
  if (!lease) {
    return false;
  }
  const StoreKey key(kDirectoryPrefix + m_settings.entry.value() + "/" +
                     std::to_string(incarnation.value()));
  const nlohmann::json row{{"entry", m_settings.entry.value()},
                           {"incarnation", incarnation.value()},
                           {"address", m_rpc_address}};
  const auto version =
      m_store.CompareAndSwap(key, row.dump(), StoreVersion(0), *lease);
  if (!version) {
    // If the row was written although the call failed, the store deletes it
    // when the lease expires.
    return false;
  }
  m_lease = *lease;
  m_entry_key = key;
  m_entry_version = *version;
  const std::lock_guard lock(m_state.mutex);
  m_state.owner = std::make_unique<ShardOwner>(m_settings.entry, incarnation,
                                               m_settings.shards, m_times,
                                               InterferenceAware{});
  m_state.owner->OnConfiguration(*m_state.configuration, m_clock.Now());
  m_state.owner->OnSessionRenewed(call_began);
  LogInfo("session.opened", {{"incarnation", incarnation.value()}});
  return true;
}

bool SessionKeeper::RenewSession() {
  const Instant call_began = m_clock.Now();
  const auto renewed = m_store.RenewLease(m_lease);
  if (renewed) {
    const std::lock_guard lock(m_state.mutex);
    m_state.owner->OnSessionRenewed(call_began);
    return true;
  }
  if (renewed.error().code == ErrorCode::kNotFound) {
    HandleSessionLoss();
  }
  return false;
}

void SessionKeeper::ListEntries() {
  const Instant call_began = m_clock.Now();
  const auto rows = m_store.List(kDirectoryPrefix);
  if (!rows) {
    return;
  }
  std::vector<EntryInfo> entries;
  for (const StoreValue& row : *rows) {
    const auto body = nlohmann::json::parse(row.bytes, nullptr, false);
    if (body.is_object()) {
      entries.push_back(EntryInfo{EntryId(body.at("entry")),
                                  Incarnation(body.at("incarnation")),
                                  body.at("address")});
    }
  }
  const std::lock_guard lock(m_state.mutex);
  m_state.entries = entries;
  if (m_state.owner) {
    m_state.owner->OnEntries(std::move(entries), call_began, m_clock.Now());
  }
}

void SessionKeeper::HandleSessionLoss() {
  LogWarning("session.lost", {{"entry", m_settings.entry.value()}});
  m_lease = LeaseId();
  m_entry_version = StoreVersion(0);
  const std::lock_guard lock(m_state.mutex);
  m_state.owner.reset();
}

}  // namespace zinniacart
