#pragma once

#include "base/strong_type.h"

namespace zinniacart {

using HostId = StrongType<struct HostIdTag, std::string>;
using EntryId = StrongType<struct EntryIdTag, std::string>;
using DomainId = StrongType<struct DomainIdTag, std::string>;
/// Name of a host at the platform's machine service; outlives its workers.
using MachineId = StrongType<struct MachineIdTag, std::string>;
using ServiceId = StrongType<struct ServiceIdTag, std::string>;
using BackendId = StrongType<struct BackendIdTag, std::string>;
using TeamId = StrongType<struct TeamIdTag, std::string>;
using JobId = StrongType<struct JobIdTag, std::string>;
using TaskId = StrongType<struct TaskIdTag, std::string>;
using RequestId = StrongType<struct RequestIdTag, std::string>;
using CheckpointId = StrongType<struct CheckpointIdTag, std::string>;
using StoreKey = StrongType<struct StoreKeyTag, std::string>;
using LeaseId = StrongType<struct LeaseIdTag, std::string>;

/// Identifies one run of a process; each restart gets a new value.
using Incarnation = StrongType<struct IncarnationTag, std::uint64_t>;
/// Number of the placement of a task; grows with each new placement.
using Generation = StrongType<struct GenerationTag, std::uint64_t>;
/// Number of the ownership of a shard; grows with each new owner.
using Epoch = StrongType<struct EpochTag, std::uint64_t>;
using ShardId = StrongType<struct ShardIdTag, std::uint32_t>;
/// Position of a change in the configuration's change log.
using ConfigSerial = StrongType<struct ConfigSerialTag, std::uint64_t>;
/// Version of a key in the platform's store; 0 means that the key is absent.
using StoreVersion = StrongType<struct StoreVersionTag, std::uint64_t>;

/// Maps a team to the shard that holds its work. All entries of a site must use
/// the same `shard_count`.
/// @param shard_count number of shards of the site; at least 1.
/// @returns a shard from 0 to `shard_count` - 1.
ShardId ShardOf(const TeamId& team, std::uint32_t shard_count);

/// @returns a 64-bit hash of `text` (FNV-1a with a final mixing step), which is
/// equal on every host and in every run.
std::uint64_t StableHash(const std::string& text);

}  // namespace zinniacart
