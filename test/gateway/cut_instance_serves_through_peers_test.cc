// Callers of an instance that has lost its connections to upstreams must be
// served at their first try, through a peer that still reaches them.

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <list>
#include <mutex>
#include <thread>

#include "link/address.h"
#include "support/gateway_site.h"
#include "support/loopback_engine.h"
#include "support/scripted_server.h"

namespace pomeloring::test {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

// Drops the SYNs of new connections, as a partition does: its accept queue is
// full.
class SilentAddress {
 public:
  SilentAddress() : m_acceptor(m_context) {
    const tcp::endpoint any(asio::ip::address_v4::loopback(), 0);
    m_acceptor.open(any.protocol());
    m_acceptor.bind(any);
    m_acceptor.listen(0);
    for (int i = 0; i < 4; ++i) {
      m_fillers.emplace_back(m_context);
      m_fillers.back().async_connect(m_acceptor.local_endpoint(),
                                     [](boost::system::error_code) {});
    }
  }
  std::string Address() const {
    return fmt::format("127.0.0.1:{}", m_acceptor.local_endpoint().port());
  }

 private:
  asio::io_context m_context;
  tcp::acceptor m_acceptor;
  std::list<tcp::socket> m_fillers;
};

// Upstreams of both services, which complete every request.
struct Upstreams {
  Upstreams() {
    for (const std::string service : {"engines", "engines", "plain", "plain"}) {
      servers.emplace_back([this, service](const std::string& head) {
        const std::lock_guard lock(mutex);
        arrivals.push_back(head);
        return EngineReply{.bytes = service == "plain"
                                        ? SignedReply(200, "done")
                                        : StreamHead() + StreamEvent(1) +
                                              kStreamEnd};
      });
      listed.push_back({fmt::format("u{}", listed.size()), service,
                        servers.back().Address()});
    }
  }

  std::mutex mutex;
  std::vector<std::string> arrivals;
  std::vector<SiteUpstream> listed;
  std::list<LoopbackEngine> servers;
};

// Two instances with the same upstreams; the first reaches those that `cut`
// names at another address.
struct CutPair {
  CutPair(const Upstreams& upstreams,
          const std::vector<std::string>& cut,
          const std::string& cut_address)
      : second(upstreams.listed,
               {},
               {"gateway-2", second_address, {first_address}}),
        first(Relisted(upstreams.listed, cut, cut_address),
              {},
              {"gateway-1", first_address, {second_address}}) {
    // Until the members know each other.
    std::this_thread::sleep_for(std::chrono::milliseconds(1500));
  }

  static std::vector<SiteUpstream> Relisted(std::vector<SiteUpstream> upstreams,
                                            const std::vector<std::string>& cut,
                                            const std::string& address) {
    for (SiteUpstream& upstream : upstreams) {
      if (std::find(cut.begin(), cut.end(), upstream.id) != cut.end()) {
        upstream.address = address;
      }
    }
    return upstreams;
  }

  const std::string first_address = ClosedAddress();
  const std::string second_address = ClosedAddress();
  GatewaySite second;
  GatewaySite first;
};

constexpr const char* kPaths[] = {"/draft/1", "/ask/1", "/check/1", "/stamp/1"};

// Each request is served, runs once, and carries the account that the first
// instance has found for its key, but not the key.
void CheckAllServed(Upstreams& upstreams, const CutPair& pair) {
  for (int round = 0; round < 3; ++round) {
    for (const char* path : kPaths) {
      CAPTURE(std::string(path));
      upstreams.arrivals.clear();
      const std::string reply = pair.first.PostRequest(path);
      CHECK(reply.starts_with("HTTP/1.1 200"));
      CHECK(reply.find("X-Response-Seal: seal-1") != std::string::npos);
      CHECK((reply.ends_with("done") || reply.ends_with(kStreamEnd)));
      const std::lock_guard lock(upstreams.mutex);
      REQUIRE(upstreams.arrivals.size() == 1);
      CHECK(upstreams.arrivals[0].find("X-Tenant: one") != std::string::npos);
      CHECK(upstreams.arrivals[0].find("key-1") == std::string::npos);
    }
  }
}

TEST_CASE("An instance whose connections are refused serves its callers") {
  Upstreams upstreams;
  const CutPair pair(upstreams, {"u0", "u1", "u2", "u3"}, RefusingAddress());
  CheckAllServed(upstreams, pair);
}

TEST_CASE("An instance whose connections are not answered serves its callers") {
  Upstreams upstreams;
  const SilentAddress silent;
  const CutPair pair(upstreams, {"u0", "u1", "u2", "u3"}, silent.Address());
  CheckAllServed(upstreams, pair);
}

TEST_CASE("An instance that has lost one of two services serves its callers") {
  Upstreams upstreams;
  const SilentAddress silent;
  const CutPair pair(upstreams, {"u2", "u3"}, silent.Address());
  CheckAllServed(upstreams, pair);
}

TEST_CASE("What no instance reaches is refused as not run") {
  Upstreams upstreams;
  const std::string closed = RefusingAddress();
  for (SiteUpstream& upstream : upstreams.listed) {
    upstream.address = closed;
  }
  const CutPair pair(upstreams, {}, closed);
  for (const char* path : kPaths) {
    const std::string reply = pair.first.PostRequest(path);
    CHECK(reply.starts_with("HTTP/1.1 503"));
    CHECK(reply.find("Retry-After") != std::string::npos);
  }
}

}  // namespace
}  // namespace pomeloring::test
