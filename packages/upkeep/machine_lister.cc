#include "upkeep/machine_lister.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "base/logging.h"

namespace zinniacart {
namespace {

constexpr Duration kPageTimeout{2000};
/// After this time calls of another caller no longer count against the limit.
constexpr Duration kRateWindow{1000};

}  // namespace

MachineLister::MachineLister(MachinePort& machines,
                             double pages_per_second,
                             const Clock& clock)
    : m_machines(machines), m_clock(clock), m_pacer(pages_per_second) {}

void MachineLister::Reset() {
  m_listing.reset();
  m_call.reset();
  m_pause_until = m_clock.Now() + kRateWindow;
}

void MachineLister::Tick(
    Duration interval,
    std::function<void(const MachineListing&)> on_listing) {
  const Instant now = m_clock.Now();
  if (m_call || now < m_pause_until || !m_pacer.MayCall(now) ||
      (!m_listing && now < m_next_at)) {
    return;
  }
  if (!m_listing) {
    m_listing = MachineListing{{}, now};
    m_next_page.clear();
    m_next_at = now + interval;
  }
  m_pacer.OnCalled(now);
  m_call = std::make_shared<int>(0);
  m_machines.ListPage(
      m_next_page, kPageTimeout,
      [this, call = std::weak_ptr<int>(m_call),
       on_listing = std::move(on_listing)](const Result<MachinePage>& page) {
        if (!call.expired()) {
          OnPage(page, on_listing);
        }
      });
}

void MachineLister::OnPage(
    const Result<MachinePage>& page,
    const std::function<void(const MachineListing&)>& on_listing) {
  m_call.reset();
  if (!page) {
    m_pacer.OnFailed(m_clock.Now());
    m_listing.reset();
    if (!m_away) {
      LogWarning("machine service does not list its machines, retrying",
                 {{"detail", page.error().detail}});
    }
    m_away = true;
    return;
  }
  m_pacer.OnAnswered();
  if (m_away) {
    LogInfo("machine service lists its machines again", {});
  }
  m_away = false;
  for (const ListedMachine& machine : page->machines) {
    m_listing->machines[machine.machine] = machine;
  }
  m_next_page = page->next_page;
  if (m_next_page.empty()) {
    const MachineListing listing = std::move(*m_listing);
    m_listing.reset();
    on_listing(listing);
  }
}

}  // namespace zinniacart
