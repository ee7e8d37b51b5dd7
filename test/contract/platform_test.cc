#include <doctest/doctest.h>

#include "platform/log_client.h"
#include "platform/log_platform.h"
#include "support/scripted_server.h"

namespace pomeloring::test {
namespace {

constexpr std::chrono::milliseconds kTimeout{1000};

enum class AppendEffect { kOffset, kNoEffect, kMayHaveEffect };

AppendEffect Append(const std::string& address) {
  const auto platform = platform::MakeLogPlatform(address, kTimeout);
  const AppendResult result = RunCoroutine<AppendResult>(
      [&] { return platform->Append(LogStream::kClaims, "payload"); });
  if (std::holds_alternative<LogOffset>(result)) {
    return AppendEffect::kOffset;
  }
  return std::holds_alternative<PlatformRejected>(result)
             ? AppendEffect::kNoEffect
             : AppendEffect::kMayHaveEffect;
}

struct AppendCase {
  const char* name;
  Script script;
  AppendEffect expected;
};

// kNoEffect is only reported if the platform's reply guarantees it or no
// connection was established.
TEST_CASE("a reply to an append maps to the right result") {
  const std::string whole = HttpReplyText(200, R"({"offset":7})");
  const AppendCase cases[] = {
      {"accepted", {whole}, AppendEffect::kOffset},
      {"accepted after an interim reply",
       {"HTTP/1.1 102 x\r\n\r\n" + whole},
       AppendEffect::kOffset},
      {"status 000",
       {"HTTP/1.1 000 x\r\n\r\n" + HttpReplyText(400, "{}")},
       AppendEffect::kMayHaveEffect},
      {"bad request", {HttpReplyText(400, "{}")}, AppendEffect::kNoEffect},
      {"too many requests",
       {HttpReplyText(429, "{}")},
       AppendEffect::kNoEffect},
      {"service unavailable",
       {HttpReplyText(503, "{}")},
       AppendEffect::kNoEffect},
      {"internal error",
       {HttpReplyText(500, "{}")},
       AppendEffect::kMayHaveEffect},
      {"gateway timeout",
       {HttpReplyText(504, "")},
       AppendEffect::kMayHaveEffect},
      {"accepted, but malformed",
       {HttpReplyText(200, "offset 7")},
       AppendEffect::kMayHaveEffect},
      {"accepted without an offset",
       {HttpReplyText(200, "{}")},
       AppendEffect::kMayHaveEffect},
      {"cut in the middle",
       {whole.substr(0, whole.size() - 3)},
       AppendEffect::kMayHaveEffect},
      {"closed without a reply", {""}, AppendEffect::kMayHaveEffect},
      {"not HTTP", {"what?\r\n\r\n"}, AppendEffect::kMayHaveEffect},
      {"never replies",
       {.reply = "", .stays_open = true},
       AppendEffect::kMayHaveEffect},
      {"stalls after the header",
       {.reply = whole.substr(0, 20), .stays_open = true},
       AppendEffect::kMayHaveEffect},
  };
  for (const AppendCase& c : cases) {
    CAPTURE(c.name);
    ScriptedServer server({c.script});
    CHECK(Append(server.Address()) == c.expected);
  }
  CHECK(Append(RefusingAddress()) == AppendEffect::kNoEffect);
}

TEST_CASE("an append request contains its topic and record") {
  ScriptedServer server({{HttpReplyText(200, R"({"offset":7})")}});
  CHECK(Append(server.Address()) == AppendEffect::kOffset);
  const std::string request = server.Requests().at(0);
  CHECK(request.starts_with(
      "POST /api/log-append?topic=pomeloring.claims&part=0 HTTP/1.1"));
  CHECK(request.ends_with(std::string("\0\0\0\7payload", 11)));
}

// The header of a read's reply: the log's end and the first retained offset.
std::string PageHead(char end, char first) {
  std::string head(16, '\0');
  head[7] = end;
  head[15] = first;
  return head;
}

struct ReadCase {
  const char* name;
  std::string body;
  bool is_page;
  size_t records;
};

TEST_CASE("a page with any malformed part is rejected") {
  const std::string a = platform::EncodeRecord("a");
  const ReadCase cases[] = {
      {"empty", PageHead(4, 4), true, 0},
      {"one record", PageHead(2, 0) + a, true, 1},
      {"two records", PageHead(3, 0) + a + a, true, 2},
      {"empty record", PageHead(2, 0) + platform::EncodeRecord(""), true, 1},
      {"truncated header", PageHead(4, 4).substr(0, 15), false, 0},
      {"truncated record", PageHead(2, 0) + a.substr(0, 4), false, 0},
      {"truncated length", PageHead(2, 0) + a.substr(0, 2), false, 0},
      {"length beyond the page", PageHead(2, 0) + "\x7f\xff\xff\xff" + "a",
       false, 0},
      {"nothing", "", false, 0},
  };
  for (const ReadCase& c : cases) {
    CAPTURE(c.name);
    ScriptedServer server({{HttpReplyText(200, c.body)}});
    const auto platform = platform::MakeLogPlatform(server.Address(), kTimeout);
    const ReadResult result = RunCoroutine<ReadResult>([&] {
      return platform->Read(LogStream::kConfiguration, LogOffset{2},
                            std::chrono::milliseconds(0));
    });
    const auto* page = std::get_if<LogPage>(&result);
    CHECK((page != nullptr) == c.is_page);
    if (page != nullptr) {
      CHECK(page->records.size() == c.records);
    }
  }
}

TEST_CASE("a read before the first retained record continues at that record") {
  ScriptedServer server(
      {{HttpReplyText(410, R"({"first":5})")},
       {HttpReplyText(200, PageHead(6, 5) + platform::EncodeRecord("a"))}});
  const auto platform = platform::MakeLogPlatform(server.Address(), kTimeout);
  const ReadResult result = RunCoroutine<ReadResult>([&] {
    return platform->Read(LogStream::kConfiguration, LogOffset{2},
                          std::chrono::milliseconds(0));
  });
  const auto* page = std::get_if<LogPage>(&result);
  REQUIRE(page != nullptr);
  // Offsets start at 0 in the log and at 1 in the core.
  CHECK(page->first_retained == LogOffset{6});
  REQUIRE(page->records.size() == 1);
  CHECK(page->records[0].offset == LogOffset{6});
  CHECK(page->is_end);
}

std::string ListBody(const std::string& key, const std::string& value) {
  return R"({"items":[{"key":")" + key + R"(","value":")" +
         platform::EncodeBase64(value) + R"(","offset":4}],"end":6})";
}

TEST_CASE("a draining upstream is listed as leaving") {
  ScriptedServer server(
      {{HttpReplyText(
           200, ListBody("b", R"({"service":"s","address":"127.0.0.1:2",)"
                              R"("zone":"z","slots":4,"state":"draining"})"))},
       {HttpReplyText(
           200, ListBody("entry-1", R"({"probe_address":"127.0.0.1:1"})"))}});
  const auto platform = platform::MakeLogPlatform(server.Address(), kTimeout);
  const ListResult result =
      RunCoroutine<ListResult>([&] { return platform->List(); });
  const auto* list = std::get_if<PlatformList>(&result);
  REQUIRE(list != nullptr);
  CHECK(list->probe_addresses == std::vector<std::string>{"127.0.0.1:1"});
  CHECK(list->leaving == std::set<UpstreamName>{{"b"}});
}

TEST_CASE("an instance registers itself with a keyed record") {
  ScriptedServer server({{HttpReplyText(200, R"({"offset":0})")}});
  const auto platform = platform::MakeLogPlatform(server.Address(), kTimeout);
  CHECK(RunCoroutine<bool>(
      [&] { return platform->RegisterInstance("entry-1", "127.0.0.1:1"); }));
  const std::string request = server.Requests().at(0);
  CHECK(request.starts_with("POST /api/log-append?topic=keyed.status&part=0"));
  CHECK(request.find("\aentry-1{") != std::string::npos);
}

}  // namespace
}  // namespace pomeloring::test
