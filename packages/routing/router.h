#pragma once

#include <map>
#include <random>
#include <set>
#include <string>

#include "base/error.h"
#include "base/ids.h"
#include "configuration/configuration.h"
#include "membership/host_table.h"

namespace zinniacart {

/// Where one request goes.
struct Route {
  HostId host;
  std::string address;
  BackendId backend;
  Stamp stamp;
};

/// Chooses backend servers: of two random candidates the one with less work
/// per slot, candidates in the entry's own failure domain first; other
/// domains are taken only while the own one is saturated or gone.
///
/// Work is what the agent last announced or what this entry has in flight
/// there, whichever is more, so a stale announcement cannot hide a burst.
class Router final {
 public:
  /// @param own_domain the failure domain of this entry.
  /// @param seed       of the random choice.
  Router(DomainId own_domain, std::uint64_t seed);

  /// Chooses a route and counts it as in flight until `Complete`.
  /// @param excluded backend servers that have refused this request.
  /// @returns `kNoBackend` where none announces the service, `kDraining`
  /// where all of them are leaving, `kOverloaded` where all are excluded.
  Result<Route> Choose(const ServiceId& service,
                       const HostTable& hosts,
                       const Configuration& configuration,
                       const std::set<BackendId>& excluded);

  /// Ends the counting of a route that `Choose` gave.
  void Complete(const BackendId& backend);

 private:
  struct Candidate {
    HostTable::BackendRow row;
    int work = 0;
    int slots = 1;
    bool Saturated() const { return work >= slots; }
  };
  const Candidate& BetterOfTwo(const std::vector<Candidate>& candidates);

  const DomainId m_own_domain;
  std::mt19937_64 m_random;
  std::map<BackendId, int> m_in_flight;
};

}  // namespace zinniacart
