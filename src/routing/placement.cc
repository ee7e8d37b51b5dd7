#include "routing/placement.h"

#include <algorithm>
#include <cmath>

#include "routing/crossing_cost.h"

namespace pomeloring {
namespace {

// Cost of each request in the batch to a new one: the step time per slot over
// some 20 events.
constexpr double kCostPerRunningRequestMs = 1.5;
// A stream that misses its event gap target loses most of its value, as much as
// one that starts this much too late.
constexpr double kMissedGapCostMs = 500;
// Length of an uninterrupted prefill, as the number of events of a concurrent
// stream that it spans. A shorter one never delays all steps of an event; one
// longer than the sum of both always does.
constexpr double kMinDelayingEvents = 0.8;
constexpr double kDelayRampEvents = 0.4;
// A request that would make other streams miss their event gap target, or that
// finds all upstreams full, is deferred for at most this fraction of its
// latency target.
constexpr double kMaxDeferFraction = 0.3;
// A request is deferred only if it would cost the running streams more than
// this; for less, deferring is not worthwhile. Below kMissedGapCostMs, the loss
// of one stream that misses its target.
constexpr double kMinInterferenceToDeferMs = 300;
// Cost to a gap-sensitive stream of joining an engine that spends all its time
// on prefill. It accounts for the prompts that come next, which are not known
// yet.
constexpr double kGapSensitivePrefillCostMs = 300;
// Beyond the latency target, an answer loses most of its value.
constexpr double kLatenessWeight = 4;
// Repeating the prefill of tokens that another upstream has cached takes engine
// time from all waiting requests. Weight relative to the time that the request
// itself waits for it.
constexpr double kRedundantPrefillWeight = 8;
// Traffic between failure domains has a cost; avoiding it is worth this much
// waiting.
constexpr double kCrossDomainCostMs = 12;
// Costs of the path to an upstream that this instance does not reach itself:
// through a peer, the processing at another instance and the network between;
// where no peer is known to reach it either, the wait for a connection that
// most likely is not established.
constexpr double kPeerPathCostMs = 15;
constexpr double kNoPathCostMs = 300;
// Cost of a request that its upstream fails. A second attempt is often too late
// or not allowed; and with many idle engines, even a few failures in a hundred
// have to outweigh the random part of their costs.
constexpr double kFailedRequestCostMs = 2000;
// An upstream that fails more of its requests is no preferred one.
constexpr double kMaxHomeFailureRate = 0.1;
// Approximate duration of a request to a plain service.
constexpr double kPlainRequestMs = 15;
// If the expected latency exceeds this fraction of the time left, too little is
// left to finish.
constexpr double kMaxLatencyFraction = 0.6;
// Scale of the random part of the choice among engines with few slots. With a
// hundred free slots, the least values differ by 100 ms: more than what the
// prefill shares of engines differ by, and less than the redundant prefill of a
// long prompt.
constexpr double kSlotSpreadMs = 10000;
Duration FromMillis(double ms) {
  return Duration{static_cast<int64_t>(ms * 1000)};
}

// Added to the limit of the prefill share for each higher priority. It is so
// large that the limit of a priority is reached only while no lower one is
// placed, also where the estimates of two instances differ by half.
constexpr double kMaxPrefillShareStep = 1;
// Cost to a stream of joining an engine that spends all its time on prefill.
constexpr double kPrefillShareCostMs = 150;
// A caller that retries sooner finds the same load.
constexpr Duration kMinRetryAfter = milliseconds(100);
// Callers that are told the end of the same pause return within this time of
// it.
constexpr Duration kMaxRetryAfterSpread = seconds(1);

// Keeps long prompts off isolated engines while another one can start them with
// much of the time left: above any other cost.
constexpr double kLongPromptAtIsolatedCostMs = 20000;
// Cost to a gap-sensitive stream of an engine that long prompts use: most of
// its value is at stake, not all.
constexpr double kNotIsolatedCostMs = 300;
// Other requests leave the slots of isolated engines free unless the others are
// this much slower.
constexpr double kOtherAtIsolatedCostMs = 100;
// A prompt is long if its prefill takes this fraction of the time by which an
// event may be late: a few of them together delay it too much.
constexpr double kLongPromptFraction = 0.15;
// Engines prefill up to this many tokens in one step.
constexpr double kMaxPrefillChunkTokens = 4096;
// The streams of a service whose target is up to this multiple of the shortest
// one are isolated together.
constexpr double kSensitiveTargetFactor = 1.25;

// Gain of an idle connection to an engine: opening one takes about a
// millisecond of both sides and a round trip. Far below what a late event or a
// redundant prefill costs.
constexpr double kIdleConnectionGainMs = 10;
// Where the choice among engines is random, an engine with an idle connection
// counts as this many with as many free slots: the gain is below the distance
// between the least random values.
constexpr double kIdleConnectionWeight = 32;
// For plain services, which take about as long as opening a connection does.
constexpr double kPlainIdleConnectionGainMs = 5;

// Above any other cost for an engine that has no memory for a request, so that
// one that has is chosen, and otherwise the one that lacks least.
constexpr double kNoMemoryCostMs = 1e6;
// Cost of an engine whose memory is full up to the margin: above what the
// spread of requests over free slots differs by.
constexpr double kCrowdedMemoryCostMs = 5000;
// Only another configuration, with larger engines, can change the decision.
constexpr Duration kRetryAfterTooLarge = seconds(30);

struct Cost {
  double latency_ms = 0;
  double prefill_share = 0;  // Of the engine's time, without this request.
  double cost_ms = 0;
  // The part of `cost_ms` that falls on requests that run there already.
  double interference_ms = 0;
  uint32_t prefill_tokens = 0;
  bool gap_sensitive = false;
  uint32_t running = 0;
  // Isolated engines are kept from this request, or this one from the others.
  bool breaks_isolation = false;
  CrossingOffer offer;
  uint64_t held_tokens = 0;
};

// A chunk late in a long prompt takes longer than the mean of the chunks.
constexpr double kLongContextFactor = 1.1;

// The longest event gap of a stream during continuous prefill: an event takes
// one step for each of its tokens.
double MaxEventGapMs(const EngineTraits& engine,
                     const EngineEstimate& estimate,
                     double latency_ratio) {
  return kLongContextFactor * engine.tokens_per_event *
         PrefillStepMs(estimate, 0) * std::max(1.0, latency_ratio);
}

// Probability that an uninterrupted prefill of `pending_tokens` delays all
// steps of an event.
double MissedGapProbability(double pending_tokens, const EngineTraits& engine) {
  const double events =
      pending_tokens / kPrefillChunkTokens / engine.tokens_per_event;
  return std::clamp((events - kMinDelayingEvents) / kDelayRampEvents, 0.0, 1.0);
}

// Tokens at the start of the prompt that an upstream has cached already, or
// will soon, and so would be prefilled again elsewhere.
struct SharedPrompt {
  uint32_t cached_tokens = 0;
  const UpstreamState* home = nullptr;  // See FindHome().
  uint32_t home_tokens = 0;
  // Only where flows between failure domains are controlled:
  bool is_worth_crossing = false;
  uint32_t own_domain_tokens = 0;  // Cached there, or at `home`.
};

// Rendezvous hashing. Where speeds are known, an upstream is preferred in
// proportion to its speed: u^f is the highest value with a probability that is
// proportional to 1 / f.
uint64_t RendezvousWeight(const UpstreamState& upstream, uint64_t part) {
  uint64_t seed = part ^ upstream.name_hash;
  const uint64_t weight = NextRandom(seed);
  if (!upstream.shared_speed || upstream.shared_speed->home_factor == 1) {
    return weight;
  }
  // The highest value that 64 bits hold.
  constexpr double kMaxWeight = 0x1.fffffffffffffp63;
  return static_cast<uint64_t>(std::min(
      kMaxWeight, 0x1p64 * std::pow(static_cast<double>(weight) * 0x1p-64,
                                    upstream.shared_speed->home_factor)));
}

// Requests avoid an upstream that fails a part of them, whatever it has cached.
bool FailsOften(const UpstreamState& upstream) {
  return upstream.shared_speed &&
         upstream.shared_speed->failure_rate > kMaxHomeFailureRate;
}

double FailureCostMs(const UpstreamState& upstream) {
  return upstream.shared_speed
             ? kFailedRequestCostMs * upstream.shared_speed->failure_rate
             : 0;
}

// Returns the upstream that all instances prefer for prompts with the shared
// parts of this one, whether they know who has cached them or not: without it,
// many upstreams would prefill the same parts at once before the digests tell.
// The last part belongs to the request alone, or to its session.
const UpstreamState* FindHome(const PlacementRequest& request,
                              std::span<UpstreamState* const> candidates,
                              bool avoids_isolated,
                              bool is_worth_crossing,
                              Time now) {
  const uint64_t part = request.parts[request.parts.size() - 2].id;
  const UpstreamState* home = nullptr;
  uint64_t home_weight = 0;
  for (const UpstreamState* upstream : candidates) {
    const uint64_t weight = RendezvousWeight(*upstream, part);
    if ((home == nullptr || weight > home_weight) &&
        !(avoids_isolated && upstream->is_isolated) && !FailsOften(*upstream) &&
        !upstream->backpressure.limit &&
        MayUseParts(request, *upstream, is_worth_crossing) &&
        IsUsable(*upstream, request, now)) {
      home = upstream;
      home_weight = weight;
    }
  }
  return home;
}

SharedPrompt FindSharedPrompt(const PlacementRequest& request,
                              std::span<UpstreamState* const> candidates,
                              const EngineEstimate& estimate,
                              bool avoids_isolated,
                              Time now) {
  SharedPrompt shared;
  uint32_t shared_tokens = 0;
  for (size_t i = 0; i + 1 < request.parts.size(); ++i) {
    shared_tokens += request.parts[i].tokens;
  }
  shared.is_worth_crossing =
      request.crossing.flows != nullptr &&
      IsCrossingCheaper(request.crossing.price_ms,
                        shared_tokens * estimate.prefill_ms_per_token);
  for (const UpstreamState* upstream : candidates) {
    const uint32_t cached = CachedTokens(*upstream, request.parts);
    if (cached == 0 ||
        !MayUseParts(request, *upstream, shared.is_worth_crossing)) {
      continue;
    }
    shared.cached_tokens = std::max(shared.cached_tokens, cached);
    if (upstream->record.failure_domain == request.failure_domain) {
      shared.own_domain_tokens = std::max(shared.own_domain_tokens, cached);
    }
  }
  shared.cached_tokens = std::min(shared.cached_tokens, request.prompt_tokens);
  if (shared_tokens > shared.cached_tokens) {
    shared.home = FindHome(request, candidates, avoids_isolated,
                           shared.is_worth_crossing, now);
    shared.home_tokens = shared_tokens;
    if (shared.home != nullptr &&
        shared.home->record.failure_domain == request.failure_domain) {
      shared.own_domain_tokens = shared_tokens;
    }
  }
  return shared;
}

// Whether continuous prefill would break the event gap target of the request's
// stream, and that target is among the shortest of the service.
bool IsIsolatedStream(const PlacementRequest& request,
                      const EngineTraits& engine,
                      const EngineEstimate& estimate) {
  const double target_ms = ToMillis(request.route->event_gap_target);
  const double max_gap_ms =
      engine.tokens_per_event *
      (DecodeStepMs(estimate, 0) +
       kMaxPrefillChunkTokens * estimate.prefill_ms_per_token);
  return target_ms > 0 && target_ms < max_gap_ms &&
         target_ms <= kSensitiveTargetFactor *
                          ToMillis(request.service->min_event_gap_target);
}

// Adds what the failure domain of the upstream costs.
void AddDomainCost(const PlacementRequest& request,
                   const UpstreamState& upstream,
                   const EngineEstimate& estimate,
                   const SharedPrompt& shared,
                   Cost& cost) {
  if (request.crossing.flows == nullptr) {
    cost.cost_ms += cost.offer.is_home ? 0 : kCrossDomainCostMs;
    return;
  }
  EngineForecast forecast{cost.offer.is_home,
                          cost.latency_ms,
                          cost.running,
                          cost.breaks_isolation,
                          0,
                          estimate.prefill_ms_per_token};
  if (shared.is_worth_crossing) {
    const uint32_t tokens = &upstream == shared.home
                                ? shared.home_tokens
                                : request.prompt_tokens - cost.prefill_tokens;
    forecast.tokens_ahead_of_home =
        std::max(tokens, shared.own_domain_tokens) - shared.own_domain_tokens;
  }
  cost.offer = OfferOf(request, upstream, forecast);
  cost.cost_ms += CrossingCostMs(request.crossing,
                                 upstream.record.failure_domain, cost.offer);
}

// Whether the request's own prefill, with nothing cached, may delay an event of
// the service's most sensitive streams too much.
bool IsLongPrompt(const PlacementRequest& request,
                  const EngineTraits& engine,
                  const EngineEstimate& estimate) {
  const double slack_ms = ToMillis(request.service->min_event_gap_target) -
                          engine.tokens_per_event * DecodeStepMs(estimate, 1);
  return request.prompt_tokens * estimate.prefill_ms_per_token >
         kLongPromptFraction * slack_ms;
}

// Replaces what the prefill that is not uninterrupted does to event gaps: an
// engine prefills between the tokens of its streams, so that an event takes the
// time of its tokens and of all prefill meanwhile.
void AddIsolationCost(const PlacementRequest& request,
                      const EngineTraits& engine,
                      const UpstreamState& upstream,
                      const EngineEstimate& estimate,
                      const UpstreamLoad& load,
                      Cost& cost) {
  const double speed = SpeedOf(upstream);
  const double target_ms = ToMillis(request.service->min_event_gap_target);
  const double event_ms =
      speed * engine.tokens_per_event *
      DecodeStepMs(estimate, std::min(1.0, static_cast<double>(load.running) /
                                               engine.batch_slots));
  const double ms_per_token = estimate.prefill_ms_per_token * speed;
  const double pending_ms =
      static_cast<double>(PendingPrefillTokens(load)) * ms_per_token;
  const double missed_now =
      ForecastMissedGap({event_ms, pending_ms}, target_ms);
  const double missed_then = ForecastMissedGap(
      {event_ms, pending_ms + cost.prefill_tokens * ms_per_token}, target_ms);
  cost.interference_ms =
      kMissedGapCostMs * load.gap_sensitive * (missed_then - missed_now);
  cost.cost_ms += cost.interference_ms;
  cost.gap_sensitive = IsIsolatedStream(request, engine, estimate);
  if (cost.gap_sensitive) {
    cost.cost_ms += kMissedGapCostMs * missed_now +
                    kGapSensitivePrefillCostMs * cost.prefill_share +
                    (upstream.is_isolated ? 0 : kNotIsolatedCostMs);
    cost.breaks_isolation = !upstream.is_isolated;
  } else if (upstream.is_isolated) {
    cost.breaks_isolation = IsLongPrompt(request, engine, estimate);
    cost.cost_ms += cost.breaks_isolation ? kLongPromptAtIsolatedCostMs
                                          : kOtherAtIsolatedCostMs;
  }
}

Cost CostAtEngine(const PlacementRequest& request,
                  const EngineTraits& engine,
                  const UpstreamState& upstream,
                  const EngineEstimate& estimate,
                  const SharedPrompt& shared) {
  const UpstreamLoad load = TotalLoad(upstream);
  const uint32_t cached =
      std::min(CachedTokens(upstream, request.parts), request.prompt_tokens);
  const double latency_ratio = SpeedOf(upstream);
  const double ms_per_token = estimate.prefill_ms_per_token * latency_ratio;
  const auto pending_tokens = static_cast<double>(PendingPrefillTokens(load));
  Cost cost;
  cost.running = load.running;
  cost.held_tokens = load.held_tokens;
  cost.prefill_tokens = request.prompt_tokens - cached;
  const auto tokens_ahead = static_cast<double>(
      PendingPrefillUpTo(load, UrgencyRankOf(*request.route)));
  cost.latency_ms = latency_ratio * ExpectedFirstEventMs(estimate, tokens_ahead,
                                                         cost.prefill_tokens);
  if (load.running >= engine.batch_slots) {
    // A request without a slot waits for others to finish.
    cost.latency_ms += estimate.mean_attempt_ms / engine.batch_slots *
                       (load.running - engine.batch_slots + 1);
  }
  cost.prefill_share = load.prefill_load * estimate.prefill_ms_per_token *
                       std::max(1.0, latency_ratio) /
                       ToMillis(kPrefillLoadTimeConstant);
  cost.cost_ms = cost.latency_ms + kCostPerRunningRequestMs * load.running +
                 kPrefillShareCostMs * cost.prefill_share;
  const uint32_t cached_elsewhere =
      shared.home != nullptr && shared.home != &upstream ? shared.home_tokens
                                                         : shared.cached_tokens;
  if (cached < cached_elsewhere) {
    cost.cost_ms +=
        kRedundantPrefillWeight * (cached_elsewhere - cached) * ms_per_token;
  }
  if (request.isolates_streams) {
    AddIsolationCost(request, engine, upstream, estimate, load, cost);
    return cost;
  }
  const Duration event_gap_target = request.route->event_gap_target;
  cost.gap_sensitive = event_gap_target.count() > 0 &&
                       ToMillis(event_gap_target) <
                           MaxEventGapMs(engine, estimate, latency_ratio);
  if (cost.gap_sensitive) {
    cost.cost_ms +=
        kMissedGapCostMs * MissedGapProbability(pending_tokens, engine) +
        kGapSensitivePrefillCostMs * cost.prefill_share;
  }
  // Counts only the streams that would meet their target without this prompt.
  cost.interference_ms =
      kMissedGapCostMs * load.gap_sensitive *
      (MissedGapProbability(pending_tokens + cost.prefill_tokens, engine) -
       MissedGapProbability(pending_tokens, engine));
  cost.cost_ms += cost.interference_ms;
  return cost;
}

double MaxPrefillShare(const Route& route,
                       const EngineEstimate& estimate,
                       Time now) {
  return MaxPrefillShareForStreams(estimate, now) +
         kMaxPrefillShareStep * route.lower_priority_count;
}

// Where engines have few slots, all instances would choose the same ones until
// the next digests: those with the most free slots, or the fastest. A latency
// within the target is as good as any there, and the choice is random, in
// proportion to the free slots. (The least of exponential variables is that of
// a candidate with a probability proportional to its rate.)
double SpreadCostMs(double free_slots, uint64_t& random) {
  const auto uniform =
      (static_cast<float>(NextRandom(random) >> 41) + 0.5F) * 0x1p-23F;
  return -std::log(uniform) * kSlotSpreadMs / free_slots;
}

bool HasIdleConnection(const PlacementRequest& request,
                       const UpstreamState& upstream,
                       Time now) {
  const IdleConnections& idle = upstream.idle_connections;
  return request.prefers_idle_connections &&
         now < (IsRetryable(*request.route) ? idle.usable_until
                                            : idle.usable_until_if_unsafe);
}

// An upstream where the request may have to wait is not worth a connection.
double IdleConnectionGainMs(const PlacementRequest& request,
                            const UpstreamState& upstream,
                            const Cost& cost) {
  if (const auto& engine = request.service->engine) {
    return cost.running < engine->batch_slots ? kIdleConnectionGainMs : 0;
  }
  return 2 * cost.running < upstream.record.slots ? kPlainIdleConnectionGainMs
                                                  : 0;
}

// Adds the engine to `supply`. Returns whether the request may be sent there.
bool UseSlots(const PlacementRequest& request,
              bool may_queue,
              bool has_idle_connection,
              SlotSupply& supply,
              Cost& cost,
              uint64_t& random) {
  ++supply.engines;
  supply.running += cost.running;
  if (cost.running >= supply.slots_per_engine) {
    cost.cost_ms += kSlotSpreadMs;
    return may_queue;
  }
  const double free_slots = supply.slots_per_engine - cost.running;
  supply.free += free_slots;
  const double weight = has_idle_connection ? kIdleConnectionWeight : 1;
  cost.cost_ms +=
      SpreadCostMs(weight * free_slots, random) -
      std::min(cost.latency_ms, ToMillis(request.route->latency_target)) -
      kCostPerRunningRequestMs * cost.running;
  return true;
}

// Returns how long until an engine's prefill share has decayed to `max`, or 0.
double MsUntilPrefillShare(double share, double max) {
  return share <= max
             ? 0
             : ToMillis(kPrefillLoadTimeConstant) * std::log(share / max);
}

Cost CostAtPlainService(const UpstreamState& upstream) {
  const UpstreamLoad load = TotalLoad(upstream);
  const uint32_t slots = std::max(1U, upstream.record.slots);
  Cost cost;
  cost.running = load.running;
  if (load.running >= slots) {
    cost.latency_ms = kPlainRequestMs * (load.running - slots + 1) / slots;
  }
  cost.latency_ms += kPlainRequestMs * SpeedOf(upstream);
  // Above half of the slots, another failure domain is better than queueing.
  cost.cost_ms =
      cost.latency_ms + 2 * kCrossDomainCostMs * load.running / slots;
  return cost;
}

double PathCostMs(const UpstreamState& upstream) {
  if (!upstream.direct_path.is_lost) {
    return 0;
  }
  return upstream.has_peer_path ? kPeerPathCostMs : kNoPathCostMs;
}

double MemoryCostMs(const TokenDemand& tokens,
                    const EngineTraits& engine,
                    uint64_t held) {
  return kNoMemoryCostMs * MemoryExcess(tokens, held, engine.memory_tokens) +
         kCrowdedMemoryCostMs *
             MemoryCrowding(tokens, held, engine.memory_tokens);
}

// Whether at most a pause or limit keeps the request from being sent there.
bool IsUsableButForBackpressure(const UpstreamState& upstream,
                                const PlacementRequest& request,
                                Time now) {
  const bool is_excluded =
      std::find(request.excluded.begin(), request.excluded.end(),
                upstream.record.id) != request.excluded.end();
  const bool on_trial =
      upstream.health.is_trial && TotalLoad(upstream).running > 0;
  const bool is_healthy = !on_trial && now >= upstream.health.ejected_until;
  return !is_excluded && (is_healthy || request.may_use_ejected);
}

}  // namespace

size_t UrgencyRankOf(const Route& route) {
  return std::min<size_t>(route.priority, kUrgencyRanks - 1);
}

bool IsUsable(const UpstreamState& upstream,
              const PlacementRequest& request,
              Time now) {
  const auto& engine = request.service->engine;
  const uint32_t slots = engine ? engine->batch_slots : upstream.record.slots;
  return IsUsableButForBackpressure(upstream, request, now) &&
         TimeUntilStart(upstream.backpressure, now) == Duration{0} &&
         (!upstream.backpressure.max_rejections ||
          HasRoom(upstream.backpressure, slots,
                  {upstream.local_load.running, TotalLoad(upstream).running,
                   request.unseen_starts},
                  now));
}

PlacementResult DeferOrRefuse(const PlacementRequest& request,
                              std::span<UpstreamState* const> candidates,
                              Time now,
                              uint64_t random) {
  std::optional<Duration> wait;
  size_t limited = 0;
  for (const UpstreamState* upstream : candidates) {
    if (!IsUsableButForBackpressure(*upstream, request, now)) {
      continue;
    }
    ++limited;
    const auto turn = TimeUntilStart(upstream->backpressure, now);
    if (turn && (!wait || *turn < *wait)) {
      wait = turn;
    }
  }
  if (limited == 0) {
    return Unplaced{PlacementRefusal::kNoUpstream, kMinRetryAfter};
  }
  const double max_wait_ms =
      kMaxDeferFraction * ToMillis(request.route->latency_target);
  if (wait && ToMillis(request.waited + *wait) < max_wait_ms) {
    return Deferred{};
  }
  const Duration retry_after =
      std::max(kMinRetryAfter, wait.value_or(kMinRetryAfter));
  const Duration max_spread = std::min(retry_after / 4, kMaxRetryAfterSpread);
  const Duration spread{static_cast<int64_t>(
      random % static_cast<uint64_t>(max_spread.count() + 1))};
  Unplaced unplaced{PlacementRefusal::kLimited, retry_after + spread};
  unplaced.limited = limited;
  return unplaced;
}

PlacementResult ChooseUpstream(const PlacementRequest& request,
                               std::span<UpstreamState* const> candidates,
                               const EngineEstimate& estimate,
                               Time now,
                               uint64_t random) {
  const auto& engine = request.service->engine;
  SlotQuestion question{request.route->priority,
                        request.ticket,
                        request.waited,
                        request.time_left,
                        request.route->latency_target,
                        estimate.first_event_delay_ms};
  if (request.slots != nullptr && MustWaitOn(*request.slots, question, now)) {
    return Deferred{};
  }
  if (engine && request.tokens &&
      IsTooLarge(*request.tokens, engine->memory_tokens)) {
    return Unplaced{PlacementRefusal::kTooLarge, kRetryAfterTooLarge};
  }
  const double target_ms = ToMillis(request.route->latency_target);
  const double max_latency_ms =
      kMaxLatencyFraction * ToMillis(request.time_left);
  const double max_share = MaxPrefillShare(*request.route, estimate, now);
  const bool avoids_isolated = request.isolates_streams && engine &&
                               IsLongPrompt(request, *engine, estimate);
  const SharedPrompt shared =
      FindSharedPrompt(request, candidates, estimate, avoids_isolated, now);
  SlotSupply supply{engine ? engine->batch_slots : 0};
  // Only the highest priority may wait at an engine for a slot.
  const bool may_queue =
      request.slots == nullptr || !request.slots->is_scarce ||
      !HasHigherPriority(*request.slots, request.route->priority, now);
  uint64_t spread_random = random;
  std::optional<Cost> best;
  UpstreamState* chosen = nullptr;
  std::optional<double> min_wait_ms;  // Until one could accept the request.
  double total_share = 0;
  size_t usable = 0;
  bool has_home_upstream = false;
  const size_t offset = candidates.empty() ? 0 : random % candidates.size();
  for (size_t i = 0; i < candidates.size(); ++i) {
    UpstreamState* upstream = candidates[(i + offset) % candidates.size()];
    if (!IsUsable(*upstream, request, now)) {
      continue;
    }
    Cost cost =
        engine ? CostAtEngine(request, *engine, *upstream, estimate, shared)
               : CostAtPlainService(*upstream);
    cost.cost_ms += PathCostMs(*upstream) + FailureCostMs(*upstream);
    const bool has_idle_connection = HasIdleConnection(request, *upstream, now);
    if (has_idle_connection) {
      cost.cost_ms -= IdleConnectionGainMs(request, *upstream, cost);
    }
    if (engine && request.tokens) {
      cost.cost_ms += MemoryCostMs(*request.tokens, *engine, cost.held_tokens);
    }
    total_share += cost.prefill_share;
    ++usable;
    cost.offer.is_home =
        upstream->record.failure_domain == request.failure_domain;
    has_home_upstream |= cost.offer.is_home;
    if (request.slots != nullptr &&
        !UseSlots(request, may_queue, has_idle_connection, supply, cost,
                  spread_random)) {
      continue;
    }
    const double wait_ms = cost.latency_ms - max_latency_ms;
    min_wait_ms = min_wait_ms ? std::min(*min_wait_ms, wait_ms) : wait_ms;
    if (wait_ms > 0) {
      continue;
    }
    if (target_ms > 0 && cost.latency_ms > target_ms) {
      cost.cost_ms += kLatenessWeight * (cost.latency_ms - target_ms);
    }
    AddDomainCost(request, *upstream, estimate, shared, cost);
    if (!best || cost.cost_ms < best->cost_ms) {
      best = cost;
      chosen = upstream;
    }
  }
  if (usable == 0) {
    return DeferOrRefuse(request, candidates, now, random);
  }
  if (request.slots != nullptr) {
    question.expected_ms = best ? best->latency_ms : question.expected_ms;
    const SlotDecision decision =
        DecideSlot(*request.slots, question, supply, now, random);
    if (decision.verdict == SlotVerdict::kRefuse) {
      Unplaced unplaced{PlacementRefusal::kNoSlot, decision.retry_after,
                        usable};
      unplaced.expected_ms = decision.expected_wait_ms;
      unplaced.slots = decision;
      return unplaced;
    }
    if (decision.verdict == SlotVerdict::kWait || !min_wait_ms) {
      return Deferred{};
    }
  }
  const double mean_share = total_share / static_cast<double>(usable);
  const double decay_ms = MsUntilPrefillShare(mean_share, max_share);
  const bool may_wait =
      ToMillis(request.waited) < kMaxDeferFraction * target_ms;
  const bool is_full =
      chosen == nullptr || decay_ms > 0 || request.higher_priority_refused;
  if (is_full && may_wait) {
    return Deferred{};
  }
  if (is_full) {
    const Duration retry_after =
        std::max(kMinRetryAfter, FromMillis(std::max(*min_wait_ms, decay_ms)));
    return Unplaced{PlacementRefusal::kOverloaded,
                    retry_after,
                    usable,
                    0,
                    mean_share,
                    max_share,
                    *min_wait_ms + max_latency_ms,
                    max_latency_ms,
                    estimate.prefill_ms_per_token,
                    now - estimate.updated_at};
  }
  if (engine && request.tokens) {
    const TokenFit fit =
        FitOf(*request.tokens, best->held_tokens, engine->memory_tokens);
    if (fit != TokenFit::kFits && may_wait) {
      return Deferred{};
    }
    if (fit == TokenFit::kExceeds) {
      Unplaced unplaced{
          PlacementRefusal::kNoMemory,
          std::max(kMinRetryAfter,
                   FromMillis(estimate.mean_attempt_ms / engine->batch_slots)),
          usable};
      unplaced.held_tokens = best->held_tokens;
      return unplaced;
    }
  }
  if (best->interference_ms > kMinInterferenceToDeferMs && may_wait) {
    return Deferred{};
  }
  Placement placement{chosen, best->prefill_tokens,
                      UrgencyRankOf(*request.route), best->gap_sensitive,
                      FromMillis(best->latency_ms)};
  if (request.crossing.is_controlled) {
    placement.left_domain =
        ReasonOf(request.crossing, chosen->record.failure_domain, best->offer,
                 has_home_upstream);
  }
  return placement;
}

}  // namespace pomeloring
