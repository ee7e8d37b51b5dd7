// An upstream that writes a refusal once more on a kept connection made the
// gateway promise "not executed" for a request that ran, or run it twice.

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <functional>
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

std::string RefusalWithIdLast(unsigned status, const std::string& id) {
  return fmt::format(
      "HTTP/1.1 {} Service not available\r\nX-Not-Executed: 1\r\n"
      "Date: Sun, 06 Dec 2026 09:00:00 GMT\r\nContent-Length: 0\r\n"
      "X-Request-Id: {}\r\n\r\n",
      status, id);
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

std::string Post(const GatewaySite& site,
                 const std::string& id,
                 int deadline_ms = 1500) {
  return site.SendWithIdleTimeout(
      fmt::format("POST /stamp/1 HTTP/1.1\r\nHost: site.example\r\n"
                  "X-Request-Id: {}\r\nX-Key: key-1\r\nX-Deadline-Ms: {}\r\n"
                  "Connection: close\r\nContent-Length: 4\r\n\r\nbody",
                  id, deadline_ms),
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

// An upstream that replies to requests with even numbers as `earlier` says, and
// writes the first `cut` bytes of that before it replies to odd ones as `due`
// says.
class CuttingUpstream {
 public:
  using Reply = std::function<std::string(const std::string& id)>;
  CuttingUpstream(Reply earlier, Reply due)
      : m_upstream([this, earlier, due](const ReceivedRequest& request) {
          const bool is_even = std::stoi(request.id) % 2 == 0;
          KeptReply reply;
          if (!is_even && !request.earlier_replies.empty()) {
            reply.undue = request.earlier_replies.back().substr(0, m_cut);
          }
          reply.reply = is_even ? earlier(request.id) : due(request.id);
          return reply;
        }),
        m_site({{"u0", "plain", m_upstream.Address()}}) {}

  // Returns the reply to the second of two requests.
  std::string PostTwo(size_t cut) {
    m_cut = cut;
    Post(m_site, std::to_string(m_next_id++));
    return Post(m_site, std::to_string(m_next_id++), 100);
  }

 private:
  std::atomic<size_t> m_cut = 0;
  int m_next_id = 1000;
  KeepAliveUpstream m_upstream;
  GatewaySite m_site;
};

std::string Failure(const std::string& id) {
  return KeptReplyText(500, id, "X-Response-Seal: seal-2\r\n", "failed");
}

// A reply that breaks off within its head and the one that is due made one
// head, with the status of the first and the id of the second.
TEST_CASE("A reply that is cut off has no part in the next one") {
  const CuttingUpstream::Reply replies[] = {
      [](const std::string& id) { return Refusal(421, id); },
      [](const std::string& id) { return RefusalWithIdLast(503, id); },
      [](const std::string& id) { return Answer(id); }, Failure};
  for (const auto& earlier : replies) {
    CuttingUpstream answering(earlier, Answer);
    CuttingUpstream failing(earlier, Failure);
    for (size_t cut = 1; cut < earlier("1000").size(); cut += 3) {
      CAPTURE(earlier("1000").substr(0, cut));
      const std::string answered = answering.PostTwo(cut);
      const unsigned status = StatusOf(answered);
      CHECK((status == 200 || status == 502 || status == 504));
      CHECK((status != 200 || answered.ends_with("done")));
      const unsigned failed = StatusOf(failing.PostTwo(cut));
      CHECK((failed == 500 || failed == 502 || failed == 504));
    }
  }
}

// The connection is out of step, and what follows may be a copy as well.
TEST_CASE("A refusal after a foreign reply is not believed") {
  const auto refusal = [](const std::string& id) { return Refusal(503, id); };
  CuttingUpstream upstream(refusal, refusal);
  CHECK(StatusOf(upstream.PostTwo(std::string::npos)) == 502);
}

// Without an id, nothing tells a copy from the reply that is due.
TEST_CASE("A request without an id is not sent after another one") {
  std::atomic<int> executions = 0;
  std::atomic<int> requests = 0;
  KeepAliveUpstream upstream([&](const ReceivedRequest& request) {
    ++requests;
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
  CHECK(requests == 4);
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

TEST_CASE("An upstream's connection is closed with its memory of ids") {
  std::atomic<size_t> connections = 0;
  std::atomic<size_t> most = 0;  // On one connection.
  KeepAliveUpstream upstream([&](const ReceivedRequest& request) {
    connections += request.earlier_replies.empty() ? 1 : 0;
    most = std::max<size_t>(most, request.earlier_replies.size() + 1);
    return KeptReply{.reply = Answer(request.id)};
  });
  const GatewaySite site({{"u0", "plain", upstream.Address()}});
  CarriedRequests carried;
  while (!IsWornOut(carried)) {
    RecordCarried(carried, "r");
  }
  const size_t limit = carried.id_hashes.size();
  for (size_t i = 0; i < limit + 10; ++i) {
    Post(site, std::to_string(i));
  }
  CHECK(connections >= 2);
  CHECK(most <= limit);
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
  if (chance(30)) {
    reply.undue.resize(NextRandom(random) % (reply.undue.size() + 1));
  }
  reply.delay = milliseconds(NextRandom(random) % 20);
  if (chance(50)) {
    const unsigned statuses[] = {503, 429, 421};
    const unsigned status = statuses[NextRandom(random) % 3];
    reply.reply = chance(50) ? Refusal(status, request.id)
                             : RefusalWithIdLast(status, request.id);
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
