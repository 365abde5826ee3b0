#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace zinniacart {

/// Collects lines and writes them to a descriptor without ever waiting for its
/// reader: what does not fit is dropped and counted. For the event loop's
/// thread only.
class BoundedOutput final {
 public:
  /// @param descriptor made non-blocking; not closed.
  /// @param most_bytes what is kept for a slow reader.
  explicit BoundedOutput(int descriptor, std::size_t most_bytes = 256U << 10U);

  /// Keeps `line` for the next flush.
  void Add(const std::string& line);
  /// Writes what the reader takes now.
  void Flush();

  /// @returns how many lines were dropped since the last call.
  std::uint64_t TakeDropped();

 private:
  const int m_descriptor;
  const std::size_t m_most_bytes;
  std::string m_buffer;
  std::uint64_t m_dropped = 0;
};

}  // namespace zinniacart
