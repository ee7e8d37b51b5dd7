// An entry that no upstream would write must name no upstream and must not keep
// a reader from the entries beside it and after it.

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <atomic>
#include <boost/json.hpp>

#include "gateway/peer_codec.h"
#include "gateway/store_feed.h"
#include "platform/codecs.h"
#include "platform/log_client.h"
#include "platform/log_store.h"
#include "support/gateway_site.h"
#include "support/loopback_engine.h"
#include "support/scripted_server.h"

namespace pomeloring::test {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using std::chrono::seconds;

std::string Repeat(size_t times, std::string_view text) {
  std::string out;
  for (size_t i = 0; i < times; ++i) {
    out += text;
  }
  return out;
}

// A sound entry in which `field` has the JSON text `value`, or is added.
std::string EntryWith(const std::string& field,
                      const std::string& value,
                      const std::string& address = "127.0.0.1:1") {
  std::map<std::string, std::string> fields = {
      {"service", R"("plain")"},
      {"address", fmt::format("\"{}\"", address)},
      {"zone", R"("here")"},
      {"slots", "8"},
      {"state", R"("ready")"}};
  fields[field] = value;
  std::string out;
  for (const auto& [name, text] : fields) {
    out += fmt::format("{}\"{}\":{}", out.empty() ? "{" : ",", name, text);
  }
  return out + "}";
}

// Entries that name no upstream. Those with a usable address have `address`.
std::vector<std::string> OddEntries(const std::string& address) {
  std::vector<std::string> odd = {"",
                                  "null",
                                  "NaN",
                                  "[]",
                                  "{",
                                  std::string("\0{}", 3),
                                  EntryWith("zone", "\"\xff\"", address),
                                  EntryWith("zone", R"("\ud800")", address)};
  for (const size_t depth : {size_t{40}, size_t{1'000}, size_t{1'000'000}}) {
    odd.push_back(Repeat(depth, "["));
    odd.push_back(Repeat(depth, "[") + Repeat(depth, "]"));
    odd.push_back(Repeat(depth, R"({"a":[)"));
    odd.push_back(EntryWith("slots", Repeat(depth, "["), address));
    odd.push_back(EntryWith(
        "models", Repeat(depth, R"({"a":)") + "1" + Repeat(depth, "}"),
        address));
  }
  for (const std::string number :
       {"1e400", "-1e400", "1e308", "NaN", "Infinity", "-1", "2147483648",
        "4294967296", "9223372036854775807", "9223372036854775808",
        "18446744073709551616", "9e99999999999", "1.8e16", "\"8\"", "[8]"}) {
    odd.push_back(EntryWith("slots", number, address));
  }
  for (const std::string number : {"1e400", "18446744073709551616", "NaN"}) {
    odd.push_back(EntryWith("born", number, address));
    odd.push_back(EntryWith("leaves_ms", number, address));
  }
  for (const std::string port :
       {"0", "-1", "65536", "99999999999", "18446744073709551616", "80x", "",
        " 80", "+80", "0x50"}) {
    odd.push_back(EntryWith("address", "\"127.0.0.1:" + port + "\""));
  }
  for (const std::string other :
       {"\"\"", "\":80\"", "\"localhost:80\"", "\"127.0.0.1\"",
        "\"999.0.0.1:80\"", "\"[::1:80\"", "\"0.0.0.0:80\"", "7"}) {
    odd.push_back(EntryWith("address", other));
  }
  const std::string large = '"' + std::string(100'000, 'x') + '"';
  for (const std::string field : {"service", "zone", "version"}) {
    odd.push_back(EntryWith(field, large, address));
  }
  odd.push_back(EntryWith("state", "\"stopped\"", address));
  return odd;
}

// Keys under which nothing can be registered: they go into header lines and
// into messages to peers.
const std::vector<std::string> kOddKeys = {"u\xff", "u1\r\nX-Tenant: other",
                                           "u 1", std::string("u\0001", 3),
                                           std::string(256, 'u')};

std::string SoundEntry(const std::string& address = "127.0.0.1:1") {
  return EntryWith("slots", "8", address);
}

TEST_CASE("An odd entry names no upstream") {
  for (const std::string& text : OddEntries("127.0.0.1:1")) {
    CAPTURE(text.substr(0, 120));
    CHECK(std::holds_alternative<MalformedField>(
        platform::ReadUpstream("u1", text)));
  }
}

// Guards against bounds that refuse what sound upstreams write.
TEST_CASE("Unusual but sound entries name their upstreams") {
  for (const std::string& text :
       {SoundEntry(), EntryWith("slots", "8.0"), EntryWith("slots", "1024"),
        EntryWith("cold_remaining_ms", "1e400"), EntryWith("sequence", "-0"),
        EntryWith("sequence", "18446744073709551615"),
        EntryWith("leaves_ms", "0"), EntryWith("version", "7"),
        EntryWith("address", R"("::1:80")"), SoundEntry() + "\n",
        EntryWith("models", R"([{"name":"m","adapters":[{"a":[1]}]}])"),
        EntryWith("note", '"' + std::string(200'000, 'x') + '"')}) {
    CAPTURE(text.substr(0, 120));
    CHECK(std::holds_alternative<UpstreamRecord>(
        platform::ReadUpstream("u1", text)));
  }
}

// Guards against arithmetic beyond the range of a duration.
TEST_CASE("Durations of the store are bounded") {
  const auto read = platform::ReadUpstream(
      "u1", EntryWith("leaves_ms", "9223372036854775807"));
  REQUIRE(std::holds_alternative<UpstreamRecord>(read));
  const auto leaves_in = std::get<UpstreamRecord>(read).leaves_in;
  REQUIRE(leaves_in);
  CHECK(*leaves_in > Duration{0});
  CHECK(*leaves_in <= std::chrono::hours(24 * 365));
  const auto config = platform::ReadConfig(
      R"({"version":1,"routes":[{"name":"a","host":"h","path_prefix":"/a/",)"
      R"("type":"safe","service":"s","timeout_ms":9223372036854775807}]})");
  REQUIRE(std::holds_alternative<RoutingConfig>(config));
  const Duration timeout = std::get<RoutingConfig>(config).routes[0].timeout;
  CHECK(timeout > Duration{0});
  CHECK(timeout <= std::chrono::hours(24 * 365));
}

// Guards against a version after which no other is newer.
TEST_CASE("A configuration with an odd version is not taken") {
  for (const std::string version :
       {"-1", "1e400", "18446744073709551615", "NaN", "[]", "\"7\""}) {
    CAPTURE(version);
    CHECK(std::holds_alternative<MalformedField>(
        platform::ReadConfig("{\"version\":" + version + "}")));
  }
}

Script ListReply(const json::array& items, bool more, uint64_t end) {
  return {
      HttpReplyText(200, json::serialize(json::object{
                             {"items", items}, {"more", more}, {"end", end}}))};
}

json::object Item(const std::string& key, const std::string& value) {
  return {{"key", key}, {"value", value}, {"offset", 1}};
}

// Guards against one item that loses the page, or ends the process.
TEST_CASE("Odd items of a listed page are skipped") {
  const std::string sound = platform::EncodeBase64(SoundEntry());
  std::vector<json::value> odd_items = {
      nullptr,
      7,
      json::array{},
      json::object{},
      json::object{{"key", 7}, {"value", sound}, {"offset", 1}},
      json::object{{"key", "odd"}, {"value", sound}, {"offset", -1}},
      json::object{{"key", "odd"}, {"value", sound}, {"offset", 1e30}},
      json::object{{"key", "odd"}, {"value", sound}},
      json::object{{"key", "odd"}, {"value", 7}, {"offset", 1}}};
  for (const std::string base64 : {"=", "====", "A=======", "A===", "!!!!",
                                   "QQ", " ", "\n", "QQ==QQ==", "========"}) {
    odd_items.push_back(Item("odd", base64));
  }
  for (const std::string& key : kOddKeys) {
    odd_items.push_back(Item(key, sound));
  }
  for (const json::value& odd : odd_items) {
    CAPTURE(json::serialize(odd));
    ScriptedServer server(
        {ListReply({Item("u1", sound), odd, Item("u2", sound)}, false, 9)});
    const auto store = platform::MakeLogStore(server.Address());
    const auto result = RunCoroutine<StoreListResult>(
        [&] { return store->List(StoreTopic::kUpstreams); });
    CHECK(std::holds_alternative<StoreList>(result));
    if (const auto* list = std::get_if<StoreList>(&result)) {
      std::set<std::string> keys;
      for (const StoreEntry& entry : list->entries) {
        if (entry.value == SoundEntry()) {
          keys.insert(entry.key);
        }
      }
      CHECK(keys.contains("u1"));
      CHECK(keys.contains("u2"));
      CHECK(list->end.value == 9);
    }
  }
}

// Guards against a part of a list that is taken for the whole of it: the
// upstreams of the other pages would count as gone.
TEST_CASE("A page after which the list cannot go on is no list") {
  ScriptedServer server({ListReply({Item("", "QQ==")}, true, 9)});
  const auto store = platform::MakeLogStore(server.Address());
  CHECK(std::holds_alternative<StoreNoReply>(RunCoroutine<StoreListResult>(
      [&] { return store->List(StoreTopic::kUpstreams); })));
}

TEST_CASE("Odd records of the log do not hold up its position") {
  std::string body(16, '\0');
  const std::vector<std::string> records = {
      platform::EncodeKeyedRecord("u1", SoundEntry()),
      "",
      std::string(1, '\0'),
      std::string(1, '\xff') + "short",
      platform::EncodeKeyedRecord("u\xff", SoundEntry()),
      std::string(1'000'000, 'x'),
      platform::EncodeKeyedRecord("u2", SoundEntry())};
  body[7] = static_cast<char>(records.size());
  for (const std::string& record : records) {
    body += platform::EncodeRecord(record);
  }
  ScriptedServer server({{HttpReplyText(200, body)}});
  const auto store = platform::MakeLogStore(server.Address());
  const auto result = RunCoroutine<StorePageResult>([&] {
    return store->Read(StoreTopic::kUpstreams, {},
                       std::chrono::milliseconds(0));
  });
  REQUIRE(std::holds_alternative<StorePage>(result));
  const auto& page = std::get<StorePage>(result);
  CHECK(page.end.value == records.size());
  CHECK_FALSE(page.has_more);
  CHECK(page.entries.front().key == "u1");
  CHECK(page.entries.back().key == "u2");
}

class UnavailableStore final : public Store {
 public:
  asio::awaitable<StoreListResult> List(StoreTopic) override {
    co_return StoreNoReply{};
  }
  asio::awaitable<StorePageResult> Read(StoreTopic,
                                        LogOffset,
                                        std::chrono::milliseconds) override {
    co_return StoreNoReply{};
  }
};

// A feed and its dependencies.
struct Instance {
  explicit Instance(const std::string& name)
      : router({.name = {name}}), log(name, LogLevel::kError) {}

  size_t Usable() const {
    size_t usable = 0;
    for (const auto& [name, entry] : router.Upstreams().entries) {
      usable += entry.record ? 1 : 0;
    }
    return usable;
  }

  asio::io_context context;
  Router router;
  UnavailableStore store;
  StoreCodec codec = platform::MakeStoreCodec();
  Log log;
  GatewayMetrics metrics;
  StoreFeed feed{{context, router, store, codec, log, metrics, [] {}}};
};

// Guards against a key that makes what is sent to peers unreadable: they would
// follow no change any more.
TEST_CASE("Peers read the entries beside one with an odd key") {
  for (const std::string& key : kOddKeys) {
    for (const std::string& value : {SoundEntry(), std::string("[")}) {
      CAPTURE(key);
      StoreUpdate listed;
      listed.upstreams_as_of.value = 9;
      listed.is_whole_list = true;
      listed.upstreams = {{{"u1"}, {1}, SoundEntry()},
                          {{key}, {2}, value},
                          {{"u2"}, {3}, SoundEntry()}};
      Instance reader("a");
      reader.feed.ApplyPeerUpdate({"store"}, listed);
      CHECK(reader.Usable() == 2);
      const auto sent =
          DecodeStoreUpdate(EncodeStoreUpdate(reader.feed.UpdateSince(0, {})));
      CHECK(sent);
      if (sent) {
        Instance peer("b");
        peer.feed.ApplyPeerUpdate({"a"}, *sent);
        CHECK(peer.Usable() == 2);
        CHECK(peer.router.Upstreams().as_of.value == 9);
      }
    }
  }
}

void Write(MemoryStore& store,
           const std::string& key,
           const std::string& value) {
  const std::lock_guard lock(store.mutex);
  store.history.push_back({key, {store.history.size() + 1}, value});
}

void WriteOddEntries(MemoryStore& store, const std::string& address) {
  size_t count = 0;
  for (const std::string& text : OddEntries(address)) {
    Write(store, fmt::format("odd-{}", ++count), text);
  }
  for (const std::string& key : kOddKeys) {
    Write(store, key, SoundEntry(address));
  }
}

// Guards against a list that stops, and an odd entry that attracts requests.
TEST_CASE("Changes among odd entries are followed, and only sound ones used") {
  std::atomic<size_t> at_first = 0;
  std::atomic<size_t> at_second = 0;
  std::atomic<size_t> at_odd = 0;
  const auto counting = [](std::atomic<size_t>& count) {
    return [&count](const std::string&) {
      ++count;
      return EngineReply{SignedReply(200, "checked")};
    };
  };
  const LoopbackEngine first(counting(at_first));
  const LoopbackEngine second(counting(at_second));
  const LoopbackEngine odd(counting(at_odd));
  const auto store = std::make_shared<MemoryStore>(std::vector<SiteUpstream>());
  WriteOddEntries(*store, odd.Address());
  store->Register({"u1", "plain", first.Address()});
  SiteOptions options;
  options.store = store;
  const GatewaySite site({}, {}, options);
  const std::string close = "Connection: close\r\n";
  for (int i = 0; i < 20; ++i) {
    CHECK(site.PostRequest("/check/", close).starts_with("HTTP/1.1 200"));
  }
  CHECK(at_first == 20);

  WriteOddEntries(*store, odd.Address());
  store->Register({"u2", "plain", second.Address()});
  store->Remove("u1");
  WriteOddEntries(*store, odd.Address());
  const auto deadline = std::chrono::steady_clock::now() + seconds(5);
  while (at_second == 0 && std::chrono::steady_clock::now() < deadline) {
    site.PostRequest("/check/", close);
  }
  CHECK(at_second > 0);
  CHECK(at_odd == 0);
}

}  // namespace
}  // namespace pomeloring::test
