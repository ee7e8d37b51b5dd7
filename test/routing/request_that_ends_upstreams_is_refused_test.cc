// A request under which upstreams exit must be refused by every instance soon
// after its third exit, while sound requests that were beside it, or that
// differ in anything, are not refused.

#include <doctest/doctest.h>
#include <fmt/format.h>

#include "support/relayed_fleet.h"
#include "support/routing_site.h"

namespace pomeloring {
namespace {

const Time kStart{seconds(100)};
constexpr int kUpstreams = 40;
constexpr TraitId kFatal = 0xdead;
constexpr TraitId kPopular = 0xbeef;
// What the users allow from the third exit on.
constexpr Duration kMaxTimeToAct = seconds(3);
constexpr Duration kDigestInterval = milliseconds(40);

// Instances in front of a plain service. Each attempt is at one of its
// upstreams, which is gone for good when it exits.
struct Site {
  explicit Site(int instances, DigestLoss lost = {})
      : fleet(MakeFleet(instances, 1, kStart)), loss(lost) {
    std::vector<UpstreamChange> list{ReadyUpstream("e0", 0)};
    for (int i = 0; i < kUpstreams; ++i) {
      list.push_back(ReadyUpstream(fmt::format("p{}", i), 1, kPlainService));
    }
    for (auto& [name, instance] : fleet) {
      instance.router->ApplyUpstreamList(list, {2}, now);
    }
  }

  Router& At(size_t index) {
    auto instance = fleet.begin();
    std::advance(instance, static_cast<long>(index % fleet.size()));
    return *instance->second.router;
  }

  std::shared_ptr<PlacedAttempt> Start(
      Router& router,
      TraitId request,
      const std::vector<UpstreamName>& excluded = {}) {
    AttemptRequest attempt = RequestOn(router, "stamp", 0);
    attempt.whole_request = request;
    attempt.excluded = excluded;
    auto result = router.StartAttempt(attempt, now);
    auto* started = std::get_if<std::shared_ptr<PlacedAttempt>>(&result);
    return started == nullptr ? nullptr : *started;
  }

  // Whether it is refused; else it is answered.
  bool IsRefused(Router& router, TraitId request) {
    const auto attempt = Start(router, request);
    if (attempt) {
      Answer(router, attempt);
    }
    return attempt == nullptr;
  }

  bool IsQuarantined(const Router& router, TraitId request) const {
    const auto found = router.Quarantine().traits.find(request);
    return found != router.Quarantine().traits.end() &&
           found->second.is_quarantined;
  }

  void Answer(Router& router, const std::shared_ptr<PlacedAttempt>& attempt) {
    router.RecordByte(*attempt, now);
    router.EndAttempt(*attempt, UpstreamOutcome::kServed, now);
  }

  // The upstream of `attempt` exits, as seen by `router`.
  void Exit(Router& router, const std::shared_ptr<PlacedAttempt>& attempt) {
    router.EndAttempt(*attempt, UpstreamOutcome::kFailed, now);
    router.RecordBreak(*attempt, false, now);
    Remove(attempt->upstream->record.id.value);
  }

  void Remove(const std::string& id) {
    ++offset;
    for (auto& [name, instance] : fleet) {
      instance.router->ApplyUpstreamChanges({RemovedUpstream(id, offset)},
                                            {offset + 1}, now);
      instance.router->Tick(now);
    }
  }

  void Pass(Duration time) {
    for (const Time end = now + time; now < end; now += kDigestInterval) {
      for (auto& [name, instance] : fleet) {
        instance.router->Tick(now);
      }
      ExchangeDigests(fleet, now, loss);
    }
  }

  RelayedFleet fleet;
  DigestLoss loss;
  Time now = kStart;
  uint64_t offset = 10;
};

TEST_CASE("All instances act soon after the third exit, with digests lost") {
  for (const int instances : {6, 85, 295}) {
    Site site(instances, {7, 30});
    site.Pass(milliseconds(400));
    int exits = 0;
    for (size_t i = 0; i < 5; ++i) {
      Router& router = site.At(i * 53);
      if (const auto attempt = site.Start(router, kFatal)) {
        site.Exit(router, attempt);
        ++exits;
      }
      site.Pass(milliseconds(120));
    }
    CHECK(exits <= 3);
    site.Pass(kMaxTimeToAct);
    for (auto& [name, instance] : site.fleet) {
      CAPTURE(name.value);
      CHECK(site.IsQuarantined(*instance.router, kFatal));
    }
  }
}

TEST_CASE("A popular request that is there each time is not refused") {
  Site site(6);
  for (int round = 0; round < 3; ++round) {
    for (size_t i = 0; i < 6; ++i) {
      CHECK_FALSE(site.IsRefused(site.At(i), kPopular));
    }
    Router& router = site.At(static_cast<size_t>(round));
    const auto fatal = site.Start(router, kFatal);
    if (!fatal) {
      break;
    }
    // Placed at the same upstream, as far as its own instance knows.
    const auto beside = site.Start(router, kPopular);
    beside->upstream = fatal->upstream;
    router.EndAttempt(*beside, UpstreamOutcome::kFailed, site.now);
    router.RecordBreak(*beside, false, site.now);
    site.Exit(router, fatal);
    site.Pass(milliseconds(400));
  }
  for (size_t i = 0; i < 6; ++i) {
    CHECK(site.IsQuarantined(site.At(i), kFatal));
    CHECK_FALSE(site.IsRefused(site.At(i), kPopular));
  }
}

TEST_CASE("Upstreams that exit together leave a popular request alone") {
  Site site(6);
  for (size_t i = 0; i < 6; ++i) {
    CHECK_FALSE(site.IsRefused(site.At(i), kPopular));
  }
  site.Pass(seconds(1));
  std::vector<std::shared_ptr<PlacedAttempt>> running;
  std::vector<UpstreamName> used;
  for (size_t i = 0; i < 6; ++i) {
    running.push_back(site.Start(site.At(i), kPopular, used));
    used.push_back(running.back()->upstream->record.id);
  }
  for (size_t i = 0; i < 6; ++i) {
    site.Exit(site.At(i), running[i]);
  }
  site.Pass(seconds(5));
  for (size_t i = 0; i < 6; ++i) {
    CHECK_FALSE(site.IsRefused(site.At(i), kPopular));
  }
}

TEST_CASE("One that had answers before is refused when it ends upstreams") {
  Site site(6);
  CHECK_FALSE(site.IsRefused(site.At(0), kFatal));
  int exits = 0;
  for (size_t i = 0; i < 20; ++i) {
    site.Pass(milliseconds(400));
    if (const auto attempt = site.Start(site.At(i), kFatal)) {
      site.Exit(site.At(i), attempt);
      ++exits;
    }
  }
  CHECK(exits >= 3);
  CHECK(exits <= 6);
}

TEST_CASE("An exit of an upstream that drains says nothing") {
  Site site(2);
  for (size_t i = 0; i < 6; ++i) {
    const auto attempt = site.Start(site.At(0), kFatal);
    REQUIRE(attempt);
    UpstreamChange draining = ReadyUpstream(attempt->upstream->record.id.value,
                                            ++site.offset, kPlainService);
    draining.record->draining = true;
    for (auto& [name, instance] : site.fleet) {
      instance.router->ApplyUpstreamChanges({draining}, {site.offset + 1},
                                            site.now);
    }
    site.Exit(site.At(0), attempt);
    site.Pass(milliseconds(400));
  }
  CHECK(site.At(0).Quarantine().traits.empty());
}

TEST_CASE("Requests that differ in anything are different") {
  const RequestIdentity base{"one", "POST", "a.example", "/x?y", "body"};
  const TraitId id = IdOfRequest(base);
  CHECK(id == IdOfRequest({"one", "POST", "A.Example", "/x?y", "body"}));
  CHECK(id != IdOfRequest({"two", "POST", "a.example", "/x?y", "body"}));
  CHECK(id != IdOfRequest({"", "POST", "a.example", "/x?y", "body"}));
  CHECK(id != IdOfRequest({"one", "PUT", "a.example", "/x?y", "body"}));
  CHECK(id != IdOfRequest({"one", "POST", "b.example", "/x?y", "body"}));
  CHECK(id != IdOfRequest({"one", "POST", "a.example", "/x?", "ybody"}));
  CHECK(id != IdOfRequest({"one", "POST", "a.example", "/x?y", "bodz"}));
}

}  // namespace
}  // namespace pomeloring
