// A request that a peer sends to an upstream must keep the promises of one that
// the instance sends itself: it runs once, its caller's leaving stops it, and
// only instances of the fleet may send one.

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <boost/asio/write.hpp>
#include <list>
#include <thread>

#include "gateway/peer_attempt.h"
#include "gateway/upstream_attempt.h"
#include "link/address.h"
#include "support/gateway_site.h"
#include "support/loopback_engine.h"
#include "support/scripted_server.h"

namespace pomeloring::test {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

// Two instances, of which only the second reaches the upstream at `address`.
struct CutPair {
  CutPair(const std::string& service,
          const std::string& address,
          const std::string& from_first = RefusingAddress())
      : second({{"u0", service, address}},
               {},
               {"gateway-2", second_address, {first_address}}),
        first({{"u0", service, from_first}},
              {},
              {"gateway-1", first_address, {second_address}}) {
    // Until the members know each other.
    std::this_thread::sleep_for(std::chrono::milliseconds(1500));
  }

  const std::string first_address = ClosedAddress();
  const std::string second_address = ClosedAddress();
  GatewaySite second;
  GatewaySite first;
};

// An upstream that counts its requests and answers each with `reply`.
struct CountingUpstream {
  explicit CountingUpstream(const EngineReply& reply)
      : server([this, reply](const std::string&) {
          ++requests;
          return reply;
        }) {}
  std::atomic<int> requests{0};
  LoopbackEngine server;
};

TEST_CASE("What breaks behind the peer may have run, and is not repeated") {
  CountingUpstream upstream({.exits = true});
  const CutPair pair("plain", upstream.server.Address());
  CHECK(pair.first.PostRequest("/stamp/1").starts_with("HTTP/1.1 502"));
  CHECK(upstream.requests == 1);
}

TEST_CASE("An upstream cannot state that the peer has not sent the request") {
  CountingUpstream upstream(
      {.bytes = SignedReply(
           200, "done",
           fmt::format("{}: {}\r\n", kPeerOutcomeField, "upstream-lost"))});
  const CutPair pair("plain", upstream.server.Address());
  const std::string reply = pair.first.PostRequest("/stamp/1");
  CHECK(reply.starts_with("HTTP/1.1 200"));
  CHECK(reply.find(kPeerOutcomeField) == std::string::npos);
  CHECK(upstream.requests == 1);
}

// An address that another test could listen on gave this caller the reply of an
// upstream of that test.
TEST_CASE(
    "No server can take the address of the upstream that is not reached") {
  const auto endpoint = ParseTcpAddress(RefusingAddress());
  REQUIRE(endpoint);
  asio::io_context context;
  boost::system::error_code error;
  tcp::acceptor other(context);
  other.open(endpoint->protocol());
  other.set_option(asio::socket_base::reuse_address(true));
  other.bind(*endpoint, error);
  CHECK(error == asio::error::address_in_use);
  tcp::socket caller(context);
  caller.connect(*endpoint, error);
  CHECK(error == asio::error::connection_refused);
}

TEST_CASE("A failure of the upstream is passed on with its status and fields") {
  CountingUpstream upstream(
      {.bytes = SignedReply(500, "failed", "X-Detail: disk\r\n")});
  const CutPair pair("plain", upstream.server.Address());
  const std::string reply = pair.first.PostRequest("/stamp/1");
  CAPTURE(reply);
  CHECK(reply.starts_with("HTTP/1.1 500"));
  CHECK(reply.find("X-Response-Seal: seal-1") != std::string::npos);
  CHECK(reply.find("X-Detail: disk") != std::string::npos);
  CHECK(reply.ends_with("failed"));
}

TEST_CASE("A truncated stream does not look complete") {
  CountingUpstream upstream({.bytes = StreamHead() + StreamEvent(1)});
  const CutPair pair("engines", upstream.server.Address());
  const std::string reply = pair.first.PostRequest("/ask/1");
  CHECK(reply.find("id: 1") != std::string::npos);
  CHECK_FALSE(reply.ends_with(kStreamEnd));
}

TEST_CASE("A caller that leaves frees the upstream") {
  ScriptedServer upstream({Script{.reply = "", .stays_open = true}});
  const CutPair pair("plain", upstream.Address());
  pair.first.SendWithIdleTimeout(
      "GET /check/1 HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: r1\r\n"
      "X-Key: key-1\r\n\r\n",
      std::chrono::milliseconds(300));
  CHECK(upstream.IsClosedWithin(std::chrono::milliseconds(500)));
}

// Connections to it are neither accepted nor refused.
class HangingAddress {
 public:
  HangingAddress() : m_acceptor(m_context) {
    m_acceptor.open(tcp::v4());
    m_acceptor.bind({asio::ip::address_v4::loopback(), 0});
    m_acceptor.listen(0);
    for (int i = 0; i < 8; ++i) {
      m_fillers.emplace_back(m_context).async_connect(
          m_acceptor.local_endpoint(), [](auto) {});
    }
    m_context.run_for(std::chrono::milliseconds(50));
  }
  std::string Address() const {
    return fmt::format("127.0.0.1:{}", m_acceptor.local_endpoint().port());
  }

 private:
  asio::io_context m_context;
  tcp::acceptor m_acceptor;
  std::list<tcp::socket> m_fillers;
};

TEST_CASE("The upstream is told the time that is left when the peer is asked") {
  std::atomic<int> told_ms = 0;
  LoopbackEngine upstream([&](const std::string& head) {
    const std::string_view field = "X-Deadline-Ms: ";
    told_ms = std::stoi(head.substr(head.find(field) + field.size()));
    return EngineReply{.bytes = SignedReply(200, "done")};
  });
  const HangingAddress hanging;
  const CutPair pair("plain", upstream.Address(), hanging.Address());
  // Its deadline is 1500 ms. The instance waits 300 ms for a connection first.
  CHECK(pair.first.PostRequest("/stamp/1").starts_with("HTTP/1.1 200"));
  CHECK(told_ms > 0);
  CHECK(told_ms <= 1200);
}

TEST_CASE("A process that is no instance cannot send through a peer") {
  CountingUpstream upstream({.bytes = SignedReply(200, "done")});
  const CutPair pair("plain", upstream.server.Address());
  const PeerAttempt attempts[] = {
      {{"gateway-1"}, {1}, {"u0"}, "r1", true, false, "GET / HTTP/1.1\r\n\r\n"},
      {{"stranger"}, {1}, {"u0"}, "r1", true, false, "GET / HTTP/1.1\r\n\r\n"},
  };
  for (const PeerAttempt& attempt : attempts) {
    asio::io_context context;
    tcp::socket socket(context);
    socket.connect(*ParseTcpAddress(pair.second_address));
    asio::write(socket,
                asio::buffer(WritePeerAttempt(attempt, pair.second_address)));
    std::array<char, 1024> reply{};
    const size_t size = socket.read_some(asio::buffer(reply));
    CHECK(std::string_view(reply.data(), size).starts_with("HTTP/1.1 502"));
  }
  CHECK(upstream.requests == 0);
}

// A peer that has registrations but no configuration yet crashed at a request.
TEST_CASE("An instance without a configuration has a share of connections") {
  const Router router(RouterSettings{});
  CHECK(MaxConnectionsTo(router, {"plain"}, Time{seconds(1)}) == 1);
}

TEST_CASE("Malformed attempts are refused") {
  CHECK_FALSE(DecodePeerAttempt("\xff\xff"));
  CHECK_FALSE(DecodePeerAttempt(""));
  CHECK_FALSE(ParsePeerOutcome("done"));
  for (const PeerOutcome outcome :
       {PeerOutcome::kReplied, PeerOutcome::kConnected, PeerOutcome::kRefused,
        PeerOutcome::kUpstreamLost, PeerOutcome::kBusy,
        PeerOutcome::kUpstreamBlock, PeerOutcome::kBroken,
        PeerOutcome::kSilent}) {
    CHECK(ParsePeerOutcome(ToString(outcome)) == outcome);
  }
}

}  // namespace
}  // namespace pomeloring::test
