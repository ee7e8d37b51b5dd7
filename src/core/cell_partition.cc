#include "core/cell_partition.h"

#include <fmt/format.h>

#include "core/rendezvous.h"

namespace pomeloring {
namespace {

// On average: the hash does not distribute the replicas evenly.
constexpr size_t kMaxMeanReplicasPerCell = 64;

}  // namespace

CellId CellIdOf(const Service& service, const Upstream& upstream) {
  size_t in_region = 0;
  for (const Upstream& other : service.upstreams) {
    in_region += other.region == upstream.region ? 1 : 0;
  }
  const size_t cells =
      (in_region + kMaxMeanReplicasPerCell - 1) / kMaxMeanReplicasPerCell;
  const size_t bucket = RendezvousBucket(upstream.name.value, cells);
  return {fmt::format("{}/{}/{}", service.name.value, upstream.region.value,
                      bucket)};
}

std::map<CellId, std::vector<Upstream>> PartitionIntoCells(
    const Service& service) {
  std::map<CellId, std::vector<Upstream>> cells;
  for (const Upstream& upstream : service.upstreams) {
    cells[CellIdOf(service, upstream)].push_back(upstream);
  }
  return cells;
}

uint32_t HashReplicas(std::span<const Upstream> replicas) {
  uint64_t hash = 0;
  for (const Upstream& upstream : replicas) {
    hash = StableHash(upstream.name.value, hash);
  }
  return static_cast<uint32_t>(hash);
}

}  // namespace pomeloring
