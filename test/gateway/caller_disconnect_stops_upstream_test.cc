// Guards against upstreams that work for callers that have disconnected. An
// upstream drops the work when its connection closes, so the gateway closes it
// as soon as the caller disconnects.

#include <doctest/doctest.h>

#include "support/gateway_site.h"
#include "support/scripted_server.h"
#include "support/thread_hold.h"

namespace pomeloring::test {
namespace {

constexpr std::chrono::milliseconds kDisconnectAfter{50};
// The users' platform allows half a second.
constexpr std::chrono::milliseconds kMaxCloseDelay{500};

std::string RequestTo(const std::string& path) {
  return "POST " + path +
         " HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: r1\r\n"
         "X-Key: key-1\r\nX-Deadline-Ms: 1500\r\nContent-Length: 4\r\n\r\n"
         "body";
}

TEST_CASE("A caller's disconnect before or during a reply stops its upstream") {
  const Script scripts[] = {
      {"", true},  // Before the first byte.
      {StreamHead() + StreamEvent(1), true},
  };
  for (const Script& script : scripts) {
    for (const char* path : {"/ask/1", "/draft/1"}) {
      CAPTURE(script.reply);
      CAPTURE(path);
      ScriptedServer upstream({script});
      const GatewaySite site({{"e1", "engines", upstream.Address()}});
      site.SendWithIdleTimeout(RequestTo(path), kDisconnectAfter);
      CHECK(upstream.IsClosedWithin(kMaxCloseDelay));
    }
  }
}

// Instances that were not scheduled for a while read requests whose callers
// have left. They may have sent them again elsewhere.

// Keeps the connection of its first request, which later ones are sent on
// without a wait. It closes when a request on it is stopped.
const Script kKeptConnection{
    "HTTP/1.1 200 x\r\nX-Request-Id: r1\r\nX-Response-Seal: seal-1\r\n"
    "Content-Length: 4\r\n\r\ndone",
    true};

TEST_CASE("A request whose caller left before it was read is not sent") {
  ScriptedServer upstream({kKeptConnection});
  ThreadHold hold;
  const GatewaySite site({{"u1", "plain", upstream.Address()}}, {},
                         {.on_request = [&] { hold.Pass(); }});
  CHECK(site.PostRequest("/check/1").starts_with("HTTP/1.1 200"));
  hold.Hold();
  site.SendWithIdleTimeout(RequestTo("/check/2"), kDisconnectAfter);
  hold.WaitUntilStopped();
  hold.Release();
  CHECK_FALSE(upstream.IsClosedWithin(kMaxCloseDelay));
}

TEST_CASE("A request that a peer gave up before it was read is not sent") {
  ScriptedServer upstream({kKeptConnection});
  ThreadHold hold;
  const std::string first_address = ClosedAddress();
  const std::string second_address = ClosedAddress();
  const GatewaySite second({{"u1", "plain", upstream.Address()}}, {},
                           {.name = "gateway-2",
                            .peer_address = second_address,
                            .seeds = {first_address},
                            .on_request = [&] { hold.Pass(); }});
  const GatewaySite first({{"u1", "plain", RefusingAddress()}}, {},
                          {.name = "gateway-1",
                           .peer_address = first_address,
                           .seeds = {second_address}});
  // Until the members know each other.
  std::this_thread::sleep_for(std::chrono::milliseconds(1500));
  CHECK(first.PostRequest("/check/1").starts_with("HTTP/1.1 200"));
  hold.Hold();
  std::thread holder([&] { second.PostRequest("/none/2"); });
  hold.WaitUntilStopped();
  first.SendWithIdleTimeout(RequestTo("/check/3"), kDisconnectAfter);
  std::this_thread::sleep_for(kMaxCloseDelay);  // For the first to give up.
  hold.Release();
  holder.join();
  CHECK_FALSE(upstream.IsClosedWithin(kMaxCloseDelay));
}

}  // namespace
}  // namespace pomeloring::test
