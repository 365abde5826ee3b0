#include "scheduling/ownership.h"

#include <algorithm>
#include <utility>

namespace zinniacart {

Ownership::Ownership(EntryId self,
                     OwnershipTimes times,
                     Duration standby_delay,
                     const Clock& clock)
    : m_self(std::move(self)),
      m_times(times),
      m_standby_delay(standby_delay),
      m_clock(clock) {}

bool Ownership::Vacant() const {
  // A record with this entry's id was left by its previous incarnation.
  return !m_view.owner || m_view.owner->entry == m_self;
}

OwnershipStep Ownership::Next() {
  const Instant now = m_clock.Now();
  if (m_step_in_progress || m_retired || now < m_retry_at) {
    return WaitStep{};
  }
  m_step_started_at = now;
  if (m_epoch) {
    if (now - m_confirmed_at < m_times.renewal) {
      return WaitStep{};
    }
    m_step_in_progress = true;
    return RenewStep{m_lease};
  }
  if (!m_view_known) {
    m_step_in_progress = true;
    return ReadViewStep{};
  }
  if (!Vacant()) {
    m_vacant_since.reset();
    return WaitStep{};
  }
  if (!m_vacant_since) {
    m_vacant_since = now;
  }
  if (now - *m_vacant_since < m_standby_delay) {
    return WaitStep{};
  }
  m_step_in_progress = true;
  if (m_lease.value().empty()) {
    return OpenLeaseStep{m_times.lease};
  }
  return ClaimStep{m_lease, m_view};
}

void Ownership::OnView(const OwnershipView& view) {
  m_newest_epoch = std::max({m_newest_epoch, view.last_epoch,
                             view.owner ? view.owner->epoch : Epoch(),
                             m_epoch.value_or(Epoch())});
  m_view = view;
  m_view.last_epoch = m_newest_epoch;
  m_view_known = true;
}

void Ownership::OnViewRead(const OwnershipView& view) {
  m_step_in_progress = false;
  OnView(view);
}

void Ownership::OnLeaseOpened(const LeaseId& lease) {
  m_step_in_progress = false;
  m_lease = lease;
}

void Ownership::OnClaimed(Epoch epoch, std::uint64_t epoch_revision) {
  m_step_in_progress = false;
  m_epoch = epoch;
  m_newest_epoch = std::max(m_newest_epoch, epoch);
  m_epoch_revision = epoch_revision;
  m_confirmed_at = m_step_started_at;
}

void Ownership::OnRenewed() {
  m_step_in_progress = false;
  m_confirmed_at = m_step_started_at;
}

void Ownership::OnFailed() {
  m_step_in_progress = false;
  m_retry_at = m_clock.Now() + m_times.retry;
}

void Ownership::OnLost() {
  m_step_in_progress = false;
  m_epoch.reset();
  m_lease = LeaseId();
  m_view_known = false;
  m_vacant_since.reset();
}

bool Ownership::ConfirmedWithin(Duration window) const {
  return m_epoch && m_clock.Now() - m_confirmed_at < window;
}

}  // namespace zinniacart
