#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace zinniacart {

/// Buffers lines and writes them to a file descriptor without ever blocking on
/// a slow reader. A line that does not fit into the buffer is dropped and
/// counted. Not thread-safe: use it on the event loop's thread only.
class BoundedOutput final {
 public:
  /// @param descriptor is made non-blocking; the caller keeps ownership and
  /// closes it.
  /// @param max_buffered_bytes size limit of the buffer, in bytes.
  explicit BoundedOutput(int descriptor,
                         std::size_t max_buffered_bytes = 256U << 10U);

  /// Appends `line` and a newline to the buffer, or drops the line when the
  /// buffer would exceed its limit.
  void Add(const std::string& line);
  /// Writes as much of the buffer as the descriptor accepts without blocking;
  /// the rest stays buffered. A write error also leaves the data buffered.
  void Flush();

  /// @returns the number of lines dropped since the last call; resets it to 0.
  std::uint64_t TakeDropped();

 private:
  const int m_descriptor;
  const std::size_t m_max_buffered_bytes;
  std::string m_buffer;
  std::uint64_t m_dropped = 0;
};

}  // namespace zinniacart
