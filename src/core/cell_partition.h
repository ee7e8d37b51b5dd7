// Defines the partition of a service's upstreams into cells, by region and by a
// hash of the upstream's name.

#ifndef POMELORING_CORE_CELL_PARTITION_H_
#define POMELORING_CORE_CELL_PARTITION_H_

#include <map>
#include <span>
#include <vector>

#include "core/configuration.h"

namespace pomeloring {

// Returns the id of the cell that `upstream` belongs to.
CellId CellIdOf(const Service& service, const Upstream& upstream);

// Returns the cells of a service with the upstreams in each.
std::map<CellId, std::vector<Upstream>> PartitionIntoCells(
    const Service& service);

// Returns a hash of the replicas' names in order. Instances that agree on it
// may refer to a replica by its index.
uint32_t HashReplicas(std::span<const Upstream> replicas);

}  // namespace pomeloring

#endif  // POMELORING_CORE_CELL_PARTITION_H_
