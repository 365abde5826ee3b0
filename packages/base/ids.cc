#include "base/ids.h"

namespace zinniacart {

std::uint64_t StableHash(const std::string& text) {
  constexpr std::uint64_t kOffsetBasis = 14695981039346656037ull;
  constexpr std::uint64_t kPrime = 1099511628211ull;
  std::uint64_t hash = kOffsetBasis;
  for (const char character : text) {
    hash ^= static_cast<unsigned char>(character);
    hash *= kPrime;
  }
  // FNV-1a mixes the last bytes weakly, so that similar names would get close
  // hashes; a final avalanche step spreads them.
  hash ^= hash >> 32;
  hash *= 0x9E3779B97F4A7C15ull;
  return hash ^ (hash >> 29);
}

ShardId ShardOf(const TeamId& team, std::uint32_t shard_count) {
  const std::uint64_t hash = StableHash(team.value());
  return ShardId(static_cast<std::uint32_t>(hash % shard_count));
}

}  // namespace zinniacart
