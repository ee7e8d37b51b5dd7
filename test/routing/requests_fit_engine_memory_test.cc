// Engines crash if the requests that they hold exceed their memory, as when
// several instances send their longest prompts to the same engine. A service
// desk with prompts of up to 70,000 tokens before engines with few slots.

#include <doctest/doctest.h>

#include <map>
#include <random>

#include "gateway/peer_codec.h"
#include "support/routing_site.h"

namespace pomeloring {
namespace {

constexpr Time kStart{seconds(1000)};
constexpr uint64_t kMemoryTokens = 393240;
constexpr uint32_t kSlots = 12;
constexpr int kEngines = 8;

std::unique_ptr<Router> MakeRouter(const std::string& name,
                                   bool places_by_memory,
                                   int engines = kEngines) {
  RouterSettings settings;
  settings.name = {name};
  settings.failure_domain.value = "here";
  settings.random_seed = StableHash(name);
  settings.features.places_by_memory = places_by_memory;
  auto router = std::make_unique<Router>(settings);
  RoutingConfig config = *SmallRouting();
  config.services.at({kEngineService}).engine =
      EngineTraits{kSlots, kMemoryTokens, 6};
  router->ApplyConfig(std::make_shared<const RoutingConfig>(config));
  std::vector<UpstreamChange> list;
  for (int i = 0; i < engines; ++i) {
    list.push_back(ReadyUpstream("e" + std::to_string(i), 0));
  }
  router->ApplyUpstreamList(list, LogOffset{1}, kStart);
  return router;
}

// With time for the prefill of the longest prompt.
AttemptRequest LongRequest(const Router& router, uint32_t tokens) {
  AttemptRequest request = RequestOn(router, "draft", tokens);
  request.time_left = seconds(60);
  return request;
}

StartAttemptResult Start(Router& router, uint32_t tokens, Time now) {
  return router.StartAttempt(LongRequest(router, tokens), now);
}

void Send(Router& from, Router& to, Time now) {
  const std::string bytes = EncodeDigest(from.BuildDigest(false, false, now));
  to.HandleDigest(*DecodeDigest(bytes), now);
}

// Tokens that an engine holds, of all routers.
using HeldTokens = std::map<UpstreamName, uint64_t>;

struct Fleet {
  std::vector<std::unique_ptr<Router>> routers;
  HeldTokens held;
  int placed = 0;
  int refused = 0;
  uint64_t most_held = 0;
};

// Eight requests a second that run for 8 s: 0.7 of all memory. Digests arrive
// `digest_age` after they were built, without those that `is_lost` names.
template <typename IsLost>
Fleet RunLoad(bool places_by_memory, Duration digest_age, IsLost is_lost) {
  struct Running {
    size_t router = 0;
    std::shared_ptr<PlacedAttempt> attempt;
    Time ends;
  };
  struct Delayed {
    size_t to = 0;
    std::string bytes;
    Time arrives;
  };
  Fleet fleet;
  for (const char* name : {"a", "b", "c"}) {
    fleet.routers.push_back(MakeRouter(name, places_by_memory));
  }
  std::vector<Running> running;
  std::vector<Delayed> delayed;
  std::minstd_rand random(7);
  std::uniform_int_distribution<uint32_t> tokens(1000, 70000);
  for (int step = 0; step < 400; ++step) {
    const Time now = kStart + step * milliseconds(125);
    for (Running& each : running) {
      if (!each.attempt->has_first_event) {
        fleet.routers[each.router]->HandleEvents(*each.attempt, 1, now);
      }
    }
    std::erase_if(running, [&](Running& each) {
      if (now < each.ends) {
        return false;
      }
      fleet.held[each.attempt->upstream->record.id] -=
          each.attempt->prompt_tokens;
      fleet.routers[each.router]->EndAttempt(*each.attempt,
                                             UpstreamOutcome::kServed, now);
      return true;
    });
    for (size_t from = 0; from < 3; ++from) {
      const std::string bytes =
          EncodeDigest(fleet.routers[from]->BuildDigest(false, false, now));
      for (size_t to = 0; to < 3; ++to) {
        if (to != from && !is_lost(random())) {
          delayed.push_back({to, bytes, now + digest_age});
        }
      }
    }
    std::erase_if(delayed, [&](const Delayed& each) {
      if (now < each.arrives) {
        return false;
      }
      fleet.routers[each.to]->HandleDigest(*DecodeDigest(each.bytes), now);
      return true;
    });
    const size_t router = static_cast<size_t>(step) % 3;
    fleet.routers[router]->Tick(now);
    AttemptRequest request =
        LongRequest(*fleet.routers[router], tokens(random));
    request.waited = seconds(1);  // It may not be deferred.
    const auto result = fleet.routers[router]->StartAttempt(request, now);
    if (const auto* attempt =
            std::get_if<std::shared_ptr<PlacedAttempt>>(&result)) {
      ++fleet.placed;
      running.push_back({router, *attempt, now + seconds(8)});
      uint64_t& held = fleet.held[(*attempt)->upstream->record.id];
      held += (*attempt)->prompt_tokens;
      fleet.most_held = std::max(fleet.most_held, held);
    } else {
      ++fleet.refused;
    }
  }
  return fleet;
}

constexpr auto kNoneLost = [](unsigned) { return false; };

TEST_CASE(
    "Engines hold no more than their memory under a load of long prompts") {
  const Fleet fleet = RunLoad(true, milliseconds(100), kNoneLost);
  CHECK(fleet.most_held <= kMemoryTokens);
  CHECK(fleet.placed > 250);
  const Fleet without = RunLoad(false, milliseconds(100), kNoneLost);
  CAPTURE(without.most_held);
  CHECK(fleet.placed >= without.placed - without.refused);
}

TEST_CASE("Lost digests let no engine hold more than its memory") {
  const Fleet fleet = RunLoad(true, milliseconds(100),
                              [](unsigned random) { return random % 20 == 0; });
  CHECK(fleet.most_held <= kMemoryTokens);
}

// Loads of peers are dropped after 1.5 s: each instance knows of a part only.
TEST_CASE("Digests that are 2 s old cause no refusal") {
  const Fleet fleet = RunLoad(true, seconds(2), kNoneLost);
  const Fleet without = RunLoad(false, seconds(2), kNoneLost);
  CHECK(fleet.refused <= without.refused);
}

TEST_CASE("An engine without memory for a request is skipped") {
  const auto router = MakeRouter("a", true, 2);
  const auto peer = MakeRouter("b", true, 2);
  const auto first =
      std::get<std::shared_ptr<PlacedAttempt>>(Start(*peer, 370000, kStart));
  // Later, when its prefill no longer keeps others away.
  peer->HandleEvents(*first, 1, kStart + seconds(9));
  for (int second = 20; second < 25; ++second) {
    const Time now = kStart + seconds(second);
    Send(*peer, *router, now);
    const auto next =
        std::get<std::shared_ptr<PlacedAttempt>>(Start(*router, 5000, now));
    CHECK(next->upstream->record.id != first->upstream->record.id);
    router->HandleEvents(*next, 1, now + milliseconds(200));
  }
}

TEST_CASE("Without memory anywhere a request waits, then is refused") {
  const auto router = MakeRouter("a", true, 1);
  const auto first =
      std::get<std::shared_ptr<PlacedAttempt>>(Start(*router, 60000, kStart));
  AttemptRequest request = LongRequest(*router, 350000);
  CHECK(
      std::holds_alternative<Deferred>(router->StartAttempt(request, kStart)));
  request.waited = seconds(1);
  const auto refused = router->StartAttempt(request, kStart);
  REQUIRE(std::holds_alternative<Unplaced>(refused));
  CHECK(std::get<Unplaced>(refused).reason == PlacementRefusal::kNoMemory);
  CHECK(std::get<Unplaced>(refused).retry_after >= milliseconds(100));
  router->EndAttempt(*first, UpstreamOutcome::kServed, kStart + seconds(1));
  CHECK(std::holds_alternative<std::shared_ptr<PlacedAttempt>>(
      router->StartAttempt(request, kStart + seconds(1))));
}

TEST_CASE("A prompt larger than every engine's memory is refused at once") {
  const auto router = MakeRouter("a", true);
  const auto refused = Start(*router, kMemoryTokens + 1, kStart);
  REQUIRE(std::holds_alternative<Unplaced>(refused));
  CHECK(std::get<Unplaced>(refused).reason == PlacementRefusal::kTooLarge);
}

// Peers of the earlier version report no tokens, and must be told none.
TEST_CASE("Without the setting no digest has tokens and none are considered") {
  const auto router = MakeRouter("a", false, 1);
  const auto peer = MakeRouter("b", true, 1);
  REQUIRE(std::holds_alternative<std::shared_ptr<PlacedAttempt>>(
      Start(*peer, 390000, kStart)));
  Send(*peer, *router, kStart);
  const PeerDigest full = router->BuildDigest(false, false, kStart);
  CHECK(full.loads.empty());
  AttemptRequest request = LongRequest(*router, 10000);
  request.waited = seconds(1);
  const auto attempt = std::get<std::shared_ptr<PlacedAttempt>>(
      router->StartAttempt(request, kStart + seconds(30)));
  CHECK(router->BuildDigest(false, false, kStart)
            .loads.at(0)
            .second.held_tokens == 0);
  CHECK(attempt->held_tokens == 0);
}

}  // namespace
}  // namespace pomeloring
