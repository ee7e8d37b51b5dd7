#include "routing/origin_batch.h"

#include <algorithm>

namespace pomeloring {
namespace {

// After the first event. A shorter time makes more appends, a longer one loses
// more streams when all instances are killed.
constexpr Duration kBatchInterval = milliseconds(250);
// With an append each kBatchInterval at each, they make 64 a second: less than
// a fifth of the 400 that the smallest store permits.
constexpr size_t kMaxAppenders = 16;
constexpr StreamKey kAppenderKey = 0;
// 8 bytes a stream: half of the largest record.
constexpr size_t kMaxBatchStreams = 16'384;
// As many as are retained in memory.
constexpr size_t kMaxWaiting = 65'536;
constexpr Duration kMaxRetryDelay = seconds(2);
// By which the times of day of two instances may differ.
constexpr Duration kMaxClockDifference = seconds(10);

}  // namespace

void QueueOrigins(OriginQueue& queue,
                  std::span<const KeyedOrigin> streams,
                  Time now) {
  if (queue.waiting.empty() && queue.retry_delay.count() == 0) {
    queue.due_at = now + kBatchInterval;
  }
  queue.waiting.insert(queue.waiting.end(), streams.begin(), streams.end());
  while (queue.waiting.size() > kMaxWaiting) {
    queue.waiting.pop_front();
    ++queue.dropped;
  }
}

bool IsBatchDue(const OriginQueue& queue, Time now) {
  return !queue.waiting.empty() && now >= queue.due_at;
}

std::vector<KeyedOrigin> TakeBatch(OriginQueue& queue, Time now) {
  const auto end =
      queue.waiting.begin() +
      static_cast<long>(std::min(queue.waiting.size(), kMaxBatchStreams));
  std::vector<KeyedOrigin> batch(queue.waiting.begin(), end);
  queue.waiting.erase(queue.waiting.begin(), end);
  queue.due_at = now + kBatchInterval;
  return batch;
}

void CompleteBatch(OriginQueue& queue,
                   std::vector<KeyedOrigin> batch,
                   bool was_appended,
                   Time now) {
  if (was_appended) {
    queue.retry_delay = Duration{0};
    return;
  }
  queue.retry_delay =
      std::clamp(2 * queue.retry_delay, kBatchInterval, kMaxRetryDelay);
  queue.due_at = now + queue.retry_delay;
  queue.waiting.insert(queue.waiting.begin(), batch.begin(), batch.end());
}

std::vector<InstanceName> ChooseAppenders(
    std::span<const InstanceName> instances) {
  return ChooseHolders(kAppenderKey, instances, kMaxAppenders);
}

VersionSets TakeChangedVersions(VersionSets& recorded,
                                const StreamOrigins& origins,
                                const VersionSets& registered) {
  VersionSets changed;
  for (const auto& [service, versions] : registered) {
    const auto recent = RecentVersions(origins, service);
    auto& last = recorded[service];
    if (last == versions) {
      continue;
    }
    last = versions;
    if (recent.size() > 1) {
      changed[service] = recent;
    }
  }
  return changed;
}

void AddLogged(LoggedOrigins& logged, std::span<const KeyedOrigin> streams) {
  for (const auto& [key, origin] : streams) {
    // A batch has its streams grouped by origin, and there are few of those.
    auto known =
        std::find(logged.origins.rbegin(), logged.origins.rend(), origin);
    if (known == logged.origins.rend()) {
      logged.origins.push_back(origin);
      known = logged.origins.rbegin();
    }
    logged.streams.emplace_back(
        key, static_cast<uint32_t>(logged.origins.rend() - known - 1));
  }
}

void SortLogged(LoggedOrigins& logged) {
  std::sort(logged.streams.begin(), logged.streams.end());
}

std::optional<StreamOrigin> FindLogged(const LoggedOrigins& logged,
                                       StreamKey key) {
  const auto found =
      std::lower_bound(logged.streams.begin(), logged.streams.end(),
                       std::pair(key, uint32_t{0}));
  if (found == logged.streams.end() || found->first != key) {
    return std::nullopt;
  }
  return logged.origins[found->second];
}

bool HasAllLogged(const LoggedOrigins& logged, Duration max_age, Time now) {
  return logged.complete_since == Time{} ||
         now - logged.complete_since >= max_age + kMaxClockDifference;
}

}  // namespace pomeloring
