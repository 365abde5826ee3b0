#include "net/http_client.h"

#include <CppUTest/TestHarness.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "net/http_server.h"

using namespace zinniacart;
using namespace zinniacart::net;
using boost::asio::ip::tcp;

namespace {

constexpr Duration kTimeout{5000};
constexpr const char* kLoopback = "127.0.0.1";

}  // namespace

TEST_GROUP(HttpClient) {
  boost::asio::io_context loop;
  std::vector<Result<Response>> results;

  void Call(HttpClient & client) {
    client.Call(Request{"GET", "/", {}, {}, {}}, kTimeout,
                [this](Result<Response> result) {
                  results.push_back(std::move(result));
                });
  }

  /// Calls a server that answers with `bytes`.
  Result<Response> CallServerThatSends(const std::string& bytes) {
    boost::asio::io_context server_loop;
    tcp::acceptor acceptor(
        server_loop,
        tcp::endpoint(boost::asio::ip::make_address_v4(kLoopback), 0));
    const auto port = acceptor.local_endpoint().port();
    std::thread server([&] {
      tcp::socket socket = acceptor.accept();
      std::string request;
      boost::system::error_code ignored;
      boost::asio::read_until(socket, boost::asio::dynamic_buffer(request),
                              "\r\n\r\n", ignored);
      boost::asio::write(socket, boost::asio::buffer(bytes), ignored);
    });
    const auto client = HttpClient::Create(loop, Address{kLoopback, port});
    Call(*client);
    loop.restart();
    while (results.empty()) {
      loop.run_one();
    }
    server.join();
    return results.back();
  }
};

/// Guards against an interim response that is taken for the final one, and
/// whose final response would then be taken for the next one.
TEST(HttpClient, InterimResponsesAreSkipped) {
  const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
  const auto result = CallServerThatSends(
      interim + interim + "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx");
  CHECK(result.has_value());
  LONGS_EQUAL(200, result->status);
  STRCMP_EQUAL("x", result->body.c_str());
}

TEST(HttpClient, EndlessInterimResponsesFail) {
  std::string interims;
  for (int count = 0; count < 100; ++count) {
    interims += "HTTP/1.1 103 Early Hints\r\na: b\r\n\r\n";
  }
  const auto result = CallServerThatSends(interims);
  CHECK(result.error().code == ErrorCode::kOutcomeUnknown);
}

/// Guards against calls without an answer that use up the descriptors.
TEST(HttpClient, CallsBeyondTheConnectionsAreNotSent) {
  std::vector<Responder> waiting;
  HttpServer server(loop, ServerLimits{},
                    [&](const Request&, const Responder& respond) {
                      waiting.push_back(respond);
                    });
  ClientLimits limits;
  limits.most_connections = 2;
  const auto client = HttpClient::Create(
      loop, Address{kLoopback, *server.Listen(kLoopback, 0)}, limits);
  for (int call = 0; call < 3; ++call) {
    Call(*client);
  }
  while (waiting.size() < 2 || results.empty()) {
    loop.run_one();
  }
  LONGS_EQUAL(1, results.size());
  CHECK(results.front().error().code == ErrorCode::kUnreachable);
  for (const Responder& respond : waiting) {
    respond(Response{200, {}, {}});
  }
  while (results.size() < 3) {
    loop.run_one();
  }
  CHECK(results.back().has_value());
}
