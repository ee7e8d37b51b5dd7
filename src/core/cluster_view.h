// Defines ClusterView: an immutable snapshot of the configuration, the marks
// and the live members, which determine the cells and their schedulers.

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

  // The scheduler and its successor, chosen from the live members of the cell's
  // region, or from all live members if the region has none.
  std::vector<InstanceName> schedulers;
};

struct ClusterView {
  // Increases with each view that an instance builds. A later view includes
  // every change that an earlier one includes.
  uint64_t generation = 0;
  Member self;
  bool stopping = false;
  ConfigInForce config;  // `configuration` is never null.
  std::set<UpstreamName> leaving;
  // Alive and suspect members, this instance included, without those that are
  // leaving or that an operator has marked.
  std::map<InstanceName, Member> live;
  std::map<CellId, CellView> cells;
  std::map<ServiceName, std::vector<CellId>> cells_of_service;
  std::unordered_map<std::string, AccountName> accounts_by_key;  // By hash.
};

// Builds a view. The members in `live` that an operator has marked schedule no
// cells and are left out of `ClusterView::live`.
std::shared_ptr<const ClusterView> BuildClusterView(
    uint64_t generation,
    const Member& self,
    bool stopping,
    const ConfigInForce& config,
    const std::set<UpstreamName>& leaving_by_platform,
    const std::vector<Member>& live);

// Returns the cell of `service` for a request with this hash; null if the
// service has no cells. Successive values of `choice` return all cells in turn,
// those of the region of `view.self` first.
const CellView* CellFor(const ClusterView& view,
                        const ServiceName& service,
                        uint64_t hash,
                        size_t choice);

}  // namespace pomeloring

#endif  // POMELORING_CORE_CLUSTER_VIEW_H_
