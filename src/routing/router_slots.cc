// The members of Router for services whose engines have few slots.

#include <algorithm>

#include "routing/router.h"

namespace pomeloring {

SlotAdmission* Router::SlotsOf(const RoutedService& service) {
  if (!m_settings.admits_by_slots || !service.engine ||
      service.engine->batch_slots > kMaxScarceSlots) {
    return nullptr;
  }
  return &m_slots[service.name];
}

std::optional<TokenDemand> Router::TokensOf(
    const AttemptRequest& request,
    const RoutedService& service) const {
  if (!m_settings.features.places_by_memory || !service.engine ||
      service.engine->batch_slots > kMaxScarceSlots ||
      service.engine->memory_tokens == 0) {
    return std::nullopt;
  }
  TokenDemand tokens{request.prompt_tokens, 0};
  if (const auto estimate = m_engines.find(request.service);
      estimate != m_engines.end()) {
    const auto runs = estimate->second.runs.find(request.route->name);
    tokens.output = runs == estimate->second.runs.end()
                        ? 0
                        : static_cast<uint64_t>(runs->second.mean_tokens);
  }
  return tokens;
}

void Router::RecordSlotUse(const AttemptRequest& request, Time now) {
  if (const auto slots = m_slots.find(request.service);
      slots != m_slots.end()) {
    RecordSlotStart(slots->second, request.route->priority, request.ticket,
                    now);
  }
}

void Router::RecordSlotTime(const PlacedAttempt& attempt, Time now) {
  if (const auto slots = m_slots.find(attempt.service);
      slots != m_slots.end()) {
    RecordSlotEnd(slots->second, attempt.priority, now - attempt.started);
  }
}

void Router::UpdateSlots(Time now) {
  if (m_slots.empty()) {
    return;
  }
  Time newest_digest{};
  for (const auto& [name, peer] : m_peers) {
    newest_digest = std::max(newest_digest, peer.last_received);
  }
  const size_t instances = LivePeerCount(now) + 1;
  for (auto& [name, slots] : m_slots) {
    const bool is_alone = instances == 1 && !m_peers.empty();
    if (!is_alone) {
      slots.own_share = 1;
    } else if (slots.instances > 1) {
      // The loads of the others have just been dropped.
      slots.own_share = 1 / static_cast<double>(slots.instances);
    }
    slots.instances = instances;
    slots.load_age = now - newest_digest;
  }
}

}  // namespace pomeloring
