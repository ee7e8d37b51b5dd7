#include "core/ask_queue.h"

#include <algorithm>
#include <cmath>
#include <tuple>

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

// The first that can still be on time, unless the overdue go first.
const AskKey& FirstOfFlow(const std::set<AskKey>& keys,
                          bool overdue_first,
                          Time now) {
  if (overdue_first) {
    return *keys.begin();
  }
  const auto on_time = keys.lower_bound(AskKey{now, {}});
  return on_time == keys.end() ? *keys.begin() : *on_time;
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
  if (ask.drop_when_late) {
    tier.droppable.insert(key);
  }
  queue.asks[ask.ask.attempt] = std::move(ask);
}

std::optional<WaitingAsk> RemoveAsk(AskQueue& queue, AttemptId attempt) {
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
  tier->second.droppable.erase(key);
  flow->second.erase(key);
  if (flow->second.empty()) {
    tier->second.flows.erase(flow);
  }
  if (tier->second.by_start.empty()) {
    queue.tiers.erase(tier);
  }
  return ask;
}

size_t AsksAhead(const AskQueue& queue,
                 Tier tier,
                 Time latest_start,
                 Time now) {
  size_t ahead = 0;
  for (const auto& [other, waiting] : queue.tiers) {
    if (other < tier) {
      ahead += waiting.by_start.size();
    }
  }
  const auto own = queue.tiers.find(tier);
  if (own == queue.tiers.end()) {
    return ahead;
  }
  // Counting a place within a set is linear: the last one counts them all, and
  // beyond this many half of them stands for the rest.
  constexpr size_t kLongestCount = 64;
  const std::set<AskKey>& asks = own->second.by_start;
  if (asks.rbegin()->first <= latest_start) {
    return ahead + asks.size();
  }
  size_t counted = 0;
  for (auto it = asks.lower_bound(AskKey{now, {}});
       it != asks.end() && it->first <= latest_start; ++it) {
    if (++counted == kLongestCount) {
      return ahead + std::max(counted, asks.size() / 2);
    }
  }
  return ahead + counted;
}

const WaitingAsk* NextOfTier(const AskQueue& queue,
                             Tier tier,
                             bool overdue_first,
                             Time now) {
  const auto it = queue.tiers.find(tier);
  if (it == queue.tiers.end()) {
    return nullptr;
  }
  const TierQueue& waiting = it->second;
  const bool is_single = waiting.flows.size() == 1;
  const double most =
      is_single ? 0 : MeanUsage(queue, waiting, now) * kOverShare;
  const AskKey* best = nullptr;
  bool best_is_over = true;
  bool best_is_last = true;
  for (const auto& [flow, keys] : waiting.flows) {
    const bool is_over = !is_single && UsageAt(queue, flow, now) > most;
    const AskKey& key = FirstOfFlow(keys, overdue_first, now);
    const bool is_last = (key.first < now) != overdue_first;
    const auto rank = std::tie(is_over, is_last, key);
    const bool is_better =
        best == nullptr || rank < std::tie(best_is_over, best_is_last, *best);
    if (is_better) {
      best = &key;
      best_is_over = is_over;
      best_is_last = is_last;
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
