#include "core/ask_queue.h"

#include <cmath>

namespace pomeloring {
namespace {

constexpr double kUsageHalfLifeSeconds = 10;
// A flow has used more than its share above this many times the mean.
constexpr double kOverShare = 1.5;
constexpr size_t kMostUsages = 16384;

Flow FlowOf(const WaitingAsk& ask) {
  return {ask.ask.account, ask.ask.request_class};
}

double UsageAt(const AskQueue& queue, const Flow& flow, Time now) {
  const auto it = queue.usage.find(flow);
  if (it == queue.usage.end()) {
    return 0;
  }
  const double age =
      std::chrono::duration<double>(now - it->second.updated).count();
  return it->second.micros * std::exp2(-age / kUsageHalfLifeSeconds);
}

double MeanUsage(const AskQueue& queue, const TierQueue& tier, Time now) {
  double total = 0;
  for (const auto& [flow, keys] : tier.flows) {
    total += UsageAt(queue, flow, now);
  }
  return total / static_cast<double>(tier.flows.size());
}

void ForgetOldUsage(AskQueue& queue, Time now) {
  std::erase_if(queue.usage, [&](const auto& usage) {
    return now - usage.second.updated > seconds(60);
  });
}

}  // namespace

void AddAsk(AskQueue& queue, WaitingAsk ask) {
  const AskKey key{ask.latest_start, ask.ask.attempt};
  TierQueue& tier = queue.tiers[ask.tier];
  tier.flows[FlowOf(ask)].insert(key);
  tier.by_start.insert(key);
  queue.asks[ask.ask.attempt] = std::move(ask);
}

std::optional<WaitingAsk> RemoveAsk(AskQueue& queue, const AttemptId& attempt) {
  const auto it = queue.asks.find(attempt);
  if (it == queue.asks.end()) {
    return std::nullopt;
  }
  WaitingAsk ask = std::move(it->second);
  queue.asks.erase(it);
  const AskKey key{ask.latest_start, attempt};
  const auto tier = queue.tiers.find(ask.tier);
  const auto flow = tier->second.flows.find(FlowOf(ask));
  tier->second.by_start.erase(key);
  flow->second.erase(key);
  if (flow->second.empty()) {
    tier->second.flows.erase(flow);
  }
  if (tier->second.by_start.empty()) {
    queue.tiers.erase(tier);
  }
  return ask;
}

size_t AsksAhead(const AskQueue& queue, Tier tier, Time latest_start) {
  // Counting the place within a set is linear; half of a tier's own asks is
  // assumed ahead once it is long.
  constexpr size_t kLongestCount = 64;
  size_t ahead = 0;
  for (const auto& [other, waiting] : queue.tiers) {
    if (other < tier) {
      ahead += waiting.by_start.size();
    }
    if (other != tier) {
      continue;
    }
    size_t counted = 0;
    for (const AskKey& key : waiting.by_start) {
      if (key.first > latest_start) {
        break;
      }
      if (++counted == kLongestCount) {
        const bool is_last = waiting.by_start.rbegin()->first <= latest_start;
        counted = is_last ? waiting.by_start.size()
                          : std::max(counted, waiting.by_start.size() / 2);
        break;
      }
    }
    ahead += counted;
  }
  return ahead;
}

const WaitingAsk* NextOfTier(const AskQueue& queue, Tier tier, Time now) {
  const auto it = queue.tiers.find(tier);
  if (it == queue.tiers.end()) {
    return nullptr;
  }
  const TierQueue& waiting = it->second;
  if (waiting.flows.size() == 1) {
    return &queue.asks.at(waiting.by_start.begin()->second);
  }
  const double most = MeanUsage(queue, waiting, now) * kOverShare;
  const AskKey* best = nullptr;
  bool best_is_over = true;
  for (const auto& [flow, keys] : waiting.flows) {
    const bool is_over = UsageAt(queue, flow, now) > most;
    const AskKey& first = *keys.begin();
    const bool is_better =
        best == nullptr ||
        (is_over != best_is_over ? best_is_over : first < *best);
    if (is_better) {
      best = &first;
      best_is_over = is_over;
    }
  }
  return &queue.asks.at(best->second);
}

void ChargeFlow(AskQueue& queue,
                const WaitingAsk& ask,
                Duration hold,
                Time now) {
  const Flow flow = FlowOf(ask);
  const double before = UsageAt(queue, flow, now);
  queue.usage[flow] = {before + static_cast<double>(hold.count()), now};
  if (queue.usage.size() > kMostUsages) {
    ForgetOldUsage(queue, now);
  }
}

const WaitingAsk* PushOutCandidate(const AskQueue& queue, Tier tier) {
  if (queue.tiers.empty()) {
    return nullptr;
  }
  const auto lowest = queue.tiers.rbegin();
  if (lowest->first <= tier) {
    return nullptr;
  }
  return &queue.asks.at(lowest->second.by_start.rbegin()->second);
}

std::vector<AttemptId> AsksOf(const AskQueue& queue,
                              const InstanceName& entry) {
  std::vector<AttemptId> attempts;
  for (const auto& [attempt, ask] : queue.asks) {
    if (ask.entry == entry) {
      attempts.push_back(attempt);
    }
  }
  return attempts;
}

}  // namespace pomeloring
