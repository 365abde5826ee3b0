#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "configuration/configuration.h"
#include "membership/host_table.h"
#include "placement/shard_owner.h"
#include "routing/retry_budget.h"
#include "routing/router.h"

namespace zinniacart {

/// The shared state of one entry. All members are guarded by `mutex`, so that
/// each decision sees a consistent state. Decisions are short, and nothing in
/// here does I/O.
struct EntryState {
  /// @param domain the failure domain of this entry.
  EntryState(DomainId domain, Incarnation instance)
      : hosts(instance), router(std::move(domain), instance.value()) {}

  std::mutex mutex;
  HostTable hosts;
  std::shared_ptr<const Configuration> configuration =
      std::make_shared<Configuration>();
  Router router;
  RetryBudget retries;
  std::vector<EntryInfo> entries;
  /// The serial of the configuration that each other entry has in force.
  std::map<EntryId, ConfigSerial> entry_serials;
  /// Null until this entry has a session with the store.
  std::unique_ptr<ShardOwner> owner;
};

}  // namespace zinniacart
