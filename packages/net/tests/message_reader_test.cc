#include "net/message_reader.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <cstring>
#include <string>

using namespace zinniacart::net;

namespace {

constexpr std::size_t kMaxHeader = 32768;
constexpr std::size_t kMaxBody = 1U << 20U;
const std::string kChunked =
    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";

}  // namespace

TEST_GROUP(MessageReader) {
  MessageReader<true> reader;

  void setup() override {
    reader.Begin(kMaxHeader, kMaxBody);
  }

  /// Passes `text` on in pieces of `piece` bytes, until the message is complete
  /// or refused.
  ReadProgress Read(const std::string& text, std::size_t piece) {
    ReadProgress progress = ReadProgress::kNeedMore;
    std::size_t at = 0;
    while (at < text.size() && progress == ReadProgress::kNeedMore) {
      const auto space = reader.Prepare();
      const std::size_t size =
          std::min({space.size(), piece, text.size() - at});
      std::memcpy(space.data(), text.data() + at, size);
      reader.Commit(size);
      at += size;
      progress = reader.Parse();
      CHECK(reader.HeldBytes() < kMaxBody * 3);
    }
    return progress;
  }

  void CheckProgress(ReadProgress expected, const std::string& text) {
    for (const std::size_t piece :
         {std::size_t{1}, std::size_t{7}, text.size()}) {
      reader.Begin(kMaxHeader, kMaxBody);
      CHECK(expected == Read(text, piece));
      reader.Clear();
    }
  }
};

/// Guards against an assertion in Beast's parser, which ended the process where
/// the last chunk arrived in pieces.
TEST(MessageReader, APieceMayEndAnywhere) {
  CheckProgress(ReadProgress::kComplete,
                kChunked + "3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n");
  CheckProgress(ReadProgress::kComplete, kChunked + "0\r\n\r\n");
  CheckProgress(ReadProgress::kComplete, kChunked + "0\r\na: b\r\n\r\n");
  CheckProgress(ReadProgress::kComplete, "GET / HTTP/1.1\r\na: b\r\n\r\n");
}

/// Guards against parts of one message that are not bounded.
TEST(MessageReader, EveryPartIsBounded) {
  const std::string endless(2 * kMaxHeader, '0');
  std::string fields;
  while (fields.size() < 2 * kMaxHeader) {
    fields += "name: value\r\n";
  }
  CheckProgress(ReadProgress::kHeaderTooLarge, "GET /" + endless);
  CheckProgress(ReadProgress::kHeaderTooLarge, "GET / HTTP/1.1\r\n" + fields);
  CheckProgress(ReadProgress::kHeaderTooLarge, kChunked + endless);
  CheckProgress(ReadProgress::kHeaderTooLarge, kChunked + "1;x=" + endless);
  CheckProgress(ReadProgress::kHeaderTooLarge, kChunked + "0\r\n" + fields);
  CheckProgress(ReadProgress::kBodyTooLarge, kChunked + "fffffff\r\n");
  CheckProgress(ReadProgress::kBodyTooLarge,
                "POST / HTTP/1.1\r\nContent-Length: 1048577\r\n\r\n");
}

TEST(MessageReader, WhatFollowsAMessageBelongsToTheNext) {
  const std::string two =
      "POST /1 HTTP/1.1\r\nContent-Length: 1\r\n\r\nxGET /2 HTTP/1.1\r\n\r\n";
  CHECK(ReadProgress::kComplete == Read(two, two.size()));
  STRCMP_EQUAL("x", reader.TakeMessage().body().c_str());
  CHECK(reader.has_unparsed_bytes());
  reader.Begin(kMaxHeader, kMaxBody);
  CHECK(ReadProgress::kComplete == reader.Parse());
  STRCMP_EQUAL("/2", std::string(reader.TakeMessage().target()).c_str());
}

/// Guards against a declared length that occupies memory before it arrives.
TEST(MessageReader, ADeclaredBodyHoldsOnlyWhatHasArrived) {
  CHECK(ReadProgress::kNeedMore ==
        Read("POST / HTTP/1.1\r\nContent-Length: 1048576\r\n\r\nx", 4096));
  CHECK(reader.HeldBytes() < 8192);
}
