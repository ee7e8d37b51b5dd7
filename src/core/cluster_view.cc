#include "core/cluster_view.h"

#include <algorithm>

#include "core/cell_partition.h"
#include "core/rendezvous.h"

namespace pomeloring {
namespace {

constexpr size_t kSchedulersPerCell = 2;

std::vector<InstanceName> SchedulerCandidates(const std::vector<Member>& live,
                                              const RegionName& region) {
  std::vector<InstanceName> in_region;
  std::vector<InstanceName> all;
  for (const Member& member : live) {
    all.push_back(member.name);
    if (member.region == region) {
      in_region.push_back(member.name);
    }
  }
  return in_region.empty() ? all : in_region;
}

void AddCells(ClusterView& view,
              const Service& service,
              const std::vector<Member>& live) {
  for (auto& [id, upstreams] : PartitionIntoCells(service)) {
    CellView cell;
    cell.id = id;
    cell.service = service.name;
    cell.region = upstreams.front().region;
    cell.schedulers = RendezvousOrder(
        id.value, SchedulerCandidates(live, cell.region), kSchedulersPerCell);
    // While every instance is stopping, each one schedules its own remaining
    // requests.
    if (cell.schedulers.empty()) {
      cell.schedulers = {view.self.name};
    }
    cell.replicas_hash = HashReplicas(upstreams);
    cell.upstreams = std::move(upstreams);
    view.cells_of_service[service.name].push_back(id);
    view.cells[id] = std::move(cell);
  }
}

}  // namespace

std::shared_ptr<const ClusterView> BuildClusterView(
    uint64_t generation,
    const Member& self,
    bool stopping,
    const ConfigInForce& config,
    const std::set<UpstreamName>& leaving_by_platform,
    const std::vector<Member>& live) {
  auto view = std::make_shared<ClusterView>();
  view->generation = generation;
  view->self = self;
  view->stopping = stopping;
  view->config = config;
  view->leaving = leaving_by_platform;
  for (const auto& [target, state] : config.marks) {
    if (state != MarkState::kInService) {
      view->leaving.insert(UpstreamName{target});
    }
  }
  // An instance that an operator marked keeps its connections, but gets no new
  // work and is left out of the list of addresses that callers fetch.
  std::vector<Member> unmarked;
  for (const Member& member : live) {
    if (!config.marks.contains(member.name.value)) {
      unmarked.push_back(member);
      view->live[member.name] = member;
    }
  }
  for (const auto& [name, service] : config.configuration->services) {
    AddCells(*view, service, unmarked);
  }
  for (const auto& [name, account] : config.configuration->accounts) {
    view->accounts_by_key[account.key_sha256] = name;
  }
  return view;
}

const CellView* CellFor(const ClusterView& view,
                        const ServiceName& service,
                        uint64_t hash,
                        size_t choice) {
  const auto ids = view.cells_of_service.find(service);
  if (ids == view.cells_of_service.end() || ids->second.empty()) {
    return nullptr;
  }
  std::vector<const CellView*> near;
  std::vector<const CellView*> far;
  for (const CellId& id : ids->second) {
    const CellView& cell = view.cells.at(id);
    (cell.region == view.self.region ? near : far).push_back(&cell);
  }
  const size_t at = choice % ids->second.size();
  if (at < near.size()) {
    return near[(hash + at) % near.size()];
  }
  return far[(hash + at) % far.size()];
}

}  // namespace pomeloring
