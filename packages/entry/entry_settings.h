#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "ports/http_endpoint.h"

namespace zinniacart {

/// What an entry is told at its start.
struct EntrySettings {
  EntryId entry;
  DomainId domain;
  Endpoint callers;           ///< Where callers reach it.
  Endpoint operators;         ///< Where operators, metrics and health reach it.
  Endpoint rpc;               ///< Where agents and other entries reach it.
  Endpoint store;             ///< The platform's store.
  std::uint32_t shards = 16;  ///< Equal on all entries of one site.
  int caller_threads = 512;   ///< Caller connections served at once.
  Duration drain_time{2'000};  ///< From "leaving" to closing the listener.
};

}  // namespace zinniacart
