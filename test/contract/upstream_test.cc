#include <doctest/doctest.h>
#include <fmt/format.h>

#include "link/upstream_call.h"
#include "support/scripted_server.h"

namespace pomeloring::test {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr UpstreamTimeouts kTimeouts{
    .connect = std::chrono::milliseconds(500),
    .silence = std::chrono::milliseconds(1000),
    .whole_answer = std::chrono::milliseconds(1000),
    .health = std::chrono::milliseconds(1000)};

constexpr size_t kAnswered = 0;
constexpr size_t kNotStarted = 1;
constexpr size_t kUnknown = 2;

std::string Token(int index, const std::string& text) {
  return fmt::format(
      R"(data: {{"token_index":{},"choices":[{{"delta":{{"content":"{}"}}}}]}})"
      "\n\n",
      index, text);
}

std::string Usage(int tokens) {
  return fmt::format(
      R"(data: {{"choices":[],"usage":{{"completion_tokens":{}}}}})"
      "\n\n",
      tokens);
}

constexpr char kDone[] = "data: [DONE]\n\n";
constexpr char kNotStartedHeader[] = "X-Not-Started: 1\r\n";

std::string Stream(const std::string& events) {
  return HttpReplyText(200, events, "Content-Type: text/event-stream\r\n");
}

struct Ended {
  size_t outcome = kUnknown;
  std::string text;
};

// Not idempotent, so that nothing is tried again behind the outcome.
Ended RunModel(const std::string& address, bool idempotent = false) {
  ConnectionPool pool;
  ModelCall call;
  call.address = address;
  call.target = "/v1/chat/completions";
  call.body = "{}";
  call.request_id = "r-1";
  call.idempotent = idempotent;
  call.timeouts = kTimeouts;
  StreamProgress progress;
  const ModelCallEnd end = RunCoroutine<ModelCallEnd>([&] {
    return CallModel(
        pool, call, progress,
        [](std::string_view, std::string_view) -> asio::awaitable<bool> {
          co_return true;
        });
  });
  return {end.outcome.index(), progress.text};
}

struct ModelCase {
  const char* name;
  Script script;
  size_t outcome;
  std::string text;
};

TEST_CASE("what a model's reply means") {
  const std::string two = Token(0, "a") + Token(1, "b");
  const std::string whole = Stream(two + Usage(2) + kDone);
  const ModelCase cases[] = {
      {"whole", {whole}, kAnswered, "ab"},
      {"refused, vouching for it",
       {HttpReplyText(503, "{}", kNotStartedHeader)},
       kNotStarted,
       ""},
      {"refused without vouching", {HttpReplyText(503, "{}")}, kUnknown, ""},
      {"an error of its own", {HttpReplyText(500, "{}")}, kUnknown, ""},
      {"no byte of a reply", {""}, kUnknown, ""},
      {"closed without reading",
       {.closes_without_reading = true},
       kUnknown,
       ""},
      {"cut between two tokens",
       {whole.substr(0, whole.find(R"({"token_index":1)"))},
       kUnknown,
       "a"},
      {"cut inside a token",
       {whole.substr(0, whole.find(R"("b")") + 1)},
       kUnknown,
       "a"},
      {"no end marker", {Stream(two + Usage(2))}, kUnknown, "ab"},
      {"no count", {Stream(two + kDone)}, kUnknown, "ab"},
      {"fewer tokens than counted",
       {Stream(two + Usage(3) + kDone)},
       kUnknown,
       "ab"},
      {"a token twice",
       {Stream(Token(0, "a") + two + Usage(2) + kDone)},
       kUnknown,
       "a"},
      {"a token missing",
       {Stream(Token(0, "a") + Token(2, "c") + Usage(2) + kDone)},
       kUnknown,
       "a"},
      {"another answer's middle",
       {Stream(Token(5, "x") + Usage(6) + kDone)},
       kUnknown,
       ""},
      {"an event that is no JSON",
       {Stream("data: {\n\n" + std::string(kDone))},
       kUnknown,
       ""},
      {"not HTTP", {"what?\r\n\r\n"}, kUnknown, ""},
      {"silent for good", {.reply = "", .stays_open = true}, kUnknown, ""},
      {"silent after a token",
       {.reply = whole.substr(0, whole.find(R"(data: {"token_index":1)")),
        .stays_open = true},
       kUnknown,
       "a"},
  };
  for (const ModelCase& c : cases) {
    CAPTURE(c.name);
    ScriptedServer server({c.script});
    const Ended ended = RunModel(server.Address());
    CHECK(ended.outcome == c.outcome);
    CHECK(ended.text == c.text);
  }
  CHECK(RunModel(ClosedAddress()).outcome == kNotStarted);
}

TEST_CASE("a silent connection is replaced when the upstream lives") {
  const std::string whole =
      Stream(Token(0, "a") + Token(1, "b") + Usage(2) + kDone);
  const std::string rest = Stream(Token(1, "b") + Usage(2) + kDone);
  ScriptedServer server(
      {{.reply = whole.substr(0, whole.find(R"(data: {"token_index":1)")),
        .stays_open = true},
       {HttpReplyText(200, "{}")},  // The probe of its health.
       {rest}});
  const Ended ended = RunModel(server.Address(), true);
  CHECK(ended.outcome == kAnswered);
  CHECK(ended.text == "ab");
  CHECK(server.Requests().at(2).find("X-Resume-From: 1") != std::string::npos);
}

struct PlainCase {
  const char* name;
  Script script;
  size_t outcome;
};

size_t RunPlain(const std::string& address) {
  ConnectionPool pool;
  const PlainCallEnd end = RunCoroutine<PlainCallEnd>([&] {
    PlainCall call;
    call.address = address;
    call.request = HttpRequestMessage{http::verb::post, "/stamps", 11};
    call.idempotent = false;
    call.timeouts = kTimeouts;
    return CallPlain(pool, std::move(call));
  });
  return end.outcome.index();
}

TEST_CASE("what a plain service's reply means") {
  const std::string whole = HttpReplyText(200, R"({"ran":1})");
  const PlainCase cases[] = {
      {"whole", {whole}, kAnswered},
      {"its own error is its answer", {HttpReplyText(500, "{}")}, kAnswered},
      {"refused, vouching for it",
       {HttpReplyText(503, "{}", kNotStartedHeader)},
       kNotStarted},
      {"cut in the middle", {whole.substr(0, whole.size() - 2)}, kUnknown},
      {"no byte of a reply", {""}, kUnknown},
      {"closed without reading", {.closes_without_reading = true}, kUnknown},
      {"not HTTP", {"what?\r\n\r\n"}, kUnknown},
      {"silent for good", {.reply = "", .stays_open = true}, kUnknown},
      {"silent after the head",
       {.reply = whole.substr(0, whole.size() - 2), .stays_open = true},
       kUnknown},
  };
  for (const PlainCase& c : cases) {
    CAPTURE(c.name);
    ScriptedServer server({c.script});
    CHECK(RunPlain(server.Address()) == c.outcome);
  }
  CHECK(RunPlain(ClosedAddress()) == kNotStarted);
}

}  // namespace
}  // namespace pomeloring::test
