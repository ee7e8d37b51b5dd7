// Routers of three failure domains before engines with few slots. Without an
// agreed flow, instances of a domain that is short of slots fill it first, or
// all send their requests to the same free slots elsewhere.

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <vector>

#include "gateway/gateway_metrics.h"
#include "gateway/peer_codec.h"
#include "support/relayed_fleet.h"
#include "support/routing_site.h"

namespace pomeloring {
namespace {

constexpr Time kStart{seconds(1000)};
constexpr milliseconds kStep{10};
constexpr uint32_t kSlots = 12;
constexpr int kEngines = 18;
constexpr double kDomainSlots = kSlots * kEngines / 3.0;
constexpr Duration kSlotTime = seconds(1);
constexpr uint64_t kBytes = 60000;
// Of the latency target of 500 ms, without the prefill.
constexpr Duration kMaxWait = milliseconds(400);

FailureDomain DomainOf(int number) {
  return {fmt::format("d{}", number % 3)};
}

std::shared_ptr<const RoutingConfig> FewSlots() {
  auto config = std::make_shared<RoutingConfig>(*SmallRouting());
  config->services.at({kEngineService}).engine =
      EngineTraits{kSlots, 400000, 6};
  return config;
}

std::unique_ptr<Router> MakeRouter(int number,
                                   std::optional<double> ms_per_mb) {
  RouterSettings settings;
  settings.name.value = fmt::format("n{:03}", number);
  settings.failure_domain = DomainOf(number);
  settings.random_seed = 1 + static_cast<uint64_t>(number);
  settings.admits_by_slots = true;
  settings.features.cross_domain_ms_per_mb = ms_per_mb;
  auto router = std::make_unique<Router>(settings);
  router->ApplyConfig(FewSlots());
  std::vector<UpstreamChange> list;
  for (int i = 0; i < kEngines; ++i) {
    list.push_back(ReadyUpstream(fmt::format("e{}", i), 0));
    list.back().record->failure_domain = DomainOf(i);
    list.back().record->slots = kSlots;
  }
  router->ApplyUpstreamList(list, LogOffset{1}, kStart);
  return router;
}

struct DomainScore {
  int arrived = 0;
  int on_time = 0;
  std::map<CrossingReason, int> left;
};

class Site {
 public:
  explicit Site(int instances, int without_flows = -1) {
    std::vector<RelayCandidate> live;
    for (int i = 0; i < instances; ++i) {
      live.push_back(NumberedCandidate(i, i % 8 == 0 ? 200 : 10));
    }
    const auto relays = ChooseRelays(live);
    for (int i = 0; i < instances; ++i) {
      FleetInstance instance{
          live[i],
          MakeRouter(i, i == without_flows ? std::nullopt
                                           : std::optional<double>(100)),
          {}};
      const bool is_relay = std::any_of(
          relays.begin(), relays.end(),
          [&](const auto& each) { return each.name == live[i].name; });
      instance.router->SetRelaying(is_relay);
      if (!is_relay && !relays.empty()) {
        instance.relay = *ChooseRelayFor(live[i], relays, {});
      }
      m_fleet[live[i].name] = std::move(instance);
    }
  }

  // `demands` are those of the domains, of their slots.
  std::map<FailureDomain, DomainScore> Run(std::array<double, 3> demands,
                                           Duration duration) {
    std::map<FailureDomain, DomainScore> scores;
    for (const Time end = m_now + duration; m_now < end; m_now += kStep) {
      std::erase_if(m_running, [&](const Running& each) {
        if (m_now < each.ends_at) {
          return false;
        }
        each.attempt->bytes = kBytes;
        each.router->EndAttempt(*each.attempt, UpstreamOutcome::kServed, m_now);
        return true;
      });
      if ((m_now - kStart) % milliseconds(100) == Duration{0}) {
        if (has_digests) {
          ExchangeDigests(m_fleet, m_now, loss);
        }
        for (auto& [name, instance] : m_fleet) {
          instance.router->Tick(m_now);
        }
      }
      for (int d = 0; d < 3; ++d) {
        m_due[d] +=
            demands[d] * kDomainSlots * ToMillis(kStep) / ToMillis(kSlotTime);
        for (; m_due[d] >= 1; --m_due[d]) {
          Arrive(d, scores[DomainOf(d)]);
        }
      }
    }
    return scores;
  }

  // Of all instances of the domain.
  std::vector<double> FlowsFrom(const FailureDomain& domain) const {
    std::vector<double> sums;
    for (const auto& [name, instance] : m_fleet) {
      const Router& router = *instance.router;
      if (router.Settings().failure_domain == domain &&
          router.Flows().contains({kEngineService})) {
        sums.push_back(0);
        for (const auto& [to, flow] :
             router.Flows().at({kEngineService}).flows.out) {
          sums.back() += flow.fraction;
        }
      }
    }
    return sums;
  }

  // Ends the process of a relay; its instances choose another one.
  void EndRelay(const InstanceName& name) {
    m_fleet.erase(name);
    std::erase_if(m_running,
                  [&](const Running& each) { return each.instance == name; });
    std::vector<RelayCandidate> relays;
    for (const auto& [other, instance] : m_fleet) {
      if (instance.relay.value.empty()) {
        relays.push_back(instance.candidate);
      }
    }
    for (auto& [other, instance] : m_fleet) {
      if (instance.relay == name) {
        instance.relay = *ChooseRelayFor(instance.candidate, relays, {});
      }
    }
  }

  RelayedFleet& Fleet() { return m_fleet; }
  Time Now() const { return m_now; }

  DigestLoss loss;
  bool has_digests = true;

 private:
  struct Running {
    Router* router = nullptr;
    InstanceName instance;
    std::shared_ptr<PlacedAttempt> attempt;
    Time ends_at;
  };

  void Arrive(int domain, DomainScore& score) {
    std::vector<Router*> routers;
    for (const auto& [name, instance] : m_fleet) {
      if (instance.candidate.failure_domain == DomainOf(domain)) {
        routers.push_back(instance.router.get());
      }
    }
    Router& router = *routers[NextRandom(m_random) % routers.size()];
    router.CountRequest({kEngineService}, m_now);
    AttemptRequest request = RequestOn(router, "tag", 200);
    request.ticket = ++m_tickets;
    request.waited = milliseconds(400);  // Not deferred again.
    ++score.arrived;
    auto result = router.StartAttempt(request, m_now);
    const auto* attempt = std::get_if<std::shared_ptr<PlacedAttempt>>(&result);
    if (attempt == nullptr) {
      return;
    }
    // Starts once fewer than all slots are taken by those before it.
    std::vector<Time> ends;
    for (const Running& each : m_running) {
      if (each.attempt->upstream->record.id ==
          (*attempt)->upstream->record.id) {
        ends.push_back(each.ends_at);
      }
    }
    std::sort(ends.begin(), ends.end());
    const Time starts_at =
        ends.size() < kSlots ? m_now : ends[ends.size() - kSlots];
    score.on_time += starts_at - m_now <= kMaxWait ? 1 : 0;
    ++score.left[(*attempt)->placement.left_domain];
    router.HandleEvents(**attempt, 1, m_now + milliseconds(50));
    m_running.push_back(
        {&router, router.Settings().name, *attempt, starts_at + kSlotTime});
  }

  RelayedFleet m_fleet;
  std::vector<Running> m_running;
  std::array<double, 3> m_due{};
  Time m_now = kStart;
  uint64_t m_tickets = 0;
  uint64_t m_random = 3;
};

TEST_CASE("The excess of a short domain leaves, what fits stays") {
  struct Fleet {
    int instances;
    int without_flows;  // An instance of an earlier version.
    uint64_t lost_percent;
  };
  for (const auto& [instances, without, lost] :
       {Fleet{6, -1, 0}, Fleet{24, -1, 0}, Fleet{24, -1, 10},
        Fleet{24, 5, 0}}) {
    CAPTURE(instances);
    CAPTURE(lost);
    Site site(instances, without);
    site.loss.percent = lost;
    site.Run({0.6, 0.6, 0.6}, seconds(3));
    site.Run({1.3, 0.6, 0.6}, seconds(3));
    const auto scores = site.Run({1.3, 0.6, 0.6}, seconds(4));
    const DomainScore& score = scores.at(DomainOf(0));
    const auto left = [&](CrossingReason reason) {
      const auto found = score.left.find(reason);
      return found == score.left.end()
                 ? 0.0
                 : static_cast<double>(found->second) / score.arrived;
    };
    const auto flows = site.FlowsFrom(DomainOf(0));
    const auto [low, high] = std::minmax_element(flows.begin(), flows.end());
    MESSAGE(instances << " instances, lost " << lost << ": flow " << *low
                      << " to " << *high << ", left by flow "
                      << left(CrossingReason::kFlow) << ", not in time "
                      << left(CrossingReason::kNotInTime) << ", on time "
                      << static_cast<double>(score.on_time) / score.arrived);
    CHECK(*low > 0.2);
    CHECK(*high - *low <= 0.03);
    CHECK(left(CrossingReason::kFlow) >= 0.2);
    CHECK(score.on_time >= 0.97 * score.arrived);
    for (const int other : {1, 2}) {
      const DomainScore& calm = scores.at(DomainOf(other));
      const auto stayed = calm.left.find(CrossingReason::kNone);
      REQUIRE(stayed != calm.left.end());
      CHECK(stayed->second >= (without < 0 ? 1.0 : 0.85) * calm.arrived);
      CHECK(calm.on_time >= 0.97 * calm.arrived);
    }
  }
}

TEST_CASE(
    "Flows outlast a relay, end without digests, return after a restart") {
  Site site(24);
  site.Run({1.4, 0.6, 0.6}, seconds(4));
  Router& shown = *site.Fleet().at({"n003"}).router;
  const auto changes = shown.TakeFlowChanges();
  REQUIRE(changes.size() >= 2);  // One for each other domain.
  CHECK(changes.size() <= 8);
  CHECK(changes.front().has_started);
  // 60 KB at 100 ms a megabyte, and the round trip.
  CHECK(shown.Flows().at({kEngineService}).inputs.price_ms ==
        doctest::Approx(8.4).epsilon(0.02));
  const std::string metrics = FormatMetrics({}, shown, site.Now());
  for (const char* name :
       {"pomeloring_flow_fraction", "pomeloring_cross_domain_bytes_total"}) {
    CHECK(metrics.find(fmt::format(
              "{}{{service=\"engines\",from=\"d0\",to=\"d1\"}}", name)) !=
          std::string::npos);
  }
  site.EndRelay({"n000"});
  // For 1.5 s the loads of its group count twice, and flows fall.
  site.Run({1.4, 0.6, 0.6}, seconds(5));
  const auto without_relay = site.FlowsFrom(DomainOf(0));
  const auto [low, high] =
      std::minmax_element(without_relay.begin(), without_relay.end());
  CHECK(*low > 0.2);
  CHECK(*high - *low <= 0.03);
  site.has_digests = false;
  const auto before = site.FlowsFrom(DomainOf(0));
  site.Run({1.4, 0.6, 0.6}, milliseconds(1900));
  const auto held = site.FlowsFrom(DomainOf(0));
  for (size_t i = 0; i < before.size(); ++i) {
    CHECK(std::abs(held[i] - before[i]) <= 0.02);
  }
  site.Run({0, 0, 0}, seconds(4));
  for (const auto& [name, instance] : site.Fleet()) {
    CHECK(!instance.router->Flows().at({kEngineService}).flows.is_known);
  }
  Site restarted(24);
  restarted.Run({1.4, 0.6, 0.6}, seconds(3));
  const auto flows = restarted.FlowsFrom(DomainOf(0));
  CHECK(*std::min_element(flows.begin(), flows.end()) > 0.2);
}

TEST_CASE("The parts of a prompt are fetched across domains if it is cheaper") {
  for (const double ms_per_mb : {10.0, 20000.0}) {
    const auto router = MakeRouter(0, ms_per_mb);
    PeerDigest digest;
    digest.sender.value = "other";
    digest.ready = true;
    digest.flows.failure_domain = DomainOf(1);
    digest.flows.demands[{{kEngineService}, DomainOf(1)}] = {10, 10, 1e6};
    digest.cached_parts = {{{"e1"}, 7}, {{"e1"}, 8}};
    router->HandleDigest(digest, kStart);
    router->Tick(kStart);
    AttemptRequest request = RequestOn(*router, "draft", 8000);
    request.parts = {{7, 5000, 0}, {8, 1000, 0}, {99, 2000, 0}};
    request.ticket = 1;
    auto result = router->StartAttempt(request, kStart);
    const auto& placement =
        std::get<std::shared_ptr<PlacedAttempt>>(result)->placement;
    const bool left = placement.left_domain == CrossingReason::kSharedParts;
    CHECK(left == (ms_per_mb < 100));
    CHECK((placement.upstream->record.id == UpstreamName{"e1"}) == left);
    CHECK((placement.left_domain == CrossingReason::kNone) == !left);
  }
}

TEST_CASE("Digests carry flows only where they are controlled, in few bytes") {
  Site site(24, 5);
  site.Run({1.3, 0.6, 0.6}, seconds(2));
  size_t largest = 0;
  for (const auto& [name, instance] : site.Fleet()) {
    auto relayed =
        instance.router->BuildRelayedDigests(false, false, site.Now());
    relayed.emplace_back(
        name, instance.router->BuildGroupDigest(false, false, site.Now()));
    for (auto& [receiver, digest] : relayed) {
      if (name == InstanceName{"n005"}) {
        CHECK(digest.flows == FlowDigest{});
        continue;
      }
      const std::string bytes = EncodeDigest(digest);
      const FlowDigest flows = DecodeDigest(bytes)->flows;
      REQUIRE(flows.demands.size() == digest.flows.demands.size());
      for (const auto& [key, demand] : digest.flows.demands) {
        CHECK(flows.demands.at(key).slots ==
              doctest::Approx(demand.slots).epsilon(0.001));
      }
      CHECK(flows.flows.size() == digest.flows.flows.size());
      digest.flows = {};
      largest = std::max(largest, bytes.size() - EncodeDigest(digest).size());
    }
  }
  CHECK(largest > 100);
  CHECK(largest < 400);
}

}  // namespace
}  // namespace pomeloring
