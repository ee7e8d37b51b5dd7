#include "core/slot_request_queue.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace pomeloring {
namespace {

constexpr double kUsageHalfLifeSeconds = 10;
// A flow has exceeded its fair share above this multiple of the mean usage.
constexpr double kFairShareFactor = 1.5;
constexpr size_t kMaxTrackedFlows = 16384;

Flow FlowOf(const QueuedSlotRequest& queued) {
  return {queued.request.account, queued.request.request_class};
}

double UsageAt(const SlotRequestQueue& queue, const Flow& flow, Time now) {
  const auto it = queue.usage.find(flow);
  if (it == queue.usage.end()) {
    return 0;
  }
  const double age =
      std::chrono::duration<double>(now - it->second.updated).count();
  return it->second.micros * std::exp2(-age / kUsageHalfLifeSeconds);
}

double MeanUsage(const SlotRequestQueue& queue,
                 const TierQueue& tier,
                 Time now) {
  double total = 0;
  for (const auto& [flow, keys] : tier.flows) {
    total += UsageAt(queue, flow, now);
  }
  return total / static_cast<double>(tier.flows.size());
}

// Returns the first request that can still be on time, or an overdue one if
// these go first or there are no others.
const StartOrderKey& FirstOfFlow(const std::set<StartOrderKey>& keys,
                                 bool overdue_first,
                                 Time now) {
  if (overdue_first) {
    return *keys.begin();
  }
  const auto on_time = keys.lower_bound(StartOrderKey{now, {}});
  return on_time == keys.end() ? *keys.begin() : *on_time;
}

void RemoveOldUsage(SlotRequestQueue& queue, Time now) {
  std::erase_if(queue.usage, [&](const auto& usage) {
    return now - usage.second.updated > seconds(60);
  });
}

}  // namespace

void AddSlotRequest(SlotRequestQueue& queue, QueuedSlotRequest queued) {
  const StartOrderKey key{queued.latest_start, queued.request.attempt};
  TierQueue& tier = queue.tiers[queued.tier];
  tier.flows[FlowOf(queued)].insert(key);
  tier.by_latest_start.insert(key);
  if (queued.drop_when_late) {
    tier.droppable.insert(key);
  }
  queue.requests[queued.request.attempt] = std::move(queued);
}

std::optional<QueuedSlotRequest> RemoveSlotRequest(SlotRequestQueue& queue,
                                                   AttemptId attempt) {
  const auto it = queue.requests.find(attempt);
  if (it == queue.requests.end()) {
    return std::nullopt;
  }
  QueuedSlotRequest queued = std::move(it->second);
  queue.requests.erase(it);
  const StartOrderKey key{queued.latest_start, attempt};
  const auto tier = queue.tiers.find(queued.tier);
  const auto flow = tier->second.flows.find(FlowOf(queued));
  tier->second.by_latest_start.erase(key);
  tier->second.droppable.erase(key);
  flow->second.erase(key);
  if (flow->second.empty()) {
    tier->second.flows.erase(flow);
  }
  if (tier->second.by_latest_start.empty()) {
    queue.tiers.erase(tier);
  }
  return queued;
}

size_t SlotRequestsAhead(const SlotRequestQueue& queue,
                         Tier tier,
                         Time latest_start,
                         Time now) {
  size_t ahead = 0;
  for (const auto& [other, waiting] : queue.tiers) {
    if (other < tier) {
      ahead += waiting.by_latest_start.size();
    }
  }
  const auto same_tier = queue.tiers.find(tier);
  if (same_tier == queue.tiers.end()) {
    return ahead;
  }
  // Counting the position within a set is linear. A position at the end is the
  // size of the set, and beyond this many the position is taken to be at least
  // half the size.
  constexpr size_t kMaxCounted = 64;
  const std::set<StartOrderKey>& requests = same_tier->second.by_latest_start;
  if (requests.rbegin()->first <= latest_start) {
    return ahead + requests.size();
  }
  size_t counted = 0;
  for (auto it = requests.lower_bound(StartOrderKey{now, {}});
       it != requests.end() && it->first <= latest_start; ++it) {
    if (++counted == kMaxCounted) {
      return ahead + std::max(counted, requests.size() / 2);
    }
  }
  return ahead + counted;
}

const QueuedSlotRequest* NextInTier(const SlotRequestQueue& queue,
                                    Tier tier,
                                    bool overdue_first,
                                    Time now) {
  const auto it = queue.tiers.find(tier);
  if (it == queue.tiers.end()) {
    return nullptr;
  }
  const TierQueue& waiting = it->second;
  const bool is_single = waiting.flows.size() == 1;
  const double max_usage =
      is_single ? 0 : MeanUsage(queue, waiting, now) * kFairShareFactor;
  const StartOrderKey* best = nullptr;
  bool best_is_over = true;
  bool best_goes_last = true;
  for (const auto& [flow, keys] : waiting.flows) {
    const bool is_over = !is_single && UsageAt(queue, flow, now) > max_usage;
    const StartOrderKey& key = FirstOfFlow(keys, overdue_first, now);
    const bool goes_last = (key.first < now) != overdue_first;
    const auto rank = std::tie(is_over, goes_last, key);
    const bool is_better =
        best == nullptr || rank < std::tie(best_is_over, best_goes_last, *best);
    if (is_better) {
      best = &key;
      best_is_over = is_over;
      best_goes_last = goes_last;
    }
  }
  return &queue.requests.at(best->second);
}

void ChargeFlow(SlotRequestQueue& queue,
                const QueuedSlotRequest& queued,
                Duration slot_time,
                Time now) {
  const Flow flow = FlowOf(queued);
  const double before = UsageAt(queue, flow, now);
  queue.usage[flow] = {before + static_cast<double>(slot_time.count()), now};
  if (queue.usage.size() > kMaxTrackedFlows) {
    RemoveOldUsage(queue, now);
  }
}

const QueuedSlotRequest* EvictionCandidate(const SlotRequestQueue& queue,
                                           Tier tier) {
  if (queue.tiers.empty()) {
    return nullptr;
  }
  const auto lowest = queue.tiers.rbegin();
  if (lowest->first <= tier) {
    return nullptr;
  }
  return &queue.requests.at(lowest->second.by_latest_start.rbegin()->second);
}

std::vector<AttemptId> SlotRequestsOf(const SlotRequestQueue& queue,
                                      const InstanceName& entry) {
  std::vector<AttemptId> attempts;
  for (const auto& [attempt, queued] : queue.requests) {
    if (queued.entry == entry) {
      attempts.push_back(attempt);
    }
  }
  return attempts;
}

}  // namespace pomeloring
