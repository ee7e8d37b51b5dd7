// The members of Router for idle connections to upstreams.

#include "routing/router.h"

namespace pomeloring {

bool Router::PrefersIdleConnections(const RoutedService& service) const {
  return m_settings.features.prefers_idle_connections &&
         (!service.engine || service.engine->batch_slots <= kMaxScarceSlots);
}

void Router::RecordIdleConnections(const std::string& address,
                                   const IdleConnections& idle) {
  if (const auto found = m_by_address.find(address);
      found != m_by_address.end()) {
    found->second->idle_connections = idle;
  }
}

// Must follow each change of `m_states`, whose states it points to.
void Router::IndexAddresses() {
  m_by_address.clear();
  if (!m_settings.features.prefers_idle_connections) {
    return;
  }
  for (const auto& [name, state] : m_states) {
    m_by_address[state->record.address] = state.get();
  }
}

}  // namespace pomeloring
