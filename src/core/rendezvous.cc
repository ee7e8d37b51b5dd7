#include "core/rendezvous.h"

#include <algorithm>

namespace pomeloring {

std::vector<InstanceName> RendezvousOrder(
    std::string_view key,
    std::span<const InstanceName> candidates,
    size_t count) {
  struct Weighted {
    uint64_t weight;
    const InstanceName* name;
  };
  const uint64_t key_hash = StableHash(key);
  std::vector<Weighted> weighted;
  weighted.reserve(candidates.size());
  for (const InstanceName& name : candidates) {
    weighted.push_back({StableHash(name.value, key_hash), &name});
  }
  count = std::min(count, weighted.size());
  std::partial_sort(weighted.begin(), weighted.begin() + count, weighted.end(),
                    [](const Weighted& a, const Weighted& b) {
                      return a.weight != b.weight ? a.weight > b.weight
                                                  : *a.name < *b.name;
                    });
  std::vector<InstanceName> order;
  for (size_t i = 0; i < count; ++i) {
    order.push_back(*weighted[i].name);
  }
  return order;
}

size_t RendezvousBucket(std::string_view key, size_t buckets) {
  size_t best = 0;
  uint64_t best_weight = 0;
  for (size_t bucket = 0; bucket < buckets; ++bucket) {
    const uint64_t weight = StableHash(key, bucket);
    if (bucket == 0 || weight > best_weight) {
      best = bucket;
      best_weight = weight;
    }
  }
  return best;
}

}  // namespace pomeloring
