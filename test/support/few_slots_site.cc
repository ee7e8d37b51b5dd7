#include "support/few_slots_site.h"

#include <fmt/format.h>

#include <cmath>

namespace pomeloring {
namespace {

constexpr Time kStart{seconds(1000)};
constexpr milliseconds kStep{5};
constexpr milliseconds kDigestInterval{100};
constexpr milliseconds kPollInterval{20};
constexpr double kSpeeds[] = {0.7, 0.7, 1.7};

std::shared_ptr<const RoutingConfig> FewSlotsRouting(const FewSlotsKind& kind) {
  auto config = std::make_shared<RoutingConfig>(*SmallRouting());
  for (Route& route : config->routes) {
    route.event_gap_target = Duration{0};
    if (route.name == "question") {
      route.event_gap_target = kind.question_gap_target;
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
      EngineTraits{kFewSlots, 400000, kind.engine.tokens_per_event};
  IndexRoutes(*config);
  return config;
}

}  // namespace

FewSlotsSite::FewSlotsSite(int instances,
                           int engines,
                           const FewSlotsKind& kind,
                           const RouterSettings& settings)
    : m_engines(engines, kind.engine) {
  const auto config = FewSlotsRouting(kind);
  std::vector<UpstreamChange> list;
  for (int i = 0; i < engines; ++i) {
    list.push_back(ReadyUpstream(fmt::format("e{}", i), 0));
    list.back().record->slots = kFewSlots;
    m_engines.SetSlowFactor(list.back().record->id, 1 / kSpeeds[i % 3]);
  }
  for (int i = 0; i < instances; ++i) {
    RouterSettings own = settings;
    own.name.value = fmt::format("i{}", i);
    own.failure_domain.value = "here";
    own.random_seed = 1 + static_cast<uint64_t>(i);
    m_routers.push_back(std::make_unique<Router>(own));
    m_routers.back()->ApplyConfig(config);
    m_routers.back()->ApplyUpstreamList(list, LogOffset{1}, kStart);
    m_serving.push_back(ShortHash(own.name));
  }
}

void FewSlotsSite::Run(std::span<const LoadClass> loads,
                       Duration burst_from,
                       Duration burst_to,
                       Duration end) {
  for (Duration at{0}; at < end; at += kStep) {
    const Time now = kStart + at;
    m_engines.Advance(now);
    const bool is_lost = at >= m_lost_from && at < m_lost_to;
    if (at % kDigestInterval == Duration{0} && is_lost) {
      for (const auto& router : m_routers) {
        router->Tick(now);
      }
    } else if (at % kDigestInterval == Duration{0}) {
      SendDigests(now);
    }
    for (const LoadClass& load : loads) {
      const bool is_burst = at >= burst_from && at < burst_to;
      double mean = load.arrivals_per_s * ToMillis(kStep) / 1000 *
                    (is_burst ? load.burst : 1);
      for (mean -= Exponential(); mean > 0; mean -= Exponential()) {
        Arrive(load, is_burst, now);
      }
    }
    Poll(now);
  }
  // Lets the streams end.
  m_engines.Advance(kStart + end + seconds(30));
}

double FewSlotsSite::Exponential() {
  const double uniform =
      static_cast<double>(NextRandom(m_random) >> 11) * 0x1p-53;
  return -std::log(1 - uniform);
}

void FewSlotsSite::Arrive(const LoadClass& load, bool is_scored, Time now) {
  const uint32_t mean = load.mean_output_tokens;
  const auto spread = static_cast<uint32_t>(NextRandom(m_random) % mean);
  m_waiting.push_back({NextRandom(m_random) % m_routers.size(),
                       &load,
                       std::max(1U, mean / 2 + spread),
                       now,
                       now,
                       ++m_tickets,
                       {},
                       is_scored});
  if (load.shared_parts > 0) {
    const uint32_t half = load.prompt_tokens / 2;
    m_waiting.back().parts = {
        {1 + NextRandom(m_random) % load.shared_parts, half},
        {NextRandom(m_random), half}};
  }
  m_accounts[load.account].arrived += is_scored ? 1 : 0;
  ++m_scores[load.route].arrived;
}

void FewSlotsSite::Poll(Time now) {
  std::erase_if(m_waiting, [&](Waiting& waiting) {
    if (now < waiting.next_poll) {
      return false;
    }
    Router& router = *m_routers[waiting.router];
    AttemptRequest request =
        RequestOn(router, waiting.load->route, waiting.load->prompt_tokens);
    request.parts = waiting.parts;
    request.waited = now - waiting.arrived;
    request.time_left = request.route->timeout - request.waited;
    request.ticket = waiting.ticket;
    request.account = waiting.load->account;
    AccountScore unscored;
    AccountScore& account =
        waiting.is_scored ? m_accounts[request.account] : unscored;
    if (request.waited == Duration{0}) {
      router.CountRequest(request.service, now);
    }
    auto result = router.StartAttempt(request, now);
    if (std::holds_alternative<Deferred>(result)) {
      waiting.next_poll = now + kPollInterval;
      account.refused += request.time_left <= Duration{0} ? 1 : 0;
      return request.time_left <= Duration{0};
    }
    if (const auto* unplaced = std::get_if<Unplaced>(&result)) {
      ++account.refused;
      account.over_share +=
          unplaced->reason == PlacementRefusal::kOverShare ? 1 : 0;
      RouteScore& score = m_scores[waiting.load->route];
      ++score.refused;
      score.refused_late += request.waited > Duration{0} ? 1 : 0;
      return true;
    }
    ++account.started;
    account.waited += request.waited;
    m_engines.Start(router, std::get<std::shared_ptr<PlacedAttempt>>(result),
                    waiting.output_tokens, now, waiting.arrived);
    return true;
  });
}

void FewSlotsSite::SendDigests(Time now) {
  std::map<UpstreamName, UpstreamLoad> total;
  std::vector<CachedPart> parts;
  std::vector<ServiceAccountWork> work;
  ServiceAccountWork total_work;
  for (const auto& router : m_routers) {
    const PeerDigest own = router->BuildDigest(false, false, now);
    parts.insert(parts.end(), own.cached_parts.begin(), own.cached_parts.end());
    for (const UpstreamState* upstream : router->AllUpstreams()) {
      AddLoad(total[upstream->record.id], upstream->local_load);
    }
    work.push_back(own.account_work);
    AddWork(total_work, work.back(), 1);
  }
  for (size_t i = 0; i < m_routers.size(); ++i) {
    PeerDigest digest;
    digest.sender.value = "relay";
    digest.ready = true;
    digest.scope = DigestScope::kAll;
    digest.sequence = ++m_sequence;
    digest.serving = m_serving;
    digest.cached_parts = parts;
    std::erase(digest.serving, m_serving[i]);
    digest.account_work = total_work;
    SubtractWork(digest.account_work, work[i], 1);
    for (const UpstreamState* upstream : m_routers[i]->AllUpstreams()) {
      UpstreamLoad others = total[upstream->record.id];
      SubtractLoad(others, upstream->local_load);
      digest.loads.emplace_back(upstream->record.id, others);
    }
    m_routers[i]->HandleDigest(digest, now);
    m_routers[i]->Tick(now);
  }
}

}  // namespace pomeloring
