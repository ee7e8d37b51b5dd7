#include "routing/placement.h"

#include <algorithm>
#include <cmath>

namespace pomeloring {
namespace {

// Prompt tokens that an engine reads between two steps of the running batch.
constexpr double kChunkTokens = 2048;
// One step of a batch without prompts, about; see docs/design/routing.md.
constexpr double kStepMs = 8;
// Cost of each run in the batch to a newcomer, by the step time per slot over
// some 20 events.
constexpr double kCostPerRunMs = 1.5;
// A run that misses its pause target loses most of its value: as much as one
// that starts this much too late.
constexpr double kBrokenPauseMs = 500;
// Of chunks read in one go, in events of a stream beside them: fewer never hold
// up all steps of one event, and beyond the sum they surely do.
constexpr double kHarmlessEvents = 0.8;
constexpr double kHarmfulEvents = 0.4;
// A request whose prompt would break the pauses of others waits for this share
// of its latency target at the most.
constexpr double kDeferShare = 0.3;
// Less than the loss of one broken pause: not worth holding a request back.
constexpr double kMinHarmToDeferMs = 300;
// Cost of a fully busy reader to a pause-sensitive run that joins it: what is
// read next is not known yet.
constexpr double kSensitiveReadShareMs = 300;
// Beyond the latency target an answer loses most of its value.
constexpr double kLateWeight = 4;
// Reading again what another upstream keeps takes its time from all others that
// wait for an engine; this many times what the request itself waits for it.
constexpr double kRereadWeight = 8;
// Crossing failure domains costs bytes; worth this much waiting.
constexpr double kOtherDomainMs = 12;
// A run that waits for a slot waits for others to end; a tenth of their usual
// two seconds over the batch.
constexpr double kQueuedRunMs = 40;
// Plain services: the time of one call, about.
constexpr double kPlainCallMs = 15;
// A start that is expected later than this share of the time left leaves too
// little to finish.
constexpr double kLatestStartShare = 0.6;
// Bounds of what is learnt, a tenth and ten times of usual engines about.
constexpr double kMinRateTokensPerMs = 5;
constexpr double kMaxRateTokensPerMs = 1000;
// The first event of a shorter prompt is mostly the way there and back.
constexpr uint32_t kMinTokensToLearn = 1000;
// Some ten runs move the rate by two thirds.
constexpr double kLearnWeight = 0.1;

Duration FromMillis(double ms) {
  return Duration{static_cast<int64_t>(ms * 1000)};
}

// The share of the engines' time that may go into reading prompts when a
// request of the lowest priority is added. A step that reads a chunk takes ten
// times as long as one that does not: beyond it, the streams that run there
// miss their deadlines and hold their slots the longer.
constexpr double kLowestReadShare = 0.8;
// More for each priority above: so far that it is reached only while none below
// it is placed.
constexpr double kReadShareStep = 0.6;
// Cost of a fully busy reader to a stream that joins it.
constexpr double kReadShareCostMs = 150;
// A caller that comes back sooner meets the same load.
constexpr Duration kMinRetryAfter = milliseconds(100);

struct Estimate {
  double start_ms = 0;
  double read_share = 0;  // Of the engine's time, before this request.
  double cost_ms = 0;
  double harm_ms = 0;  // Of the cost: to runs that are there already.
  uint32_t unread = 0;
  bool pause_sensitive = false;
};

// The longest pause of a stream while prompts are read without a break: an
// event takes a step for each of its tokens, and each step reads a chunk.
double LongestPauseMs(const EngineTraits& engine, double rate) {
  return engine.tokens_per_event * (kChunkTokens / rate + kStepMs);
}

// How likely it is that `unread` tokens, read in one go, hold up all steps of
// one event.
double BrokenPauseShare(double unread, const EngineTraits& engine) {
  const double events = unread / kChunkTokens / engine.tokens_per_event;
  return std::clamp((events - kHarmlessEvents) / kHarmfulEvents, 0.0, 1.0);
}

Estimate EstimateEngine(const PlacementRequest& request,
                        const EngineTraits& engine,
                        const UpstreamState& upstream,
                        const EngineSpeed& speed,
                        uint32_t most_cached) {
  const UpstreamUse use = TotalUse(upstream);
  const uint32_t cached =
      std::min(CachedTokens(upstream, request.parts), request.prompt_tokens);
  const double rate = speed.tokens_per_ms / upstream.health.latency_ratio;
  const auto unread = static_cast<double>(UnreadTokens(use));
  Estimate estimate;
  estimate.unread = request.prompt_tokens - cached;
  const auto before =
      static_cast<double>(UnreadUpTo(use, UrgencyRankOf(*request.route)));
  estimate.start_ms = (before + estimate.unread) / rate;
  if (use.running >= engine.batch_slots) {
    estimate.start_ms += kQueuedRunMs * (use.running - engine.batch_slots + 1);
  }
  const double steady_rate =
      speed.tokens_per_ms / std::max(1.0, upstream.health.latency_ratio);
  estimate.read_share = use.read_load / (steady_rate * ToMillis(kReadLoadTime));
  estimate.cost_ms = estimate.start_ms + kCostPerRunMs * use.running +
                     kReadShareCostMs * estimate.read_share;
  if (cached < most_cached) {
    estimate.cost_ms += kRereadWeight * (most_cached - cached) / rate;
  }
  const Duration pause_target = request.route->pause_target;
  estimate.pause_sensitive =
      pause_target.count() > 0 &&
      ToMillis(pause_target) < LongestPauseMs(engine, rate);
  if (estimate.pause_sensitive) {
    estimate.cost_ms += kBrokenPauseMs * BrokenPauseShare(unread, engine) +
                        kSensitiveReadShareMs * estimate.read_share;
  }
  // Of the runs there, those that keep their pauses until this prompt comes.
  estimate.harm_ms = kBrokenPauseMs * use.pause_sensitive *
                     (BrokenPauseShare(unread + estimate.unread, engine) -
                      BrokenPauseShare(unread, engine));
  estimate.cost_ms += estimate.harm_ms;
  return estimate;
}

double MaxReadShare(const Route& route) {
  return kLowestReadShare + kReadShareStep * route.lower_tiers;
}

// How long until an engine's read share has faded to `max`, or 0.
double MsUntilShare(double share, double max) {
  return share <= max ? 0 : ToMillis(kReadLoadTime) * std::log(share / max);
}

uint32_t MostCached(const PlacementRequest& request,
                    std::span<UpstreamState* const> candidates) {
  uint32_t most = 0;
  for (const UpstreamState* upstream : candidates) {
    most = std::max(most, CachedTokens(*upstream, request.parts));
  }
  return std::min(most, request.prompt_tokens);
}

Estimate EstimatePlain(const UpstreamState& upstream) {
  const UpstreamUse use = TotalUse(upstream);
  const uint32_t slots = std::max(1U, upstream.record.slots);
  Estimate estimate;
  if (use.running >= slots) {
    estimate.start_ms = kPlainCallMs * (use.running - slots + 1) / slots;
  }
  estimate.start_ms += kPlainCallMs * upstream.health.latency_ratio;
  // Above half of the slots, another domain is better than a queue.
  estimate.cost_ms =
      estimate.start_ms + 2 * kOtherDomainMs * use.running / slots;
  return estimate;
}

}  // namespace

size_t UrgencyRankOf(const Route& route) {
  return std::min<size_t>(route.priority, kUrgencyRanks - 1);
}

bool IsUsable(const UpstreamState& upstream,
              const PlacementRequest& request,
              Time now) {
  const bool is_excluded =
      std::find(request.excluded.begin(), request.excluded.end(),
                upstream.record.id) != request.excluded.end();
  const bool on_trial =
      upstream.health.is_trial && TotalUse(upstream).running > 0;
  return !is_excluded && !on_trial && now >= upstream.health.ejected_until;
}

PlacementResult ChooseUpstream(const PlacementRequest& request,
                               std::span<UpstreamState* const> candidates,
                               const EngineSpeed& speed,
                               Time now,
                               uint64_t random) {
  const auto& engine = request.service->engine;
  const double target_ms = ToMillis(request.route->latency_target);
  const double latest_ms = kLatestStartShare * ToMillis(request.time_left);
  const double max_share = MaxReadShare(*request.route);
  const uint32_t most_cached = MostCached(request, candidates);
  std::optional<Estimate> best;
  UpstreamState* chosen = nullptr;
  std::optional<double> soonest_ms;  // Until one could take the request.
  double total_share = 0;
  size_t usable = 0;
  const size_t offset = candidates.empty() ? 0 : random % candidates.size();
  for (size_t i = 0; i < candidates.size(); ++i) {
    UpstreamState* upstream = candidates[(i + offset) % candidates.size()];
    if (!IsUsable(*upstream, request, now)) {
      continue;
    }
    Estimate estimate =
        engine ? EstimateEngine(request, *engine, *upstream, speed, most_cached)
               : EstimatePlain(*upstream);
    total_share += estimate.read_share;
    ++usable;
    const double wait_ms = estimate.start_ms - latest_ms;
    soonest_ms = soonest_ms ? std::min(*soonest_ms, wait_ms) : wait_ms;
    if (wait_ms > 0) {
      continue;
    }
    if (target_ms > 0 && estimate.start_ms > target_ms) {
      estimate.cost_ms += kLateWeight * (estimate.start_ms - target_ms);
    }
    if (upstream->record.failure_domain != request.failure_domain) {
      estimate.cost_ms += kOtherDomainMs;
    }
    if (!best || estimate.cost_ms < best->cost_ms) {
      best = estimate;
      chosen = upstream;
    }
  }
  if (!soonest_ms) {
    return Unplaced{PlacementRefusal::kNoUpstream, kMinRetryAfter};
  }
  const double mean_share = total_share / static_cast<double>(usable);
  const double busy_ms = MsUntilShare(mean_share, max_share);
  const bool may_wait = ToMillis(request.waited) < kDeferShare * target_ms;
  const bool is_full =
      chosen == nullptr || busy_ms > 0 || request.higher_was_refused;
  if (is_full && may_wait) {
    return Deferred{};
  }
  if (is_full) {
    return Unplaced{
        PlacementRefusal::kOverloaded,
        std::max(kMinRetryAfter, FromMillis(std::max(*soonest_ms, busy_ms))),
        usable, mean_share, max_share};
  }
  if (best->harm_ms > kMinHarmToDeferMs && may_wait) {
    return Deferred{};
  }
  return Placement{chosen, best->unread, UrgencyRankOf(*request.route),
                   best->pause_sensitive, FromMillis(best->start_ms)};
}

void LearnPrefill(EngineSpeed& speed, uint32_t tokens, Duration first_event) {
  if (tokens < kMinTokensToLearn || first_event.count() <= 0) {
    return;
  }
  const double seen = std::clamp(tokens / ToMillis(first_event),
                                 kMinRateTokensPerMs, kMaxRateTokensPerMs);
  speed.tokens_per_ms += kLearnWeight * (seen - speed.tokens_per_ms);
}

}  // namespace pomeloring
