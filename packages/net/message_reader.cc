#include "net/message_reader.h"

#include <algorithm>

namespace zinniacart::net {

namespace http = boost::beast::http;
using boost::system::error_code;

template <bool is_request>
void MessageReader<is_request>::Begin(std::size_t max_header_bytes,
                                      std::size_t max_body_bytes) {
  m_parser.emplace();
  m_parser->header_limit(static_cast<std::uint32_t>(max_header_bytes));
  m_parser->body_limit(max_body_bytes);
  m_max_header_bytes = max_header_bytes;
  m_header_bytes = 0;
  m_lines = 0;
  m_buffer.max_size(max_header_bytes + kReadBytes);
}

template <bool is_request>
boost::asio::mutable_buffer MessageReader<is_request>::Prepare() {
  const std::size_t size = m_buffer.size();
  // A connection that has sent little gets little memory.
  const std::size_t wanted =
      m_parser->is_header_done()
          ? kReadBytes
          : std::clamp(std::max(m_buffer.capacity() - size, size),
                       kFirstReadBytes, kReadBytes);
  return m_buffer.prepare(std::min(wanted, m_buffer.max_size() - size));
}

template <bool is_request>
ReadProgress MessageReader<is_request>::Parse() {
  while (m_buffer.size() > 0) {
    const bool in_header = !m_parser->is_header_done();
    if (AwaitsChunkHeader() && m_buffer.size() < kLastChunkBytes) {
      return ReadProgress::kNeedMore;
    }
    error_code error;
    const std::size_t used = m_parser->put(m_buffer.cdata(), error);
    if (in_header || (m_parser->is_done() && m_parser->chunked())) {
      CountHeaderBytes(used);
    }
    m_buffer.consume(used);
    if (error == http::error::body_limit) {
      return ReadProgress::kBodyTooLarge;
    }
    if (error == http::error::header_limit ||
        (in_header && m_header_bytes > m_max_header_bytes) ||
        (error == http::error::need_more &&
         m_buffer.size() > m_max_header_bytes)) {
      return ReadProgress::kHeaderTooLarge;
    }
    if (error && error != http::error::need_more) {
      return ReadProgress::kMalformed;
    }
    if (m_parser->is_done()) {
      return ReadProgress::kComplete;
    }
    if (error == http::error::need_more) {
      return ReadProgress::kNeedMore;
    }
  }
  return ReadProgress::kNeedMore;
}

template <bool is_request>
void MessageReader<is_request>::CountHeaderBytes(std::size_t used) {
  const auto* text = static_cast<const char*>(m_buffer.cdata().data());
  m_header_bytes += used;
  m_lines += static_cast<std::size_t>(std::count(text, text + used, '\n'));
}

template <bool is_request>
ReadProgress MessageReader<is_request>::ParseEnd() {
  if (!m_parser->got_some()) {
    return ReadProgress::kMalformed;
  }
  error_code error;
  m_parser->put_eof(error);
  return error ? ReadProgress::kMalformed : ReadProgress::kComplete;
}

template <bool is_request>
typename MessageReader<is_request>::Message
MessageReader<is_request>::TakeMessage() {
  Message message = m_parser->release();
  m_parser.reset();
  return message;
}

template <bool is_request>
void MessageReader<is_request>::Clear() {
  m_parser.reset();
  m_buffer.clear();
  m_buffer.shrink_to_fit();
}

template <bool is_request>
void MessageReader<is_request>::ShrinkBuffer() {
  if (m_buffer.size() == 0 && m_buffer.capacity() > kKeptBufferBytes) {
    m_buffer.clear();
    m_buffer.shrink_to_fit();
  }
}

template <bool is_request>
std::size_t MessageReader<is_request>::HeldBytes() const {
  const std::size_t body = m_parser ? m_parser->get().body().capacity() : 0;
  return m_buffer.capacity() + m_header_bytes + m_lines * kFieldBytes + body;
}

template class MessageReader<true>;
template class MessageReader<false>;

}  // namespace zinniacart::net
