// Engines with few slots fill up while the least urgent class bursts. Placement
// that counts prefill but not slots lets it queue at the engines, and urgent
// requests then wait there for slots of streams that last 1.7 s.

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <cmath>
#include <map>
#include <memory>
#include <vector>

#include "support/engine_fleet.h"
#include "support/routing_site.h"

namespace pomeloring {
namespace {

constexpr Time kStart{seconds(1000)};
constexpr uint32_t kSlots = 12;
constexpr milliseconds kStep{5};
constexpr milliseconds kDigestInterval{100};
constexpr milliseconds kPollInterval{20};

struct LoadClass {
  std::string route;
  double arrivals_per_s = 0;
  uint32_t prompt_tokens = 0;
  uint32_t mean_output_tokens = 0;
  double burst = 1;
};

// Of all requests of a route that arrived during or shortly after the burst.
struct RouteScore {
  int arrived = 0;
  int refused = 0;
  int refused_late = 0;  // After waiting.
};

struct Waiting {
  size_t router = 0;
  const LoadClass* load = nullptr;
  uint32_t output_tokens = 0;
  Time arrived;
  Time next_poll;
  uint64_t ticket = 0;
};

std::shared_ptr<const RoutingConfig> SmallSlotsRouting() {
  auto config = std::make_shared<RoutingConfig>(*SmallRouting());
  for (Route& route : config->routes) {
    route.event_gap_target = Duration{0};
    if (route.name == "question") {
      route.latency_target = milliseconds(300);
      route.timeout = seconds(6);
    } else if (route.name == "tag") {
      route.latency_target = milliseconds(600);
      route.timeout = seconds(8);
    } else if (route.name == "draft") {
      route.latency_target = milliseconds(1500);
      route.timeout = seconds(12);
    }
  }
  config->services.at({kEngineService}).engine =
      EngineTraits{kSlots, 400000, 5};
  IndexRoutes(*config);
  return config;
}

// `instances` routers over shared engines of three speeds. Each knows the loads
// of all others as one relay sends them, as old as kDigestInterval.
class Site {
 public:
  Site(int instances, int engines)
      : m_engines(engines,
                  EngineKind{"few-slots", kSlots, 62, 3, 0.25, 400, 5}) {
    constexpr double kSpeeds[] = {0.7, 0.7, 1.7};
    const auto config = SmallSlotsRouting();
    std::vector<UpstreamChange> list;
    for (int i = 0; i < engines; ++i) {
      list.push_back(ReadyUpstream(fmt::format("e{}", i), 0));
      list.back().record->slots = kSlots;
      m_engines.SetSlowFactor(list.back().record->id, 1 / kSpeeds[i % 3]);
    }
    for (int i = 0; i < instances; ++i) {
      RouterSettings settings;
      settings.name.value = fmt::format("i{}", i);
      settings.failure_domain.value = "here";
      settings.admits_by_slots = true;
      settings.random_seed = 1 + static_cast<uint64_t>(i);
      m_routers.push_back(std::make_unique<Router>(settings));
      m_routers.back()->ApplyConfig(config);
      m_routers.back()->ApplyUpstreamList(list, LogOffset{1}, kStart);
      m_serving.push_back(ShortHash(settings.name));
    }
  }

  void Run(std::span<const LoadClass> loads,
           Duration burst_from,
           Duration burst_to,
           Duration end) {
    for (Duration at{0}; at < end; at += kStep) {
      const Time now = kStart + at;
      m_engines.Advance(now);
      if (at % kDigestInterval == Duration{0}) {
        SendDigests(now);
      }
      for (const LoadClass& load : loads) {
        const bool is_burst = at >= burst_from && at < burst_to;
        double mean = load.arrivals_per_s * ToMillis(kStep) / 1000 *
                      (is_burst ? load.burst : 1);
        for (mean -= Exponential(); mean > 0; mean -= Exponential()) {
          Arrive(load, now);
        }
      }
      Poll(now);
    }
    // Lets the streams end.
    m_engines.Advance(kStart + end + seconds(30));
  }

  const FleetResult& Result(const std::string& route) const {
    return m_engines.Results().at(route);
  }
  const RouteScore& Score(const std::string& route) { return m_scores[route]; }
  size_t StillWaiting() const { return m_waiting.size(); }

 private:
  double Exponential() {
    const double uniform =
        static_cast<double>(NextRandom(m_random) >> 11) * 0x1p-53;
    return -std::log(1 - uniform);
  }

  void Arrive(const LoadClass& load, Time now) {
    const uint32_t mean = load.mean_output_tokens;
    const auto spread = static_cast<uint32_t>(NextRandom(m_random) % mean);
    m_waiting.push_back({NextRandom(m_random) % m_routers.size(), &load,
                         std::max(1U, mean / 2 + spread), now, now,
                         ++m_tickets});
    ++m_scores[load.route].arrived;
  }

  void Poll(Time now) {
    std::erase_if(m_waiting, [&](Waiting& waiting) {
      if (now < waiting.next_poll) {
        return false;
      }
      Router& router = *m_routers[waiting.router];
      AttemptRequest request =
          RequestOn(router, waiting.load->route, waiting.load->prompt_tokens);
      request.waited = now - waiting.arrived;
      request.time_left = request.route->timeout - request.waited;
      request.ticket = waiting.ticket;
      if (request.waited == Duration{0}) {
        router.CountRequest(request.service, now);
      }
      auto result = router.StartAttempt(request, now);
      if (std::holds_alternative<Deferred>(result)) {
        waiting.next_poll = now + kPollInterval;
        return request.time_left <= Duration{0};
      }
      if (std::holds_alternative<Unplaced>(result)) {
        RouteScore& score = m_scores[waiting.load->route];
        ++score.refused;
        score.refused_late += request.waited > Duration{0} ? 1 : 0;
        return true;
      }
      m_engines.Start(router, std::get<std::shared_ptr<PlacedAttempt>>(result),
                      waiting.output_tokens, now, waiting.arrived);
      return true;
    });
  }

  void SendDigests(Time now) {
    std::map<UpstreamName, UpstreamLoad> total;
    for (const auto& router : m_routers) {
      for (const UpstreamState* upstream : router->AllUpstreams()) {
        AddLoad(total[upstream->record.id], upstream->local_load);
      }
    }
    for (size_t i = 0; i < m_routers.size(); ++i) {
      PeerDigest digest;
      digest.sender.value = "relay";
      digest.ready = true;
      digest.scope = DigestScope::kAll;
      digest.sequence = ++m_sequence;
      digest.serving = m_serving;
      std::erase(digest.serving, m_serving[i]);
      for (const UpstreamState* upstream : m_routers[i]->AllUpstreams()) {
        UpstreamLoad others = total[upstream->record.id];
        SubtractLoad(others, upstream->local_load);
        digest.loads.emplace_back(upstream->record.id, others);
      }
      m_routers[i]->HandleDigest(digest, now);
      m_routers[i]->Tick(now);
    }
  }

  EngineFleet m_engines;
  std::vector<std::unique_ptr<Router>> m_routers;
  std::vector<uint32_t> m_serving;
  std::vector<Waiting> m_waiting;
  std::map<std::string, RouteScore> m_scores;
  uint64_t m_sequence = 0;
  uint64_t m_tickets = 0;
  uint64_t m_random = 7;
};

// The urgent class keeps about a sixth of the slots busy, the least urgent one
// more than a third, and all of them in its burst.
TEST_CASE("Urgent streams start on time while the least urgent ones burst") {
  const LoadClass loads[] = {
      {"question", 300, 600, 110, 1},
      {"tag", 100, 1000, 110, 1},
      {"draft", 300, 12000, 220, 2.8},
  };
  Site site(85, 112);
  site.Run(loads, seconds(4), seconds(13), seconds(18));
  for (const LoadClass& load : loads) {
    const FleetResult& result = site.Result(load.route);
    const RouteScore& score = site.Score(load.route);
    MESSAGE(load.route << ": " << score.arrived << " arrived, " << score.refused
                       << " refused (" << score.refused_late
                       << " after waiting), " << result.complete
                       << " complete, " << result.on_time << " on time, mean "
                       << result.slot_ms / double(result.complete) << " ms, "
                       << site.StillWaiting() << " waiting");
  }
  const auto on_time = static_cast<double>(site.Result("question").on_time);
  CHECK(on_time >= 0.95 * site.Score("question").arrived);
}

}  // namespace
}  // namespace pomeloring
