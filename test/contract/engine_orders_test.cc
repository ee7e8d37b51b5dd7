#include <doctest/doctest.h>

#include "link/engine_call.h"
#include "support/scripted_server.h"

namespace pomeloring::test {
namespace {

constexpr std::chrono::milliseconds kTimeout{1000};

constexpr size_t kTaken = 0;
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

TEST_CASE("what an engine's reply to an order means") {
  const OrderCase cases[] = {
      {"taken", {HttpReplyText(200, "{}")}, kTaken},
      {"an old number", {HttpReplyText(409, R"({"fencing":15})")}, kRefused},
      {"a conflict without a number", {HttpReplyText(409, "no")}, kUnanswered},
      {"a negative number",
       {HttpReplyText(409, R"({"fencing":-1})")},
       kUnanswered},
      {"an error of its own", {HttpReplyText(500, "{}")}, kUnanswered},
      {"takes no orders", {HttpReplyText(404, "{}")}, kUnanswered},
      {"no byte of a reply", {""}, kUnanswered},
      {"silent for good", {.reply = "", .stays_open = true}, kUnanswered},
  };
  for (const OrderCase& c : cases) {
    CAPTURE(c.name);
    ScriptedServer server({c.script});
    CHECK(Send(server.Address()).index() == c.outcome);
  }
  CHECK(Send(ClosedAddress()).index() == kUnanswered);
}

TEST_CASE("an order states the whole wanted state and its number") {
  ScriptedServer server({{HttpReplyText(409, R"({"fencing":15})")}});
  const OrderOutcome outcome = Send(server.Address());
  CHECK(std::get<OrderRefused>(outcome).seen == LogOffset{15});
  CHECK(server.Requests().at(0).ends_with(
      R"({"fencing":12,"adapters":["fill-tags"],"draining":true})"));
}

struct ReadCase {
  const char* name;
  Script script;
  bool is_read;
};

TEST_CASE("what an engine says of itself is taken whole or not at all") {
  const ReadCase cases[] = {
      {"whole",
       {HttpReplyText(200,
                      R"({"fencing":3,"adapters":["b","a"],"draining":true})")},
       true},
      {"no numbers kept", {HttpReplyText(200, R"({"adapters":[]})")}, true},
      {"adapters that are no list",
       {HttpReplyText(200, R"({"adapters":"a"})")},
       false},
      {"not JSON", {HttpReplyText(200, "{")}, false},
      {"an error", {HttpReplyText(500, R"({"adapters":[]})")}, false},
      {"silent for good", {.reply = "", .stays_open = true}, false},
  };
  for (const ReadCase& c : cases) {
    CAPTURE(c.name);
    ScriptedServer server({c.script});
    const auto reading = RunCoroutine<std::optional<EngineReading>>(
        [&] { return ReadEngineState(server.Address(), kTimeout); });
    CHECK(reading.has_value() == c.is_read);
  }
}

}  // namespace
}  // namespace pomeloring::test
