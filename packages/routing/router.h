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

/// The backend server chosen for one request.
struct Route {
  HostId host;
  std::string address;  ///< "ip:port" of the host's agent.
  BackendId backend;
  Stamp stamp;  ///< Of the host's announcement; the agent checks its age.
};

/// Chooses backend servers for requests: of two random candidates, the one with
/// less work. Candidates are in the entry's own failure domain; other domains
/// are used only while all servers of the own one are saturated or none is
/// available.
///
/// The work of a server is the larger of what its agent last announced, running
/// and queued, and what this entry has in flight there, so that an outdated
/// announcement cannot hide a burst. A server is saturated when its work
/// reaches its slots. Not thread-safe.
class Router final {
 public:
  /// @param own_domain the failure domain of this entry.
  /// @param seed       of the random choice, for reproducible tests.
  Router(DomainId own_domain, std::uint64_t seed);

  /// Chooses a route and counts it as in flight until `Complete`.
  /// @param excluded backend servers that have refused this request.
  /// @returns `kNoBackend` where none announces the service, `kDraining` where
  /// all of them are draining or taken out by operators, `kOverloaded` where
  /// all others are excluded.
  Result<Route> Choose(const ServiceId& service,
                       const HostTable& hosts,
                       const Configuration& configuration,
                       const std::set<BackendId>& excluded);

  /// Stops counting a request to `backend` as in flight; call it once for each
  /// route that `Choose` returned.
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
