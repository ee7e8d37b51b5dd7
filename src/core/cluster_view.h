// Defines ClusterView: one unchanging picture of the configuration, the marks
// and the live members, from which cells and their schedulers follow.

#ifndef POMELORING_CORE_CLUSTER_VIEW_H_
#define POMELORING_CORE_CLUSTER_VIEW_H_

#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/config_history.h"
#include "core/membership.h"

namespace pomeloring {

struct CellView {
  CellId id;
  ServiceName service;
  RegionName region;
  std::vector<Upstream> upstreams;
  uint32_t replicas_hash = 0;  // See HashReplicas().

  // The scheduler and its successor, of the live members of the cell's region;
  // of all live members where the region has none.
  std::vector<InstanceName> schedulers;
};

struct ClusterView {
  // Of the views that one instance builds: a later one has seen all that an
  // earlier one had.
  uint64_t generation = 0;
  Member self;
  bool stopping = false;
  ConfigInForce config;  // `configuration` is never null.
  std::set<UpstreamName> leaving;
  std::map<InstanceName, Member> live;
  std::map<CellId, CellView> cells;
  std::map<ServiceName, std::vector<CellId>> cells_of_service;
  std::unordered_map<std::string, AccountName> accounts_by_key;  // By hash.
};

std::shared_ptr<const ClusterView> BuildClusterView(
    uint64_t generation,
    const Member& self,
    bool stopping,
    const ConfigInForce& config,
    const std::set<UpstreamName>& leaving_by_platform,
    const std::vector<Member>& live);

// Returns the cell that serves `service` for a request with this hash, those
// of the region of `view.self` first; null where the service has none. Each
// `turn` gives another cell, as far as there are any.
const CellView* CellFor(const ClusterView& view,
                        const ServiceName& service,
                        uint64_t hash,
                        size_t choice);

}  // namespace pomeloring

#endif  // POMELORING_CORE_CLUSTER_VIEW_H_
