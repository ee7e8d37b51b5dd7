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
    .stream_idle = std::chrono::milliseconds(1000),
    .plain_reply = std::chrono::milliseconds(1000),
    .health_check = std::chrono::milliseconds(1000)};

// Indices of the alternatives of AttemptOutcome.
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

struct CallResult {
  size_t outcome = kUnknown;
  std::string text;
};

// Not idempotent by default, so that the outcome is not hidden by a retry.
CallResult RunModel(const std::string& address, bool idempotent = false) {
  ConnectionPool pool;
  ModelCall call;
  call.address = address;
  call.target = "/v1/chat/completions";
  call.body = "{}";
  call.request_id = "r-1";
  call.idempotent = idempotent;
  call.timeouts = kTimeouts;
  StreamProgress progress;
  const ModelCallResult end = RunCoroutine<ModelCallResult>([&] {
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

TEST_CASE("a model's reply maps to the right outcome") {
  const std::string two = Token(0, "a") + Token(1, "b");
  const std::string whole = Stream(two + Usage(2) + kDone);
  const ModelCase cases[] = {
      {"whole", {whole}, kAnswered, "ab"},
      {"refused as not started",
       {HttpReplyText(503, "{}", kNotStartedHeader)},
       kNotStarted,
       ""},
      {"refused without the header", {HttpReplyText(503, "{}")}, kUnknown, ""},
      {"internal error", {HttpReplyText(500, "{}")}, kUnknown, ""},
      {"interim replies",
       {"HTTP/1.1 100 x\r\n\r\nHTTP/1.1 103 x\r\n\r\n" + whole},
       kAnswered,
       "ab"},
      {"status 000",
       {fmt::format("HTTP/1.1 000 x\r\n{}\r\n", kNotStartedHeader)},
       kUnknown,
       ""},
      {"interim reply with a body",
       {"HTTP/1.1 100 x\r\nTransfer-Encoding: chunked\r\n\r\n" + whole},
       kUnknown,
       ""},
      {"closed without a reply", {""}, kUnknown, ""},
      {"closed before reading", {.closes_without_reading = true}, kUnknown, ""},
      {"cut between two tokens",
       {whole.substr(0, whole.find(R"({"token_index":1)"))},
       kUnknown,
       "a"},
      {"cut inside a token",
       {whole.substr(0, whole.find(R"("b")") + 1)},
       kUnknown,
       "a"},
      {"no end marker", {Stream(two + Usage(2))}, kUnknown, "ab"},
      {"no token count", {Stream(two + kDone)}, kUnknown, "ab"},
      {"fewer tokens than counted",
       {Stream(two + Usage(3) + kDone)},
       kUnknown,
       "ab"},
      {"repeated token",
       {Stream(Token(0, "a") + two + Usage(2) + kDone)},
       kUnknown,
       "a"},
      {"missing token",
       {Stream(Token(0, "a") + Token(2, "c") + Usage(2) + kDone)},
       kUnknown,
       "a"},
      {"unexpected token position",
       {Stream(Token(5, "x") + Usage(6) + kDone)},
       kUnknown,
       ""},
      {"event that is not JSON",
       {Stream("data: {\n\n" + std::string(kDone))},
       kUnknown,
       ""},
      {"not HTTP", {"what?\r\n\r\n"}, kUnknown, ""},
      {"never replies", {.reply = "", .stays_open = true}, kUnknown, ""},
      {"stalls after a token",
       {.reply = whole.substr(0, whole.find(R"(data: {"token_index":1)")),
        .stays_open = true},
       kUnknown,
       "a"},
  };
  for (const ModelCase& c : cases) {
    CAPTURE(c.name);
    ScriptedServer server({c.script});
    const CallResult result = RunModel(server.Address());
    CHECK(result.outcome == c.outcome);
    CHECK(result.text == c.text);
  }
  CHECK(RunModel(RefusingAddress()).outcome == kNotStarted);
}

TEST_CASE("a stalled connection is replaced if the upstream is healthy") {
  const std::string whole =
      Stream(Token(0, "a") + Token(1, "b") + Usage(2) + kDone);
  const std::string rest = Stream(Token(1, "b") + Usage(2) + kDone);
  ScriptedServer server(
      {{.reply = whole.substr(0, whole.find(R"(data: {"token_index":1)")),
        .stays_open = true},
       {HttpReplyText(200, "{}")},  // The health check.
       {rest}});
  const CallResult result = RunModel(server.Address(), true);
  CHECK(result.outcome == kAnswered);
  CHECK(result.text == "ab");
  CHECK(server.Requests().at(2).find("X-Resume-From: 1") != std::string::npos);
}

struct PlainCase {
  std::string name;
  Script script;
  size_t outcome;
  unsigned status = 200;  // If answered.
};

PlainCallResult RunPlain(const std::string& address) {
  ConnectionPool pool;
  return RunCoroutine<PlainCallResult>([&] {
    PlainCall call;
    call.address = address;
    call.request = HttpRequestMessage{http::verb::post, "/stamps", 11};
    call.idempotent = false;
    call.timeouts = kTimeouts;
    return CallPlain(pool, std::move(call));
  });
}

// Ends with the head of `status`, which has the fields `fields`, and a whole
// reply.
std::string HeadBeforeReply(std::string_view status,
                            const std::string& fields = {}) {
  return fmt::format("HTTP/1.1 {} x\r\n{}\r\n{}", status, fields,
                     HttpReplyText(200, R"({"ran":1})"));
}

TEST_CASE("a plain service's reply maps to the right outcome") {
  const std::string whole = HttpReplyText(200, R"({"ran":1})");
  std::vector<PlainCase> cases = {
      {"whole", {whole}, kAnswered},
      {"error status is an answer", {HttpReplyText(500, "{}")}, kAnswered, 500},
      {"status that no standard knows",
       {HttpReplyText(999, "{}")},
       kAnswered,
       999},
      {"interim replies",
       {"HTTP/1.1 100 x\r\n\r\n" + HeadBeforeReply("103", "Link: a\r\n")},
       kAnswered},
      {"interim reply alone",
       {.reply = "HTTP/1.1 100 x\r\n\r\n", .stays_open = true},
       kUnknown},
      {"interim reply with a body",
       {HeadBeforeReply("100", "Content-Length: 2\r\n")},
       kUnknown},
      {"refused as not started",
       {HttpReplyText(503, "{}", kNotStartedHeader)},
       kNotStarted},
      {"cut in the middle", {whole.substr(0, whole.size() - 2)}, kUnknown},
      {"closed without a reply", {""}, kUnknown},
      {"closed before reading", {.closes_without_reading = true}, kUnknown},
      {"not HTTP", {"what?\r\n\r\n"}, kUnknown},
      {"never replies", {.reply = "", .stays_open = true}, kUnknown},
      {"stalls after the header",
       {.reply = whole.substr(0, whole.size() - 2), .stays_open = true},
       kUnknown},
  };
  for (const char* status : {"000", "001", "020", "099", "101", "20", "2x0"}) {
    cases.push_back({status, {HeadBeforeReply(status)}, kUnknown});
    cases.push_back({fmt::format("{}, not started", status),
                     {HeadBeforeReply(status, kNotStartedHeader)},
                     kUnknown});
  }
  for (const std::string& line : LinesWithInvalidNames()) {
    cases.push_back(
        {line, {HttpReplyText(200, "{}", line + "\r\n")}, kUnknown});
  }
  for (const PlainCase& c : cases) {
    CAPTURE(c.name);
    ScriptedServer server({c.script});
    const PlainCallResult end = RunPlain(server.Address());
    CHECK(end.outcome.index() == c.outcome);
    if (c.outcome == kAnswered) {
      CHECK(end.response.result_int() == c.status);
    }
  }
  CHECK(RunPlain(RefusingAddress()).outcome.index() == kNotStarted);
}

// An answer that the service wrote twice was taken for the answer to the next
// request on its connection.
TEST_CASE("a second copy of an answer answers no other request") {
  const auto answer = [](const std::string& body) {
    return fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}",
                       body.size(), body);
  };
  ScriptedServer server(
      {{.reply = answer("first") + answer("first"), .stays_open = true},
       {.reply = answer("second"), .stays_open = true}});
  ConnectionPool pool;
  const auto bodies = RunCoroutine<std::vector<std::string>>(
      [&]() -> asio::awaitable<std::vector<std::string>> {
        std::vector<std::string> received;
        for (int i = 0; i < 2; ++i) {
          PlainCall call;
          call.address = server.Address();
          call.request = HttpRequestMessage{http::verb::get, "/check", 11};
          call.idempotent = true;
          call.timeouts = kTimeouts;
          PlainCallResult end = co_await CallPlain(pool, std::move(call));
          received.push_back(end.response.body());
        }
        co_return received;
      });
  CHECK(bodies == std::vector<std::string>{"first", "second"});
}

}  // namespace
}  // namespace pomeloring::test
