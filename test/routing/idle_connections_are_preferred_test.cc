// An instance that opens a connection to an upstream beside one that it has an
// idle connection to makes the upstream pay for it. One that prefers its idle
// connections too much makes prompts and queues pay.

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <optional>
#include <string>

#include "support/routing_site.h"

namespace pomeloring {
namespace {

constexpr Time kStart{seconds(1000)};
constexpr int kUpstreams = 8;

struct Case {
  const char* name;
  const char* route = "draft";
  uint32_t engine_slots = 12;
  bool admits_by_slots = false;
  bool prefers_idle = true;
  Duration usable_for{0};
  Duration usable_for_unsafe{0};
  // At the upstream with the idle connection.
  uint32_t running = 0;
  // Prompt tokens that another upstream has cached.
  uint32_t cached_elsewhere = 0;
  // Bounds of the share of requests that go to the idle connection.
  double min_share = 0;
  double max_share = 1;
};

AttemptRequest RequestOf(const Case& test, const Router& router) {
  AttemptRequest request =
      RequestOn(router, test.route, 100 + test.cached_elsewhere);
  if (test.cached_elsewhere > 0) {
    request.parts = {{1, test.cached_elsewhere, 1}, {2, 100, 2}};
  }
  return request;
}

std::unique_ptr<Router> RouterFor(const Case& test, uint64_t seed) {
  RouterSettings settings;
  settings.name.value = "a";
  settings.failure_domain.value = "here";
  settings.random_seed = seed;
  settings.admits_by_slots = test.admits_by_slots;
  settings.features.prefers_idle_connections = test.prefers_idle;
  auto router = std::make_unique<Router>(settings);
  auto config = std::make_shared<RoutingConfig>(*SmallRouting());
  config->services.at({kEngineService}).engine->batch_slots = test.engine_slots;
  router->ApplyConfig(config);
  std::vector<UpstreamChange> list;
  const std::string service = RequestOn(*router, test.route, 1).service.value;
  for (int i = 0; i < kUpstreams; ++i) {
    list.push_back(ReadyUpstream(fmt::format("u{}", i), 0, service));
    list.back().record->address = fmt::format("127.0.0.1:{}", i + 1);
  }
  router->ApplyUpstreamList(list, LogOffset{1}, kStart);
  return router;
}

// Returns the upstream that one request is sent to. The idle connection is to
// u3; u5 has the cached prompt.
std::string ChosenBy(const Case& test, uint64_t seed) {
  const auto router = RouterFor(test, seed);
  const auto at = router->FindUpstream({"u3"});
  at->local_load.running = test.running;
  if (test.cached_elsewhere > 0) {
    const AttemptRequest request = RequestOf(test, *router);
    RecordCachedParts(*router->FindUpstream({"u5"}), request.parts, kStart);
  }
  router->RecordIdleConnections(
      at->record.address,
      {kStart + test.usable_for, kStart + test.usable_for_unsafe});
  auto result = router->StartAttempt(RequestOf(test, *router), kStart);
  const auto* attempt = std::get_if<std::shared_ptr<PlacedAttempt>>(&result);
  return attempt == nullptr ? "" : (*attempt)->upstream->record.id.value;
}

TEST_CASE("The upstream with an idle connection is chosen among equal ones") {
  constexpr Duration kSome = seconds(1);
  constexpr Duration kNone{0};
  const Case cases[] = {
      {"retryable", "draft", 12, false, true, kSome, kNone, 0, 0, 1, 1},
      {"setting off", "draft", 12, false, false, kSome, kSome, 0, 0, 0, 0.3},
      {"expired", "draft", 12, false, true, kNone, kNone, 0, 0, 0, 0.3},
      {"unsafe", "question", 12, false, true, kSome, kSome, 0, 0, 1, 1},
      {"too old for an unsafe request", "question", 12, false, true, kSome,
       kNone, 0, 0, 0, 0.3},
      {"engines with many slots", "draft", 64, false, true, kSome, kSome, 0, 0,
       0, 0.3},
      {"long queue", "draft", 12, false, true, kSome, kSome, 11, 0, 0, 0},
      {"cached prompt", "draft", 12, false, true, kSome, kSome, 0, 4000, 0, 0},
      {"random choice", "draft", 12, true, true, kSome, kSome, 0, 0, 0.7, 0.95},
      {"random choice, setting off", "draft", 12, true, false, kSome, kSome, 0,
       0, 0, 0.3},
      {"random choice, no slot", "draft", 12, true, true, kSome, kSome, 12, 0,
       0, 0},
      {"plain", "stamp", 12, false, true, kSome, kSome, 0, 0, 1, 1},
      {"plain, too old", "stamp", 12, false, true, kSome, kNone, 0, 0, 0, 0.3},
      {"plain, a little busier", "stamp", 12, false, true, kSome, kSome, 1, 0,
       1, 1},
      {"plain, half busy", "stamp", 12, false, true, kSome, kSome, 4, 0, 0, 0},
      {"plain, queue", "stamp", 12, false, true, kSome, kSome, 9, 0, 0, 0},
  };
  constexpr int kSeeds = 200;
  for (const Case& test : cases) {
    CAPTURE(test.name);
    int chosen = 0;
    for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
      chosen += ChosenBy(test, seed) == "u3" ? 1 : 0;
    }
    const double share = static_cast<double>(chosen) / kSeeds;
    CHECK(share >= test.min_share);
    CHECK(share <= test.max_share);
  }
}

// The connections of a process are not those of one that takes its address.
TEST_CASE("A new process has no idle connections") {
  const Case test{"restart"};
  const auto router = RouterFor(test, 1);
  const std::string address = router->FindUpstream({"u3"})->record.address;
  router->RecordIdleConnections(address,
                                {kStart + seconds(1), kStart + seconds(1)});
  UpstreamChange change = ReadyUpstream("u3", 5);
  change.record->address = address;
  change.record->started_at_ms = 77;
  router->ApplyUpstreamChanges({change}, LogOffset{6}, kStart);
  CHECK(router->FindUpstream({"u3"})->idle_connections.usable_until == Time{});
  router->RecordIdleConnections(address,
                                {kStart + seconds(2), kStart + seconds(1)});
  CHECK(router->FindUpstream({"u3"})->idle_connections.usable_until ==
        kStart + seconds(2));
}

}  // namespace
}  // namespace pomeloring
