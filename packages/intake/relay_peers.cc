#include "intake/relay_peers.h"

#include <algorithm>

namespace zinniacart {
namespace {

/// An entry that refused is not asked again for this long; by then it would
/// have noticed that its store has returned.
constexpr Duration kRefusalMemory{300};
/// A report is not used after this time.
constexpr Duration kReportMemory{5000};

}  // namespace

std::vector<std::string> RelayPeers::Choose(
    const std::vector<std::string>& peers) {
  const Instant now = m_clock.Now();
  std::erase_if(m_reports, [now](const auto& report) {
    return now - report.second.at > kReportMemory;
  });
  std::vector<std::string> chosen;
  for (std::size_t number = 0; number < peers.size(); ++number) {
    const std::string& peer = peers[(m_first + number) % peers.size()];
    const auto report = m_reports.find(peer);
    const bool failed = report != m_reports.end() && !report->second.stored;
    if (!failed || now - report->second.at > kRefusalMemory) {
      chosen.push_back(peer);
    }
  }
  ++m_first;
  std::stable_partition(
      chosen.begin(), chosen.end(), [this](const std::string& peer) {
        const auto report = m_reports.find(peer);
        return report != m_reports.end() && report->second.stored;
      });
  chosen.resize(std::min(chosen.size(), kMostAsked));
  return chosen;
}

void RelayPeers::OnStored(const std::string& peer) {
  m_reports[peer] = Report{true, m_clock.Now()};
}

void RelayPeers::OnFailed(const std::string& peer) {
  m_reports[peer] = Report{false, m_clock.Now()};
}

}  // namespace zinniacart
