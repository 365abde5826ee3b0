#pragma once

#include "base/strong_type.h"

namespace zinniacart {

using HostId = StrongType<struct HostIdTag, std::string>;
using EntryId = StrongType<struct EntryIdTag, std::string>;
using DomainId = StrongType<struct DomainIdTag, std::string>;
using ServiceId = StrongType<struct ServiceIdTag, std::string>;
using BackendId = StrongType<struct BackendIdTag, std::string>;
using TeamId = StrongType<struct TeamIdTag, std::string>;
using JobId = StrongType<struct JobIdTag, std::string>;
using TaskId = StrongType<struct TaskIdTag, std::string>;
using RequestId = StrongType<struct RequestIdTag, std::string>;
using CheckpointId = StrongType<struct CheckpointIdTag, std::string>;
using StoreKey = StrongType<struct StoreKeyTag, std::string>;
using LeaseId = StrongType<struct LeaseIdTag, std::string>;

/// Which run of a process is meant; a restart draws a new one.
using Incarnation = StrongType<struct IncarnationTag, std::uint64_t>;
/// Counts the placements of one task.
using Generation = StrongType<struct GenerationTag, std::uint64_t>;
/// Counts the owners of one shard.
using Epoch = StrongType<struct EpochTag, std::uint64_t>;
using ShardId = StrongType<struct ShardIdTag, std::uint32_t>;
/// Position in the configuration's change log.
using ConfigSerial = StrongType<struct ConfigSerialTag, std::uint64_t>;
/// Version of one key in the platform's store; 0 means "absent".
using StoreVersion = StrongType<struct StoreVersionTag, std::uint64_t>;

/// @returns the shard that holds the work of `team`, out of `shard_count`.
ShardId ShardOf(const TeamId& team, std::uint32_t shard_count);

/// @returns a stable 64-bit hash of `text`, equal on every host (FNV-1a).
std::uint64_t StableHash(const std::string& text);

}  // namespace zinniacart
