#include <doctest/doctest.h>

#include "link/engine_call.h"
#include "support/scripted_server.h"

namespace pomeloring::test {
namespace {

constexpr std::chrono::milliseconds kTimeout{1000};

// Indices of the alternatives of OrderOutcome.
constexpr size_t kAccepted = 0;
constexpr size_t kRefused = 1;
constexpr size_t kUnanswered = 2;

OrderOutcome Send(const std::string& address) {
  return RunCoroutine<OrderOutcome>([&] {
    return SendEngineOrder(
        {{"engine-1"}, address, {{"fill-tags"}, true}, LogOffset{12}},
        kTimeout);
  });
}

struct OrderCase {
  const char* name;
  Script script;
  size_t outcome;
};

TEST_CASE("a reply to an order maps to the right outcome") {
  const OrderCase cases[] = {
      {"accepted", {HttpReplyText(200, "{}")}, kAccepted},
      {"accepted after an interim reply",
       {"HTTP/1.1 102 x\r\n\r\n" + HttpReplyText(200, "{}")},
       kAccepted},
      {"stale fencing number",
       {HttpReplyText(409, R"({"fencing":15})")},
       kRefused},
      {"conflict without a fencing number",
       {HttpReplyText(409, "no")},
       kUnanswered},
      {"negative fencing number",
       {HttpReplyText(409, R"({"fencing":-1})")},
       kUnanswered},
      {"internal error", {HttpReplyText(500, "{}")}, kUnanswered},
      {"orders not supported", {HttpReplyText(404, "{}")}, kUnanswered},
      {"closed without a reply", {""}, kUnanswered},
      {"never replies", {.reply = "", .stays_open = true}, kUnanswered},
  };
  for (const OrderCase& c : cases) {
    CAPTURE(c.name);
    ScriptedServer server({c.script});
    CHECK(Send(server.Address()).index() == c.outcome);
  }
  CHECK(Send(RefusingAddress()).index() == kUnanswered);
}

TEST_CASE(
    "an order contains the complete desired state and its fencing number") {
  ScriptedServer server({{HttpReplyText(409, R"({"fencing":15})")}});
  const OrderOutcome outcome = Send(server.Address());
  CHECK(std::get<OrderRefused>(outcome).max_seen_fencing == LogOffset{15});
  CHECK(server.Requests().at(0).ends_with(
      R"({"fencing":12,"adapters":["fill-tags"],"draining":true})"));
}

struct ReadCase {
  const char* name;
  Script script;
  bool is_accepted;
};

TEST_CASE("an engine's state is only accepted if the whole reply is valid") {
  const ReadCase cases[] = {
      {"whole",
       {HttpReplyText(200,
                      R"({"fencing":3,"adapters":["b","a"],"draining":true})")},
       true},
      {"no fencing number", {HttpReplyText(200, R"({"adapters":[]})")}, true},
      {"adapters are not a list",
       {HttpReplyText(200, R"({"adapters":"a"})")},
       false},
      {"not JSON", {HttpReplyText(200, "{")}, false},
      {"error status", {HttpReplyText(500, R"({"adapters":[]})")}, false},
      {"never replies", {.reply = "", .stays_open = true}, false},
  };
  for (const ReadCase& c : cases) {
    CAPTURE(c.name);
    ScriptedServer server({c.script});
    const auto reading = RunCoroutine<std::optional<EngineReading>>(
        [&] { return ReadEngineState(server.Address(), kTimeout); });
    CHECK(reading.has_value() == c.is_accepted);
  }
}

}  // namespace
}  // namespace pomeloring::test
