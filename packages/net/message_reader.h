#pragma once

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cstddef>
#include <limits>
#include <optional>
#include <string>

namespace zinniacart::net {

/// A Beast body that grows as bytes arrive, to no more than the declared
/// length. Beast's own `string_body` reserves that length at once, so that a
/// client could occupy memory without sending anything.
struct GrowingBody {
  using value_type = std::string;

  class Reader {
   public:
    template <bool is_request, class Fields>
    Reader(boost::beast::http::header<is_request, Fields>&, std::string& body)
        : m_body(body) {}
    void init(const boost::optional<std::uint64_t>& length,
              boost::system::error_code& error) {
      m_length = length.value_or(std::numeric_limits<std::size_t>::max());
      error = {};
    }
    template <class Buffers>
    std::size_t put(const Buffers& buffers, boost::system::error_code& error) {
      error = {};
      const std::size_t before = m_body.size();
      const std::size_t after = before + boost::beast::buffer_bytes(buffers);
      if (after > m_body.capacity()) {
        m_body.reserve(std::max(after, std::min(2 * after, m_length)));
      }
      for (const auto& part : boost::beast::buffers_range_ref(buffers)) {
        m_body.append(static_cast<const char*>(part.data()), part.size());
      }
      return m_body.size() - before;
    }
    void finish(boost::system::error_code& error) { error = {}; }

   private:
    std::string& m_body;
    std::size_t m_length = 0;
  };
  using reader = Reader;
};

/// How far a message has been read.
enum class ReadProgress {
  kNeedMore,
  kComplete,
  kMalformed,
  kHeaderTooLarge,  ///< Start line, header fields, chunk header or trailers.
  kBodyTooLarge,
};

/// Parses the HTTP messages of one connection from the bytes that it receives,
/// in steps. Each part of a message is bounded, so that a message without end
/// is noticed while it occupies little memory.
/// @tparam is_request whether the messages are requests or responses.
template <bool is_request>
class MessageReader final {
 public:
  using Message = boost::beast::http::message<is_request, GrowingBody>;

  /// Begins a message, with the bytes that follow the previous one.
  /// @param max_header_bytes bounds the start line with the header fields, and
  ///                         each chunk header and the trailers.
  void Begin(std::size_t max_header_bytes, std::size_t max_body_bytes);

  /// @returns memory for the next bytes; call `Commit` with their number.
  boost::asio::mutable_buffer Prepare();
  void Commit(std::size_t bytes) { m_buffer.commit(bytes); }

  /// Parses the bytes received.
  ReadProgress Parse();
  /// The peer has closed the connection.
  /// @returns `kComplete` where that ends the body, otherwise `kMalformed`.
  ReadProgress ParseEnd();

  /// @returns the complete message.
  Message TakeMessage();

  /// Releases the memory of the message and of the buffer.
  void Clear();
  /// Releases the buffer's memory if it is large and empty.
  void ShrinkBuffer();

  bool has_unparsed_bytes() const { return m_buffer.size() > 0; }
  /// @returns about how much memory the message and the buffer occupy.
  std::size_t HeldBytes() const;

 private:
  /// Bytes that are read at once, and at first.
  static constexpr std::size_t kReadBytes = 16384;
  static constexpr std::size_t kFirstReadBytes = 1024;
  /// A buffer up to this size is kept between messages.
  static constexpr std::size_t kKeptBufferBytes = 4096;
  /// Upper bound of the memory of one header field beyond its text: Beast's
  /// node, and the pair of strings in `net::Headers`.
  static constexpr std::size_t kFieldBytes = 160;
  /// The shortest rest of a chunked message. Beast's parser asserts that it
  /// gets at least as much at once after the last chunk's size.
  static constexpr std::size_t kLastChunkBytes = 5;

  bool AwaitsChunkHeader() const {
    return m_parser->is_header_done() && m_parser->chunked();
  }
  void CountHeaderBytes(std::size_t used);

  boost::beast::flat_buffer m_buffer{0};
  std::optional<boost::beast::http::parser<is_request, GrowingBody>> m_parser;
  std::size_t m_max_header_bytes = 0;
  std::size_t m_header_bytes = 0;
  std::size_t m_lines = 0;
};

}  // namespace zinniacart::net
