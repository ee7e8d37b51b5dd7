// The update that an instance sends to a peer must not contain older state that
// it has received from others: the peer would use an upstream that is leaving.

#include <doctest/doctest.h>

#include <boost/json.hpp>

#include "gateway/store_feed.h"
#include "platform/codecs.h"

namespace pomeloring::test {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

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

  asio::io_context context;
  Router router;
  UnavailableStore store;
  StoreCodec codec = platform::MakeStoreCodec();
  Log log;
  GatewayMetrics metrics;
  StoreFeed feed{{context, router, store, codec, log, metrics, [] {}}};
};

StoreUpdate MakeUpdate(const std::string& state,
                       uint64_t offset,
                       uint64_t as_of) {
  StoreUpdate update;
  update.upstreams_as_of.value = as_of;
  update.is_whole_list = true;
  update.upstreams.push_back(
      {{"u1"},
       {offset},
       json::serialize(json::object{{"service", "engines"},
                                    {"address", "127.0.0.1:1"},
                                    {"zone", "here"},
                                    {"slots", 8},
                                    {"state", state}})});
  return update;
}

bool IsDraining(const Instance& instance) {
  return instance.router.Upstreams().entries.at({"u1"}).record->draining;
}

TEST_CASE("A peer's older state does not get into updates for others") {
  Instance listed("a");
  listed.feed.ApplyPeerUpdate({"store"}, MakeUpdate("draining", 21, 22));
  listed.feed.ApplyPeerUpdate({"late"}, MakeUpdate("ready", 12, 21));
  CHECK(IsDraining(listed));

  Instance other("b");
  other.feed.ApplyPeerUpdate({"store"}, MakeUpdate("draining", 21, 22));
  other.feed.ApplyPeerUpdate({"a"}, listed.feed.UpdateSince(0, {}));
  CHECK(IsDraining(other));

  Instance fresh("c");
  fresh.feed.ApplyPeerUpdate({"a"}, listed.feed.UpdateSince(0, {}));
  CHECK(IsDraining(fresh));
}

}  // namespace
}  // namespace pomeloring::test
