// An upstream that crashes has no load and looks cheap until its registration
// expires. If each instance had to find out by itself, each request would try
// one crashed upstream after the other.

#include <doctest/doctest.h>

#include "support/relayed_fleet.h"
#include "support/routing_site.h"

namespace pomeloring {
namespace {

constexpr int kEngines = 4;
constexpr Duration kDigestInterval = milliseconds(40);

struct Exit {
  Time now{seconds(100)};
  RelayedFleet fleet;
  UpstreamName upstream;

  Router& Observer() { return *fleet.rbegin()->second.router; }

  void Pass(Duration time) {
    for (const Time end = now + time; now < end;) {
      now += kDigestInterval;
      for (auto& [name, instance] : fleet) {
        instance.router->Tick(now);
      }
      ExchangeDigests(fleet, now);
    }
  }

  // How many instances would send the upstream a request.
  size_t InstancesThatUseIt() const {
    size_t count = 0;
    for (const auto& [name, instance] : fleet) {
      const auto state = instance.router->FindUpstream(upstream);
      count += FindUseBlock(*state, now) == SendBlock::kNone ? 1 : 0;
    }
    return count;
  }
};

// One instance sees an attempt break and connections refused, while another
// upstream still talks to it.
Exit MakeExit(int size) {
  Exit exit;
  exit.fleet = MakeFleet(size, kEngines, exit.now);
  exit.Pass(seconds(1));
  Router& observer = exit.Observer();
  AttemptRequest request = RequestOn(observer, "draft", 4000);
  request.parts = {{7, 3000, 7}, {8, 1000, 8}};
  const auto attempt = std::get<std::shared_ptr<PlacedAttempt>>(
      observer.StartAttempt(request, exit.now));
  exit.upstream = attempt->upstream->record.id;
  observer.EndAttempt(*attempt, UpstreamOutcome::kFailed, exit.now);
  observer.RecordBreak(*attempt, false, exit.now);
  for (const UpstreamState* other : observer.AllUpstreams()) {
    if (other->record.id != exit.upstream) {
      observer.FindUpstream(other->record.id)->health.last_byte_at = exit.now;
    }
  }
  observer.RecordConnect(*attempt->upstream, ProbeResult::kRefused, exit.now);
  observer.RecordProbe(*attempt, ProbeResult::kRefused, exit.now);
  return exit;
}

TEST_CASE("No instance uses an upstream that one has seen exit") {
  for (const int size : {6, 85, 295}) {
    CAPTURE(size);
    Exit exit = MakeExit(size);
    exit.Pass(milliseconds(200));
    CHECK(exit.InstancesThatUseIt() == 0);
    // Only the instance that has seen it checks whether it is back.
    size_t checking = 0;
    for (const auto& [name, instance] : exit.fleet) {
      for (const auto& due :
           instance.router->UpstreamsToCheck(exit.now + milliseconds(300))) {
        checking += due->record.id == exit.upstream ? 1 : 0;
      }
    }
    CHECK(checking == 1);
  }
}

TEST_CASE("An exit holds while connections are refused, then expires") {
  Exit exit = MakeExit(85);
  for (int check = 0; check < 8; ++check) {
    exit.Pass(milliseconds(250));
    exit.Observer().RecordConnect(*exit.Observer().FindUpstream(exit.upstream),
                                  ProbeResult::kRefused, exit.now);
    CHECK(exit.InstancesThatUseIt() == 0);
  }
  // Without a further refusal, wrong evidence must not keep an upstream away.
  exit.Pass(milliseconds(1500));
  CHECK(exit.InstancesThatUseIt() == exit.fleet.size());
}

TEST_CASE("A byte of the upstream outweighs the word of peers") {
  Exit exit = MakeExit(6);
  exit.Pass(milliseconds(200));
  auto& router = *exit.fleet.begin()->second.router;
  const auto state = router.FindUpstream(exit.upstream);
  router.RecordConnect(*state, ProbeResult::kAccepted, exit.now);
  exit.Pass(milliseconds(40));
  CHECK(FindUseBlock(*state, exit.now) == SendBlock::kNone);
}

}  // namespace
}  // namespace pomeloring
