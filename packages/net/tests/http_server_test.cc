#include "net/http_server.h"

#include <CppUTest/TestHarness.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <optional>
#include <string>
#include <thread>
#include <vector>

using namespace zinniacart;
using namespace zinniacart::net;
using boost::asio::ip::tcp;

namespace {

constexpr const char* kLoopback = "127.0.0.1";
const std::string kGet = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

ServerLimits SmallLimits() {
  ServerLimits limits;
  limits.most_header_bytes = 4096;
  limits.most_body_bytes = 4096;
  limits.request_timeout = Duration(300);
  limits.most_connections = 4;
  return limits;
}

}  // namespace

/// A server whose handler does not respond until it is told to.
TEST_GROUP(HttpServer) {
  boost::asio::io_context loop;
  boost::asio::io_context client_loop;
  std::vector<Responder> waiting;
  std::optional<HttpServer> server;
  std::uint16_t port = 0;

  void Start(const ServerLimits& limits) {
    server.emplace(loop, limits,
                   [this](const Request&, const Responder& respond) {
                     waiting.push_back(respond);
                   });
    port = *server->Listen(kLoopback, 0);
  }

  tcp::socket Connect() {
    tcp::socket socket(client_loop);
    socket.connect(
        tcp::endpoint(boost::asio::ip::make_address_v4(kLoopback), port));
    return socket;
  }

  /// Sends `text` and then reads while the server runs.
  /// @returns what the server sends until it closes the connection.
  std::string Send(const std::string& text) {
    tcp::socket socket = Connect();
    std::string answer;
    bool done = false;
    std::thread client([&] {
      boost::system::error_code ignored;
      boost::asio::write(socket, boost::asio::buffer(text), ignored);
      boost::asio::read(socket, boost::asio::dynamic_buffer(answer), ignored);
      socket.close();
      boost::asio::post(loop, [&] { done = true; });
    });
    while (!done) {
      loop.run_one();
    }
    client.join();
    return answer;
  }

  void RunUntilHandled(std::size_t requests) {
    while (waiting.size() < requests) {
      loop.run_one();
    }
  }

  void CheckStatus(const std::string& status, const std::string& answer) {
    STRCMP_CONTAINS(("HTTP/1.1 " + status).c_str(), answer.c_str());
    STRCMP_CONTAINS("Connection: close", answer.c_str());
  }
};

/// Guards against refusals that the client cannot read because it is still
/// sending when the connection is closed.
TEST(HttpServer, RefusedRequestsGetATypedAnswer) {
  Start(SmallLimits());
  const std::string post = "POST / HTTP/1.1\r\nHost: a\r\n";
  const std::string much(1U << 20U, 'x');
  CheckStatus("400", Send("NOT HTTP\r\n\r\n"));
  CheckStatus("408", Send(post + "Content-Length: 2\r\n\r\nx"));
  CheckStatus("413", Send(post + "Content-Length: 1048576\r\n\r\n" + much));
  CheckStatus("431", Send(post + "a: " + much));
  CheckStatus("431",
              Send(post + "Transfer-Encoding: chunked\r\n\r\n0\r\na: " + much));
  LONGS_EQUAL(0, waiting.size());
  LONGS_EQUAL(2, server->refusals().at("header too large"));
}

/// Guards against refusing or closing what is already being handled, and
/// against keeping a client waiting for a place.
TEST(HttpServer, WithoutAFreeConnectionTheNextOneIsRefused) {
  Start(SmallLimits());
  std::vector<tcp::socket> handled;
  for (int request = 0; request < 3; ++request) {
    handled.push_back(Connect());
    boost::asio::write(handled.back(), boost::asio::buffer(kGet));
  }
  RunUntilHandled(3);
  const std::string refusal = Send(kGet);
  CheckStatus("503", refusal);
  STRCMP_CONTAINS("Retry-After: 1", refusal.c_str());
  LONGS_EQUAL(3, server->requests_in_flight());
}

/// Guards against idle connections that keep others out.
TEST(HttpServer, AnIdleConnectionGivesWay) {
  Start(SmallLimits());
  std::vector<tcp::socket> idle;
  for (int count = 0; count < 8; ++count) {
    idle.push_back(Connect());
  }
  tcp::socket caller = Connect();
  boost::asio::write(caller, boost::asio::buffer(kGet));
  RunUntilHandled(1);
  CHECK(server->open_connections() <= 4);
}

/// Guards against memory that clients of one listener fill together.
TEST(HttpServer, HeldBytesStayUnderTheirBound) {
  ServerLimits limits = SmallLimits();
  limits.most_connections = 100;
  limits.most_body_bytes = 1U << 20U;
  limits.most_held_bytes = 1U << 20U;
  Start(limits);
  std::vector<tcp::socket> clients;
  const std::string half = "POST / HTTP/1.1\r\nContent-Length: 200000\r\n\r\n" +
                           std::string(100000, 'x');
  for (int count = 0; count < 40; ++count) {
    clients.push_back(Connect());
    boost::system::error_code ignored;
    boost::asio::write(clients.back(), boost::asio::buffer(half), ignored);
    loop.poll();
    CHECK(server->held_bytes() <= limits.most_held_bytes);
  }
  CHECK(server->refusals().contains("closed for memory"));
}
