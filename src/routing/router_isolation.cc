// The members of Router for engines that are kept for streams that long
// prefills would delay.

#include "routing/router.h"

namespace pomeloring {

bool Router::IsolatesStreams(const RoutedService& service) const {
  return m_settings.features.isolates_streams && service.engine &&
         service.engine->batch_slots <= kMaxScarceSlots &&
         service.min_event_gap_target > Duration{0};
}

void Router::UpdateIsolation(Time now) {
  if (!m_settings.features.isolates_streams || !m_config) {
    return;
  }
  for (const auto& [name, states] : m_by_service) {
    const auto service = m_config->services.find(name);
    if (service == m_config->services.end() ||
        !IsolatesStreams(service->second)) {
      continue;
    }
    IsolationLoad load{states.size(), service->second.engine->batch_slots};
    load.knows_peers = LivePeerCount(now) > 0 || m_peers.empty();
    std::vector<RankedEngine> engines;
    for (const UpstreamState* state : states) {
      load.sensitive_streams += TotalLoad(*state).gap_sensitive;
      engines.push_back({state->name_hash, state->shared_speed
                                               ? state->shared_speed->factor
                                               : 1});
    }
    IsolatedEngines& isolated = m_isolated[name];
    UpdateIsolatedEngines(isolated, load, now);
    const std::vector<bool> selected =
        SelectIsolatedEngines(engines, isolated.count);
    for (size_t i = 0; i < states.size(); ++i) {
      states[i]->is_isolated = selected[i];
    }
  }
}

}  // namespace pomeloring
