// A stream must go on only at the software version that began it, within one
// answer and when its caller takes it up again, at any instance.

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <list>
#include <mutex>
#include <thread>

#include "support/gateway_site.h"
#include "support/loopback_engine.h"
#include "support/scripted_server.h"

namespace pomeloring::test {
namespace {

constexpr char kTakesUp[] = "Resumes: r1\r\nLast-Event-Id: 1\r\n";

// Engines that break off each stream after one event. Only what a caller takes
// up again is completed.
struct Engines {
  explicit Engines(const std::vector<std::string>& versions) {
    for (const std::string& version : versions) {
      engines.emplace_back([this, version](const std::string& head) {
        const std::lock_guard lock(mutex);
        arrivals.push_back(version);
        if (head.find("Resumes: r1") != std::string::npos) {
          return EngineReply{.bytes =
                                 StreamHead() + StreamEvent(2) + kStreamEnd};
        }
        const bool is_resumed = head.find("Last-Event-Id") != std::string::npos;
        return EngineReply{.bytes =
                               StreamHead() + StreamEvent(is_resumed ? 2 : 1)};
      });
      upstreams.push_back({fmt::format("e{}", upstreams.size()), "engines",
                           engines.back().Address(), version});
    }
  }

  // Returns the versions that requests have reached since the last call.
  std::vector<std::string> TakeArrivals() {
    const std::lock_guard lock(mutex);
    return std::exchange(arrivals, {});
  }

  std::mutex mutex;
  std::vector<std::string> arrivals;
  std::vector<SiteUpstream> upstreams;
  std::list<LoopbackEngine> engines;
};

bool IsOneVersion(const std::vector<std::string>& versions) {
  return std::all_of(versions.begin(), versions.end(),
                     [&](const auto& each) { return each == versions[0]; });
}

TEST_CASE("A broken stream does not go on at another version") {
  Engines engines({"v1", "v2"});
  const GatewaySite site(engines.upstreams);
  const std::string reply = site.PostRequest("/draft/1");
  CHECK(engines.TakeArrivals().size() == 1);
  CHECK(reply.find("id: 1") != std::string::npos);
  CHECK_FALSE(reply.ends_with(kStreamEnd));
}

TEST_CASE("A broken stream goes on at its version, however few serve it") {
  Engines engines({"v1", "v1", "v2", "v2", "v2", "v2"});
  const GatewaySite site(engines.upstreams);
  for (int round = 0; round < 8; ++round) {
    const std::string reply = site.PostRequest("/draft/1");
    const auto arrivals = engines.TakeArrivals();
    CHECK(arrivals.size() == 2);
    CHECK(IsOneVersion(arrivals));
    CHECK(reply.find("id: 2") != std::string::npos);
  }
}

TEST_CASE("What a caller takes up again goes on at its version") {
  Engines engines({"v1", "v1", "v1", "v2", "v2", "v2"});
  const GatewaySite site(engines.upstreams);
  for (int round = 0; round < 8; ++round) {
    site.PostRequest("/draft/1");
    const std::string reply = site.PostRequest("/draft/1", kTakesUp);
    CHECK(reply.ends_with(kStreamEnd));
    const auto arrivals = engines.TakeArrivals();
    CHECK(arrivals.size() == 3);
    CHECK(IsOneVersion(arrivals));
  }
}

TEST_CASE("Another instance knows the version, also once the first is gone") {
  Engines engines({"v1", "v1", "v1", "v2", "v2", "v2"});
  const std::string address_a = ClosedAddress();
  const std::string address_b = ClosedAddress();
  const GatewaySite second(engines.upstreams, {},
                           {"gateway-2", address_b, {address_a}});
  for (int round = 0; round < 3; ++round) {
    {
      const GatewaySite first(engines.upstreams, {},
                              {"gateway-1", address_a, {address_b}});
      // Until the members know each other.
      std::this_thread::sleep_for(std::chrono::milliseconds(1500));
      first.PostRequest("/draft/1");
    }
    const std::string reply = second.PostRequest("/draft/1", kTakesUp);
    CHECK(reply.ends_with(kStreamEnd));
    const auto arrivals = engines.TakeArrivals();
    CHECK(arrivals.size() == 3);
    CHECK(IsOneVersion(arrivals));
  }
}

TEST_CASE("A stream of unknown version is refused while versions differ") {
  Engines engines({"v1", "v2"});
  const GatewaySite site(engines.upstreams);
  const std::string reply = site.PostRequest("/draft/1", kTakesUp);
  CHECK(reply.starts_with("HTTP/1.1 503"));
  CHECK(reply.find("Retry-After") != std::string::npos);
  CHECK(engines.TakeArrivals().empty());
}

TEST_CASE("A stream of unknown version goes on where only one serves") {
  Engines engines({"v1", "v1"});
  const GatewaySite site(engines.upstreams);
  CHECK(site.PostRequest("/draft/1", kTakesUp).ends_with(kStreamEnd));
}

// Guards against an instance that was frozen or cut off while a release went on
// and takes the version that it knows for the only one.
TEST_CASE("A stream does not go on where the registrations are out of date") {
  Engines engines({"v1", "v2"});
  for (const bool is_available : {true, false}) {
    INFO("the store replies: ", is_available);
    const auto store = std::make_shared<MemoryStore>(
        std::vector<SiteUpstream>{engines.upstreams[0]});
    SiteOptions options;
    options.store = store;
    const GatewaySite site({}, {}, options);
    CHECK(site.PostRequest("/draft/1", kTakesUp).ends_with(kStreamEnd));
    engines.TakeArrivals();
    {
      const std::lock_guard lock(store->mutex);
      store->is_silent = true;
      store->is_available = is_available;
    }
    // Longer than a read that is pending.
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    store->Register(engines.upstreams[1]);
    const std::string reply = site.PostRequest("/draft/1", kTakesUp);
    CHECK(reply.starts_with("HTTP/1.1 503"));
    CHECK(engines.TakeArrivals().empty());
  }
}

// Guards against refusing all streams whenever the store is away.
TEST_CASE(
    "A stream goes on at the only version while nobody reaches the store") {
  Engines engines({"v1"});
  const auto store = std::make_shared<MemoryStore>(engines.upstreams);
  const std::string address_a = ClosedAddress();
  const std::string address_b = ClosedAddress();
  SiteOptions options_a{"gateway-1", address_a, {address_b}};
  SiteOptions options_b{"gateway-2", address_b, {address_a}};
  options_a.store = options_b.store = store;
  const GatewaySite first({}, {}, options_a);
  const GatewaySite second({}, {}, options_b);
  // Until the members know each other.
  std::this_thread::sleep_for(std::chrono::milliseconds(1500));
  {
    const std::lock_guard lock(store->mutex);
    store->is_available = false;
  }
  // Longer than what the store has confirmed counts.
  std::this_thread::sleep_for(std::chrono::milliseconds(3000));
  CHECK(first.PostRequest("/draft/1", kTakesUp).ends_with(kStreamEnd));
  CHECK(second.PostRequest("/draft/1", kTakesUp).ends_with(kStreamEnd));
}

}  // namespace
}  // namespace pomeloring::test
