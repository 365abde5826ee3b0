#include "base/bounded_output.h"

#include <fcntl.h>
#include <unistd.h>

#include <utility>

namespace zinniacart {

BoundedOutput::BoundedOutput(int descriptor, std::size_t max_buffered_bytes)
    : m_descriptor(descriptor), m_max_buffered_bytes(max_buffered_bytes) {
  const int flags = fcntl(m_descriptor, F_GETFL);
  if (flags >= 0) {
    fcntl(m_descriptor, F_SETFL, flags | O_NONBLOCK);
  }
}

void BoundedOutput::Add(const std::string& line) {
  if (m_buffer.size() + line.size() + 1 > m_max_buffered_bytes) {
    ++m_dropped;
    return;
  }
  m_buffer += line;
  m_buffer += '\n';
}

void BoundedOutput::Flush() {
  while (!m_buffer.empty()) {
    const ssize_t written =
        ::write(m_descriptor, m_buffer.data(), m_buffer.size());
    if (written <= 0) {
      return;
    }
    m_buffer.erase(0, static_cast<std::size_t>(written));
  }
}

std::uint64_t BoundedOutput::TakeDropped() {
  return std::exchange(m_dropped, 0);
}

}  // namespace zinniacart
