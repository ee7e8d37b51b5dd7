// 85 instances send 500 requests a second to 112 engines whose speeds differ by
// 2.4 times. Each instance alone sees an answer of an engine every 20 s: it
// learns neither which engines are slow nor which one has begun to fail.

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <cmath>
#include <functional>

#include "support/engine_fleet.h"
#include "support/relayed_fleet.h"
#include "support/routing_site.h"

namespace pomeloring {
namespace {

constexpr Time kStart{seconds(1000)};
constexpr int kInstances = 85;
constexpr int kEngines = 112;
constexpr uint32_t kSlots = 12;
constexpr double kSpeeds[] = {0.7, 0.7, 1.7};
constexpr uint32_t kPromptTokens = 600;
constexpr double kRequestsPerMs = 0.5;
// What an engine of speed 1 takes for a first event beyond its prefill: half of
// the step in progress, and the other streams of its batch.
constexpr double kBatchDelayMs = 6;
constexpr milliseconds kStep{5};
constexpr milliseconds kDigestInterval{100};
// The time to the first event is nearly all the engine's own.
const EngineKind kKind{"uneven", kSlots, 2, 6, 0.5, 20, 10};

UpstreamName EngineName(int engine) {
  return {fmt::format("e{}", engine)};
}

std::unique_ptr<Router> MakeUnevenRouter(const RelayCandidate& candidate,
                                         bool shares_speeds) {
  RouterSettings settings;
  settings.name = candidate.name;
  settings.failure_domain.value = "here";
  settings.random_seed = StableHash(candidate.name.value);
  settings.admits_by_slots = true;
  settings.features.shares_speeds = shares_speeds;
  auto router = std::make_unique<Router>(settings);
  auto config = std::make_shared<RoutingConfig>(*SmallRouting());
  config->services.at({kEngineService}).engine =
      EngineTraits{kSlots, 400000, kKind.tokens_per_event};
  IndexRoutes(*config);
  router->ApplyConfig(config);
  std::vector<UpstreamChange> list;
  for (int i = 0; i < kEngines; ++i) {
    list.push_back(ReadyUpstream(EngineName(i).value, 0));
    list.back().record->slots = kSlots;
  }
  router->ApplyUpstreamList(list, LogOffset{1}, kStart);
  return router;
}

struct UnevenSite {
  EngineFleet engines{kEngines, kKind};
  RelayedFleet fleet;
  std::vector<Router*> routers;
  std::map<UpstreamName, double> slow_factors;
  std::optional<UpstreamName> failing;
  double failing_share = 0.45;
  std::optional<Time> first_failure_at;
  std::map<UpstreamName, int> placed;
  DigestLoss loss;
  uint64_t random = 7;
  double due = 0;
  Time now = kStart;
};

void SetSlowFactor(UnevenSite& site, const UpstreamName& name, double factor) {
  site.slow_factors[name] = factor;
  site.engines.SetSlowFactor(name, factor);
}

UnevenSite MakeSite(const std::function<bool(int)>& shares_speeds) {
  UnevenSite site;
  int number = 0;
  site.fleet = MakeFleet(kInstances, [&](const RelayCandidate& candidate) {
    return MakeUnevenRouter(candidate, shares_speeds(number++));
  });
  for (auto& [name, instance] : site.fleet) {
    site.routers.push_back(instance.router.get());
  }
  for (int i = 0; i < kEngines; ++i) {
    SetSlowFactor(site, EngineName(i), 1 / kSpeeds[i % 3]);
  }
  return site;
}

UnevenSite MakeSite() {
  return MakeSite([](int) { return true; });
}

double Uniform(UnevenSite& site) {
  return static_cast<double>(NextRandom(site.random) >> 11) * 0x1p-53;
}

void StartOne(UnevenSite& site) {
  Router& router = *site.routers[NextRandom(site.random) % site.routers.size()];
  const AttemptRequest request = RequestOn(router, "tag", kPromptTokens);
  router.CountRequest(request.service, site.now);
  auto result = router.StartAttempt(request, site.now);
  auto* attempt = std::get_if<std::shared_ptr<PlacedAttempt>>(&result);
  if (attempt == nullptr) {
    return;
  }
  const UpstreamName name = (*attempt)->upstream->record.id;
  ++site.placed[name];
  if (name == site.failing && Uniform(site) < site.failing_share) {
    site.first_failure_at = site.first_failure_at.value_or(site.now);
    router.EndAttempt(**attempt, UpstreamOutcome::kFailed, site.now);
    return;
  }
  const auto output = static_cast<uint32_t>(30 + 60 * Uniform(site));
  site.engines.Start(router, *attempt, output, site.now);
}

void RunFor(UnevenSite& site, Duration duration) {
  const Time end = site.now + duration;
  for (; site.now < end; site.now += kStep) {
    site.engines.Advance(site.now);
    if ((site.now - kStart) % kDigestInterval == Duration{0}) {
      ExchangeDigests(site.fleet, site.now, site.loss);
      for (Router* router : site.routers) {
        router->Tick(site.now);
      }
    }
    for (site.due += kRequestsPerMs * ToMillis(kStep); site.due >= 1;
         --site.due) {
      StartOne(site);
    }
  }
}

// Of all pairs of instance and engine, those whose expected time to the first
// event is within 15 % of the true one, in percent.
double AccuratePercent(const UnevenSite& site) {
  int accurate = 0;
  int pairs = 0;
  for (const Router* router : site.routers) {
    const auto known = router->Engines().find({kEngineService});
    const EngineEstimate estimate =
        known == router->Engines().end() ? EngineEstimate{} : known->second;
    for (const UpstreamState* upstream : router->AllUpstreams()) {
      const double expected_ms =
          SpeedOf(*upstream) * ExpectedFirstEventMs(estimate, 0, kPromptTokens);
      const double true_ms =
          site.slow_factors.at(upstream->record.id) *
          (site.engines.IdleFirstEventMs(kPromptTokens) + kBatchDelayMs);
      ++pairs;
      accurate += std::abs(expected_ms / true_ms - 1) <= 0.15 ? 1 : 0;
    }
  }
  return 100.0 * accurate / pairs;
}

double LeastFactor(const UnevenSite& site, const UpstreamName& name) {
  double least = 100;
  for (const Router* router : site.routers) {
    least = std::min(least, SpeedOf(*router->FindUpstream(name)));
  }
  return least;
}

TEST_CASE("Nine expected latencies in ten are right after three seconds") {
  UnevenSite site = MakeSite();
  RunFor(site, seconds(3));
  const double accurate = AccuratePercent(site);
  MESSAGE("accurate: ", accurate, " %");
  CHECK(accurate >= 90);

  UnevenSite lossy = MakeSite();
  lossy.loss.percent = 5;
  RunFor(lossy, seconds(3));
  MESSAGE("with losses: ", AccuratePercent(lossy), " %");
  CHECK(AccuratePercent(lossy) > accurate - 5);

  UnevenSite apart = MakeSite([](int) { return false; });
  RunFor(apart, seconds(3));
  MESSAGE("not shared: ", AccuratePercent(apart), " %");
  CHECK(AccuratePercent(apart) < 50);
}

// A stream's event takes 340 ms at such an engine, and a first event 190 ms.
TEST_CASE("All instances know within two seconds that engines became slow") {
  UnevenSite site = MakeSite();
  RunFor(site, seconds(5));
  const int slow[] = {0, 1, 3, 4};
  for (const int engine : slow) {
    SetSlowFactor(site, EngineName(engine), 3 / kSpeeds[0]);
  }
  RunFor(site, seconds(1));
  for (const int engine : slow) {
    MESSAGE("least factor after 1 s: ", LeastFactor(site, EngineName(engine)));
  }
  RunFor(site, seconds(1));
  for (const int engine : slow) {
    CAPTURE(engine);
    CHECK(LeastFactor(site, EngineName(engine)) > 2);
  }
}

TEST_CASE("All instances avoid an engine within a second of its failures") {
  UnevenSite site = MakeSite();
  RunFor(site, seconds(5));
  site.failing = EngineName(1);
  while (!site.first_failure_at) {
    RunFor(site, kStep);
  }
  RunFor(site, seconds(1));
  site.placed.clear();
  RunFor(site, seconds(2));
  const double mean = 2 * kRequestsPerMs * 1000 / kEngines;
  MESSAGE("requests there: ", site.placed[EngineName(1)], " of ", mean);
  CHECK(site.placed[EngineName(1)] < 0.2 * mean);
}

// A relay that returned an observation would make its sender count it twice.
TEST_CASE("What an instance has sent is not sent back to it") {
  SpeedQueue queue;
  const SpeedObservation first{7, 10, 500, 1, 0};
  const SpeedObservation second{7, 30, 100, 0, 2};
  QueueObservation(queue, first, {"a"}, false, kStart);
  QueueObservation(queue, second, {"b"}, false, kStart);
  const auto taken = TakeQueued(queue, kStart);
  CHECK(ObservationsFor(taken, {"a"}) == std::vector{second});
  CHECK(ObservationsFor(taken, {"b"}) == std::vector{first});
  CHECK(ObservationsFor(taken, {"c"}) ==
        std::vector{SpeedObservation{7, 40, 200, 1, 2}});
}

// An upstream that starts again under its name may run on another machine.
TEST_CASE("A new process is not taken to be as slow as the one before") {
  const auto router = MakeUnevenRouter(NumberedCandidate(0, 10), true);
  PeerDigest digest;
  digest.sender.value = "peer";
  digest.speeds = {{SpeedKeyOf(EngineName(0)), 100, 1400, 0, 0},
                   {SpeedKeyOf(EngineName(1)), 100, 0, 0, 0}};
  REQUIRE(router->HandleDigest(digest, kStart));
  CHECK(SpeedOf(*router->FindUpstream(EngineName(0))) > 1.3);
  UpstreamChange restarted = ReadyUpstream(EngineName(0).value, 2);
  restarted.record->slots = kSlots;
  for (const int64_t started_at_ms : {1, 2}) {
    restarted.record->started_at_ms = started_at_ms;
    restarted.offset.value = 1 + static_cast<uint64_t>(started_at_ms);
    router->ApplyUpstreamChanges({restarted}, restarted.offset, kStart);
  }
  router->Tick(kStart + seconds(1));
  CHECK(SpeedOf(*router->FindUpstream(EngineName(0))) == 1);
}

// Without the setting, digests must not differ by a byte.
TEST_CASE("Nothing is observed or sent while speeds are not shared") {
  UnevenSite site = MakeSite([](int) { return false; });
  RunFor(site, seconds(1));
  for (Router* router : site.routers) {
    CHECK(router->BuildDigest(false, false, site.now).speeds.empty());
    CHECK(!router->FindUpstream(EngineName(0))->shared_speed);
  }
}

}  // namespace
}  // namespace pomeloring
