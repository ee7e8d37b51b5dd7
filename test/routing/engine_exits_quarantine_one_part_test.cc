// Engines that exit under one prompt part must stop getting requests with it
// from all instances, while the parts of requests that were there are not
// refused.

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <vector>

#include "support/routing_site.h"

namespace pomeloring {
namespace {

const Time kStart{seconds(100)};
constexpr TraitId kCommon = 0xa1;
constexpr TraitId kFatal = 0xdead;
constexpr TraitId kOther = 0xb2;

std::vector<PromptPart> Prompt(std::initializer_list<TraitId> shared) {
  std::vector<PromptPart> parts;
  for (const TraitId id : shared) {
    parts.push_back({id, 100, id});
  }
  parts.push_back({0xf1, 50, 0xf1});
  return parts;
}

// Instances that tell each other everything at once.
struct Fleet {
  explicit Fleet(int instances) {
    for (int i = 0; i < instances; ++i) {
      routers.push_back(ReadyRouter(40, kStart, {fmt::format("i{}", i)}));
    }
    Tell();
  }

  void Tell() {
    for (const auto& sender : routers) {
      const PeerDigest digest = sender->BuildDigest(false, true, now);
      for (const auto& receiver : routers) {
        if (receiver != sender) {
          receiver->HandleDigest(digest, now);
        }
      }
    }
  }

  void Pass(Duration time) {
    for (const Time end = now + time; now < end;) {
      now += std::min<Duration>(end - now, milliseconds(400));
      for (const auto& router : routers) {
        router->Tick(now);
      }
      Tell();
    }
  }

  StartAttemptResult Start(size_t instance,
                           const std::vector<PromptPart>& parts) {
    AttemptRequest request = RequestOn(*routers[instance], "draft", 250);
    request.parts = parts;
    return routers[instance]->StartAttempt(request, now);
  }

  bool IsRefused(size_t instance, const std::vector<PromptPart>& parts) {
    auto result = Start(instance, parts);
    if (auto* attempt = std::get_if<std::shared_ptr<PlacedAttempt>>(&result)) {
      routers[instance]->EndAttempt(**attempt, UpstreamOutcome::kCancelled,
                                    now);
    }
    const auto* unplaced = std::get_if<Unplaced>(&result);
    return unplaced != nullptr &&
           unplaced->reason == PlacementRefusal::kQuarantined;
  }

  void Answer(size_t instance, const std::vector<PromptPart>& parts) {
    auto result = Start(instance, parts);
    auto* attempt = std::get_if<std::shared_ptr<PlacedAttempt>>(&result);
    REQUIRE(attempt != nullptr);
    routers[instance]->RecordByte(**attempt, now);
    routers[instance]->HandleEvents(**attempt, 3, now);
    routers[instance]->EndAttempt(**attempt, UpstreamOutcome::kServed, now);
  }

  // The engine of a new attempt exits when the reply has begun. Returns whether
  // the attempt was placed.
  bool ExitUnder(size_t instance,
                 const std::vector<PromptPart>& parts,
                 ProbeResult probe = ProbeResult::kRefused) {
    auto result = Start(instance, parts);
    auto* attempt = std::get_if<std::shared_ptr<PlacedAttempt>>(&result);
    if (attempt == nullptr) {
      return false;
    }
    Router& router = *routers[instance];
    router.RecordBreak(**attempt, true, now);
    router.EndAttempt(**attempt, UpstreamOutcome::kFailed, now);
    Answer(instance, Prompt({0xc3}));
    router.RecordProbe(**attempt, probe, now);
    const UpstreamName engine = (*attempt)->upstream->record.id;
    for (const auto& each : routers) {
      each->ApplyUpstreamChanges({RemovedUpstream(engine.value, ++offset)},
                                 {offset + 1}, now);
    }
    return true;
  }

  std::vector<std::unique_ptr<Router>> routers;
  Time now = kStart;
  uint64_t offset = 10;
};

TEST_CASE("Exits seen by different instances count together") {
  for (const int instances : {2, 9, 40}) {
    Fleet fleet(instances);
    int exits = 0;
    for (int i = 0; i < 6; ++i) {
      const auto instance = static_cast<size_t>(i % instances);
      fleet.Answer(instance, Prompt({kCommon, kOther}));
      exits += fleet.ExitUnder(instance, Prompt({kCommon, kFatal})) ? 1 : 0;
      fleet.Pass(milliseconds(100));
    }
    CHECK(exits <= 5);
    for (size_t i = 0; i < fleet.routers.size(); ++i) {
      CHECK(fleet.IsRefused(i, Prompt({kCommon, kFatal})));
      CHECK_FALSE(fleet.IsRefused(i, Prompt({kCommon, kOther})));
    }
  }
}

TEST_CASE("A crowd of bystanders is not refused, even if nothing is answered") {
  Fleet fleet(3);
  fleet.Answer(0, Prompt({kCommon, kOther}));
  for (int i = 0; i < 5; ++i) {
    fleet.ExitUnder(0, Prompt({kCommon, kFatal}));
    fleet.Tell();
  }
  CHECK(fleet.IsRefused(1, Prompt({kFatal})));
  CHECK_FALSE(fleet.IsRefused(1, Prompt({kCommon, kOther})));
}

TEST_CASE("A part that only came with the fatal one is freed by one trial") {
  Fleet fleet(3);
  while (fleet.ExitUnder(0, Prompt({kOther, kFatal}))) {
    fleet.Tell();
  }
  CHECK(fleet.IsRefused(1, Prompt({kOther})));
  fleet.Pass(seconds(10));
  fleet.Answer(2, Prompt({kOther}));
  fleet.Tell();
  CHECK_FALSE(fleet.IsRefused(1, Prompt({kOther})));
  CHECK(fleet.IsRefused(1, Prompt({kOther, kFatal})));
  CHECK(fleet.IsRefused(1, Prompt({kFatal})));
}

TEST_CASE("A restarted instance learns it from one digest") {
  Fleet fleet(2);
  while (fleet.ExitUnder(0, Prompt({kFatal}))) {
    fleet.Tell();
  }
  fleet.routers[1] = ReadyRouter(40, fleet.now, {"i1"});
  fleet.Tell();
  CHECK(fleet.IsRefused(1, Prompt({kFatal})));
}

TEST_CASE(
    "Trials are few for the whole fleet, and one success frees the part") {
  Fleet fleet(9);
  while (fleet.ExitUnder(0, Prompt({kFatal}))) {
    fleet.Tell();
  }
  int trials = 0;
  for (int second = 0; second < 600; ++second) {
    for (size_t i = 0; i < fleet.routers.size(); ++i) {
      trials += fleet.ExitUnder(i, Prompt({kFatal})) ? 1 : 0;
      fleet.Tell();
    }
    fleet.Pass(seconds(1));
  }
  CHECK(trials >= 1);
  CHECK(trials <= 3);
  // The part is harmless now: the next trial is answered.
  bool is_free = false;
  for (int minute = 0; minute < 60 && !is_free; ++minute) {
    fleet.Pass(seconds(60));
    for (size_t i = 0; i < fleet.routers.size() && !is_free; ++i) {
      if (!fleet.IsRefused(i, Prompt({kFatal}))) {
        is_free = true;
      }
    }
  }
  CHECK(is_free);
}

TEST_CASE("Lost connections and cuts are no exits") {
  Fleet fleet(2);
  for (int i = 0; i < 6; ++i) {
    auto result = fleet.Start(0, Prompt({kFatal}));
    const auto& attempt = std::get<std::shared_ptr<PlacedAttempt>>(result);
    fleet.routers[0]->RecordBreak(*attempt, true, fleet.now);
    fleet.routers[0]->EndAttempt(*attempt, UpstreamOutcome::kFailed, fleet.now);
    // Half of them are alive; the others refuse an instance that no upstream
    // talks to.
    fleet.routers[0]->RecordProbe(
        *attempt, i % 2 == 0 ? ProbeResult::kAccepted : ProbeResult::kRefused,
        fleet.now);
    fleet.Pass(milliseconds(400));
  }
  CHECK_FALSE(fleet.IsRefused(0, Prompt({kFatal})));
  CHECK(fleet.routers[0]->Quarantine().traits.empty());
}

TEST_CASE("What callers invent takes bounded memory") {
  RequestQuarantine quarantine;
  for (TraitId part = 1; part < 20'000; ++part) {
    RecordExit(quarantine, {TraitsOf(Prompt({part}), part + 1'000'000), true},
               part, kStart);
    RecordAnswer(quarantine,
                 TraitsOf(Prompt({part + 100'000}), part + 2'000'000), kStart);
  }
  CHECK(quarantine.traits.size() <= 128);
  CHECK(quarantine.last_answers.size() <= 8192);
}

}  // namespace
}  // namespace pomeloring
