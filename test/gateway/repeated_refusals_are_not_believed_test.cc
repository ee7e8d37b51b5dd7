// An upstream that writes a refusal once more on a kept connection made the
// gateway promise "not executed" for a request that ran, or run it twice.

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <atomic>
#include <list>
#include <map>
#include <mutex>
#include <thread>

#include "core/ids.h"
#include "gateway/carried_requests.h"
#include "support/gateway_site.h"
#include "support/keep_alive_upstream.h"
#include "support/scripted_server.h"

namespace pomeloring::test {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kExecutionTime{30};

// What all upstreams of a test have executed, and refused.
struct ExecutionRecord {
  std::mutex mutex;
  std::map<std::string, int> executions;  // By request id.
  std::map<std::string, int> refusals;

  int Executions(const std::string& id) {
    const std::lock_guard lock(mutex);
    return executions[id];
  }
};

std::string Refusal(unsigned status, const std::string& id) {
  return KeptReplyText(status, id, "X-Not-Executed: 1\r\n");
}

std::string Answer(const std::string& id) {
  return KeptReplyText(200, id, "X-Response-Seal: seal-1\r\n", "done");
}

// Refuses a request `refusals` times before it is executed anywhere, and writes
// the last reply of the connection once more before the next one.
KeptReply RefuseAndRepeat(ExecutionRecord& record,
                          unsigned status,
                          int refusals,
                          const ReceivedRequest& request) {
  const std::lock_guard lock(record.mutex);
  KeptReply reply;
  if (!request.earlier_replies.empty()) {
    reply.undue = request.earlier_replies.back();
  }
  if (record.refusals[request.id] < refusals) {
    ++record.refusals[request.id];
    reply.undue.clear();
    reply.reply = Refusal(status, request.id);
    return reply;
  }
  ++record.executions[request.id];
  reply.delay = kExecutionTime;
  reply.reply = Answer(request.id);
  return reply;
}

// Two instances, of which the first reaches one upstream only through the
// second.
struct InstancePair {
  explicit InstancePair(const std::string& behind_second,
                        const std::vector<std::string>& of_both = {})
      : second(Upstreams(behind_second, of_both),
               {},
               {"gateway-2", second_address, {first_address}}),
        first(Upstreams(RefusingAddress(), of_both),
              {},
              {"gateway-1", first_address, {second_address}}) {
    // Until the members know each other.
    std::this_thread::sleep_for(milliseconds(1500));
  }
  static std::vector<SiteUpstream> Upstreams(
      const std::string& first,
      const std::vector<std::string>& others) {
    std::vector<SiteUpstream> upstreams = {{"u0", "plain", first}};
    for (const std::string& address : others) {
      upstreams.push_back(
          {fmt::format("u{}", upstreams.size()), "plain", address});
    }
    return upstreams;
  }

  const std::string first_address = ClosedAddress();
  const std::string second_address = ClosedAddress();
  GatewaySite second;
  GatewaySite first;
};

std::string Post(const GatewaySite& site, const std::string& id) {
  return site.SendWithIdleTimeout(
      fmt::format("POST /stamp/1 HTTP/1.1\r\nHost: site.example\r\n"
                  "X-Request-Id: {}\r\nX-Key: key-1\r\nX-Deadline-Ms: 1500\r\n"
                  "Connection: close\r\nContent-Length: 4\r\n\r\nbody",
                  id),
      milliseconds(2500));
}

unsigned StatusOf(const std::string& reply) {
  return reply.size() < 12
             ? 0
             : static_cast<unsigned>(std::stoul(reply.substr(9, 3)));
}

bool PromisesNotExecuted(unsigned status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

// Sends a request again under its id while the gateway says that it has not
// been executed. Returns the last status.
unsigned PostUntilServed(const GatewaySite& site,
                         ExecutionRecord& record,
                         const std::string& id) {
  unsigned status = 0;
  for (int tries = 0; tries < 6; ++tries) {
    const int before = record.Executions(id);
    status = StatusOf(Post(site, id));
    if (!PromisesNotExecuted(status)) {
      break;
    }
    std::this_thread::sleep_for(2 * kExecutionTime);
    CHECK_MESSAGE(record.Executions(id) == before, id, " was promised ",
                  status);
  }
  return status;
}

TEST_CASE("A refusal that is written again promises nothing") {
  struct Case {
    unsigned status;
    int upstreams;
    int refusals;  // Of each request.
  };
  const Case cases[] = {{503, 1, 1}, {503, 1, 2}, {429, 1, 1}, {421, 1, 1},
                        {503, 2, 2}, {503, 2, 4}, {503, 3, 4}};
  for (const Case& c : cases) {
    CAPTURE(c.status);
    CAPTURE(c.upstreams);
    CAPTURE(c.refusals);
    ExecutionRecord record;
    std::list<KeepAliveUpstream> upstreams;
    std::vector<SiteUpstream> registered;
    for (int i = 0; i < c.upstreams; ++i) {
      upstreams.emplace_back([&](const ReceivedRequest& request) {
        return RefuseAndRepeat(record, c.status, c.refusals, request);
      });
      registered.push_back(
          {fmt::format("u{}", i), "plain", upstreams.back().Address()});
    }
    const GatewaySite site(registered);
    for (int i = 0; i < 8; ++i) {
      const std::string id = fmt::format("{}-{}", c.status, i);
      CHECK(PostUntilServed(site, record, id) == 200);
      CHECK(record.Executions(id) == 1);
    }
  }
}

// Through a peer, the connection to the upstream is the peer's: the id comes
// back to it from whichever instance the client asks next.
TEST_CASE("A refusal that is written again to a peer promises nothing") {
  ExecutionRecord record;
  KeepAliveUpstream upstream([&](const ReceivedRequest& request) {
    return RefuseAndRepeat(record, 503, 1, request);
  });
  const InstancePair pair(upstream.Address());
  for (int i = 0; i < 8; ++i) {
    const std::string id = fmt::format("peer-{}", i);
    const unsigned refused = StatusOf(Post(pair.first, id));
    CHECK(PromisesNotExecuted(refused));
    CHECK(record.Executions(id) == 0);
    CHECK(PostUntilServed(i % 2 == 0 ? pair.first : pair.second, record, id) ==
          200);
    CHECK(record.Executions(id) == 1);
  }
}

// An upstream that restarts its registration under another name keeps the
// connections that it has.
TEST_CASE("An upstream of two names does not refuse a request by a copy") {
  ExecutionRecord record;
  KeepAliveUpstream upstream([&](const ReceivedRequest& request) {
    return RefuseAndRepeat(record, 503, 1, request);
  });
  const GatewaySite site({{"u0", "plain", upstream.Address()},
                          {"u1", "plain", upstream.Address()}});
  for (int i = 0; i < 8; ++i) {
    const std::string id = fmt::format("named-{}", i);
    CHECK(PostUntilServed(site, record, id) == 200);
    CHECK(record.Executions(id) == 1);
  }
}

// Without an id, nothing tells a copy from the reply that is due.
TEST_CASE("A request without an id is not sent after another one") {
  std::atomic<int> executions = 0;
  KeepAliveUpstream upstream([&](const ReceivedRequest& request) {
    KeptReply reply;
    const std::string refusal =
        "HTTP/1.1 400 x\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    if (!request.earlier_replies.empty()) {
      reply.undue = refusal;
      ++executions;
    }
    reply.delay = kExecutionTime;
    reply.reply = refusal;
    return reply;
  });
  const GatewaySite site({{"u0", "plain", upstream.Address()}});
  for (int i = 0; i < 4; ++i) {
    site.SendWithIdleTimeout(
        "POST /stamp/1 HTTP/1.1\r\nHost: site.example\r\nX-Key: key-1\r\n"
        "Connection: close\r\nContent-Length: 4\r\n\r\nbody",
        milliseconds(2500));
  }
  CHECK(executions == 0);
}

TEST_CASE("A connection is closed before it forgets an id") {
  CarriedRequests carried;
  std::vector<std::string> ids;
  while (!IsWornOut(carried)) {
    ids.push_back(fmt::format("r{}", ids.size()));
    RecordCarried(carried, ids.back());
  }
  CHECK(ids.size() > 100);
  for (const std::string& id : ids) {
    CHECK(!MayCarry(carried, id));
  }
  CHECK(MayCarry(carried, "other"));
  CHECK(!MayCarry(carried, ""));
}

// --- Any order of refusals, copies, delays, closes, peers and repeats
// ---------

// An upstream that draws what it does with each request.
KeptReply DrawReply(ExecutionRecord& record,
                    uint64_t& random,
                    const ReceivedRequest& request) {
  const std::lock_guard lock(record.mutex);
  const auto chance = [&](uint64_t percent) {
    return NextRandom(random) % 100 < percent;
  };
  const auto copy = [&]() -> std::string {
    const auto& earlier = request.earlier_replies;
    return earlier.empty() ? "" : earlier[NextRandom(random) % earlier.size()];
  };
  KeptReply reply;
  for (int copies = 0; copies < 2 && chance(50); ++copies) {
    reply.undue += copy();
  }
  if (chance(5)) {
    reply.undue.resize(reply.undue.size() / 2);  // Ends anywhere.
  }
  reply.delay = milliseconds(NextRandom(random) % 20);
  if (chance(50)) {
    const unsigned statuses[] = {503, 429, 421};
    reply.reply = Refusal(statuses[NextRandom(random) % 3], request.id);
  } else {
    ++record.executions[request.id];
    reply.closes = chance(10);
    reply.reply = reply.closes ? "" : Answer(request.id);
  }
  if (chance(20)) {
    reply.late_delay = milliseconds(NextRandom(random) % 20);
    reply.late = chance(50) ? copy() : reply.reply;
  }
  return reply;
}

TEST_CASE("No order of replies breaks a promise") {
  constexpr int kRequests = 80;
  for (const uint64_t seed : {1, 2, 3}) {
    CAPTURE(seed);
    uint64_t random = seed;
    ExecutionRecord record;
    std::list<KeepAliveUpstream> upstreams;
    std::list<uint64_t> randoms;
    for (int i = 0; i < 3; ++i) {
      uint64_t& own = randoms.emplace_back(NextRandom(random));
      upstreams.emplace_back([&record, &own](const ReceivedRequest& request) {
        return DrawReply(record, own, request);
      });
    }
    const InstancePair pair(
        upstreams.front().Address(),
        {upstreams.back().Address(), std::next(upstreams.begin())->Address()});
    int promised = 0;
    for (int i = 0; i < kRequests; ++i) {
      const std::string id = fmt::format("{}-{}", seed, i);
      for (int tries = 0; tries < 5; ++tries) {
        const int before = record.Executions(id);
        const bool asks_first = NextRandom(random) % 2 == 0;
        const unsigned status =
            StatusOf(Post(asks_first ? pair.first : pair.second, id));
        if (!PromisesNotExecuted(status)) {
          break;
        }
        ++promised;
        CHECK_MESSAGE(record.Executions(id) == before, id);
      }
    }
    std::this_thread::sleep_for(2 * kExecutionTime);
    for (const auto& [id, executions] : record.executions) {
      CHECK_MESSAGE(executions <= 1, id, " ran ", executions, " times");
    }
    CHECK(promised > 0);
    CHECK(record.executions.size() > kRequests / 2);
  }
}

}  // namespace
}  // namespace pomeloring::test
