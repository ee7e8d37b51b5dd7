// The members of Router for flows between failure domains.

#include <algorithm>

#include "routing/router.h"

namespace pomeloring {
namespace {

// Before the first request of a route has ended.
constexpr double kBytesPerToken = 4;
constexpr double kInitialBytes = 8192;
constexpr Duration kMinChangeInterval = seconds(1);
// Changes that nobody takes are dropped.
constexpr size_t kMaxFlowChanges = 64;

}  // namespace

bool Router::ControlsFlows(const RoutedService& service) const {
  return m_settings.features.cross_domain_ms_per_mb && service.engine &&
         service.engine->batch_slots <= kMaxScarceSlots;
}

// Without knowledge of other domains' demand, placement is as without flows.
DomainCrossing Router::CrossingOf(const AttemptRequest& request,
                                  const RoutedService& service) const {
  DomainCrossing crossing;
  crossing.is_controlled =
      m_settings.features.cross_domain_ms_per_mb.has_value();
  const auto found = m_flows.find(service.name);
  if (!ControlsFlows(service) || found == m_flows.end() ||
      !found->second.flows.is_known) {
    return crossing;
  }
  const ServiceFlows& state = found->second;
  const auto mean = state.mean_bytes.find(request.route->name);
  const double bytes =
      mean != state.mean_bytes.end()
          ? mean->second
          : kInitialBytes + kBytesPerToken * request.prompt_tokens;
  crossing.flows = &state.flows;
  crossing.target = FlowTargetOf(state.flows, request.ticket);
  crossing.price_ms =
      CrossingPriceMs(*m_settings.features.cross_domain_ms_per_mb, bytes);
  return crossing;
}

void Router::RecordArrival(const ServiceName& service, Time now) {
  if (!m_settings.features.cross_domain_ms_per_mb || !m_config) {
    return;
  }
  const auto found = m_config->services.find(service);
  if (found != m_config->services.end() && ControlsFlows(found->second)) {
    RecordArrivals(m_flows[service].demand, 1, now);
  }
}

void Router::RecordCrossing(const PlacedAttempt& attempt) {
  if (attempt.placement.left_domain != CrossingReason::kNone) {
    ++m_flows[attempt.service]
          .requests[{attempt.upstream->record.failure_domain,
                     attempt.placement.left_domain}];
  }
}

void Router::RecordBytes(const PlacedAttempt& attempt,
                         UpstreamOutcome outcome,
                         Time now) {
  const auto found = m_flows.find(attempt.service);
  if (found == m_flows.end()) {
    return;
  }
  ServiceFlows& state = found->second;
  const FailureDomain& domain = attempt.upstream->record.failure_domain;
  if (domain != m_settings.failure_domain) {
    state.bytes[domain] += attempt.bytes;
  }
  if (outcome == UpstreamOutcome::kServed) {
    const auto bytes = static_cast<double>(attempt.bytes);
    RecordServed(state.demand, now - attempt.started, bytes);
    MoveMean(state.mean_bytes[attempt.route], bytes);
  }
}

FlowDigest Router::LocalFlows(Time now) const {
  FlowDigest local;
  if (!m_settings.features.cross_domain_ms_per_mb) {
    return local;
  }
  const FailureDomain& home = m_settings.failure_domain;
  local.failure_domain = home;
  for (const auto& [service, state] : m_flows) {
    const DemandRate demand = DemandOf(state.demand, now);
    if (demand.requests_per_s > 0) {
      local.demands[{service, home}] = demand;
    }
    // Flows of 0 count in the mean of the domain's instances.
    for (const auto& [domain, flow] : state.flows.out) {
      if (demand.requests_per_s > 0 || flow.fraction > 0) {
        local.flows[{service, {home, domain}}] = flow.fraction;
      }
    }
  }
  return local;
}

FlowTotals Router::SumFlows(
    const std::function<bool(const InstanceName&)>& includes,
    Time now) const {
  FlowTotals totals;
  if (!m_settings.features.cross_domain_ms_per_mb) {
    return totals;
  }
  const FlowDigest local = LocalFlows(now);
  totals.demands = local.demands;
  AddFlows(totals.flows, local.flows);
  for (const auto& [name, peer] : m_peers) {
    if (includes(name)) {
      AddDemands(totals.demands, peer.digest.flows.demands);
      AddFlows(totals.flows, peer.digest.flows.flows);
    }
  }
  return totals;
}

FlowDigest Router::MakeFlowDigest(const FlowTotals& totals) const {
  if (!m_settings.features.cross_domain_ms_per_mb) {
    return {};
  }
  return {m_settings.failure_domain, totals.demands, MeansOf(totals.flows)};
}

FlowInputs Router::MakeFlowInputs(const ServiceName& service,
                                  const DemandRates& demands,
                                  const FlowReports& reports,
                                  Time now) {
  FlowInputs inputs;
  inputs.home = m_settings.failure_domain;
  const EngineEstimate& estimate = m_engines[service];
  const double slots = m_config->services.at(service).engine->batch_slots;
  for (const UpstreamState* upstream : m_by_service.at(service)) {
    DomainSupply& supply =
        inputs.domains[upstream->record.failure_domain].supply;
    if (FindUseBlock(*upstream, now) != SendBlock::kNone ||
        now < upstream->health.ejected_until) {
      continue;
    }
    const UpstreamLoad load = TotalLoad(*upstream);
    supply.slots += slots;
    supply.in_use += std::min<double>(load.running, slots);
    supply.queued += std::max(0.0, load.running - slots);
    // Weighted by slots, which all engines of a service have as many of.
    supply.expected_ms +=
        slots * upstream->health.latency_ratio *
        ExpectedFirstEventMs(
            estimate, static_cast<double>(PendingPrefillTokens(load)), 0);
  }
  for (auto& [domain, load] : inputs.domains) {
    load.supply.expected_ms /= std::max(1.0, load.supply.slots);
    if (const auto demand = demands.find({service, domain});
        demand != demands.end()) {
      load.demand = demand->second;
    }
  }
  for (const auto& [key, fraction] : reports) {
    if (key.first == service) {
      inputs.reported[key.second] = fraction;
    }
  }
  const auto home = inputs.domains.find(inputs.home);
  if (home != inputs.domains.end() && home->second.demand &&
      home->second.demand->requests_per_s > 0) {
    const DemandRate& demand = *home->second.demand;
    inputs.price_ms =
        CrossingPriceMs(*m_settings.features.cross_domain_ms_per_mb,
                        demand.bytes_per_s / demand.requests_per_s);
  }
  return inputs;
}

// Without digests, an instance sees its own requests only: it compares them
// with its part of the slots.
void Router::UpdateFlows(Time now) {
  if (!m_settings.features.cross_domain_ms_per_mb || !m_config) {
    return;
  }
  Time newest_digest{};
  DemandRates demands = LocalFlows(now).demands;
  FlowSums peer_flows;
  for (const auto& [name, peer] : m_peers) {
    newest_digest = std::max(newest_digest, peer.last_received);
    AddDemands(demands, peer.digest.flows.demands);
    AddFlows(peer_flows, peer.digest.flows.flows);
  }
  const FlowReports reports = MeansOf(peer_flows);
  const Duration age = m_peers.empty() ? Duration{0} : now - newest_digest;
  const size_t live_peers = LivePeerCount(now);
  if (live_peers > 0 || m_peers.empty()) {
    m_flow_instances = live_peers + 1;
  }
  std::erase_if(m_flows, [&](const auto& entry) {
    const auto service = m_config->services.find(entry.first);
    return service == m_config->services.end() ||
           !ControlsFlows(service->second);
  });
  for (const auto& [name, states] : m_by_service) {
    const auto service = m_config->services.find(name);
    if (service == m_config->services.end() ||
        !ControlsFlows(service->second)) {
      continue;
    }
    ServiceFlows& state = m_flows[name];
    // Routes that are gone.
    if (state.mean_bytes.size() > m_config->routes.size()) {
      state.mean_bytes.clear();
    }
    state.inputs = MakeFlowInputs(name, demands, reports, now);
    state.inputs.digest_age = age;
    if (live_peers == 0 && m_flow_instances > 1) {
      const double share =
          std::min(1.0, static_cast<double>(state.inputs.domains.size()) /
                            static_cast<double>(m_flow_instances));
      for (auto& [domain, load] : state.inputs.domains) {
        load.supply.slots *= share;
      }
    }
    pomeloring::UpdateFlows(state.flows, state.inputs, now);
    NoteFlowChanges(name, state, now);
  }
}

void Router::NoteFlowChanges(const ServiceName& service,
                             ServiceFlows& state,
                             Time now) {
  for (const auto& [domain, flow] : state.flows.out) {
    auto& [was_flowing, changed_at] = state.reported[domain];
    const bool is_flowing = flow.fraction > 0;
    if (is_flowing != was_flowing && now - changed_at >= kMinChangeInterval &&
        m_flow_changes.size() < kMaxFlowChanges) {
      was_flowing = is_flowing;
      changed_at = now;
      m_flow_changes.push_back({service, domain, is_flowing, state.inputs});
    }
  }
}

std::vector<FlowChange> Router::TakeFlowChanges() {
  return std::exchange(m_flow_changes, {});
}

}  // namespace pomeloring
