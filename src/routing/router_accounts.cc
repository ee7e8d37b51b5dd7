// The members of Router for fair shares between client accounts.

#include <algorithm>

#include "routing/router.h"

namespace pomeloring {
namespace {

// Work of an output token, relative to that of prefilling a prompt token.
constexpr double kWorkPerOutputToken = 10;
// The slots of all engines are counted at most this often.
constexpr Duration kMeasureInterval = milliseconds(20);
// A relay lists more accounts than a digest holds until it has taken off what
// the receiver itself reported.
constexpr size_t kMaxRelayedAccounts = 2 * kMaxReportedAccounts;

}  // namespace

AccountShares* Router::SharesOf(const RoutedService& service) {
  return m_settings.features.fair_accounts && service.engine &&
                 service.engine->batch_slots <= kMaxScarceSlots
             ? &m_accounts[service.name]
             : nullptr;
}

ShareQuestion Router::ShareQuestionOf(const AttemptRequest& request,
                                      uint32_t prefill_tokens) {
  const EngineEstimate& estimate = m_engines[request.service];
  const auto runs = estimate.runs.find(request.route->name);
  const double output_tokens =
      runs == estimate.runs.end() ? 0 : runs->second.mean_tokens;
  return {request.account,
          request.account_priority,
          request.route->priority,
          request.ticket,
          request.whole_request,
          prefill_tokens + kWorkPerOutputToken * output_tokens,
          request.waited,
          request.time_left,
          request.route->latency_target,
          estimate.first_event_delay_ms,
          estimate.mean_attempt_ms};
}

std::optional<StartAttemptResult> Router::HoldForShare(
    const AttemptRequest& request,
    const RoutedService& service,
    Time now) {
  AccountShares* shares = SharesOf(service);
  if (shares == nullptr || request.has_run) {
    return std::nullopt;
  }
  if (now - shares->measured_at >= kMeasureInterval) {
    double free_slots = 0;
    size_t engines = 0;
    for (const UpstreamState* state : m_by_service[service.name]) {
      if (FindUseBlock(*state, now) == SendBlock::kNone &&
          now >= state->health.ejected_until) {
        ++engines;
        const uint32_t slots = service.engine->batch_slots;
        free_slots += slots - std::min(slots, TotalLoad(*state).running);
      }
    }
    MeasureSlots(*shares, free_slots, engines, now);
  }
  const ShareDecision decision =
      DecideShare(*shares, ShareQuestionOf(request, request.prompt_tokens), now,
                  NextRandom(m_random));
  switch (decision.verdict) {
    case ShareVerdict::kStart:
      return std::nullopt;
    case ShareVerdict::kWait:
      return Deferred{decision};
    case ShareVerdict::kRefuse:
      break;
  }
  Unplaced unplaced{PlacementRefusal::kOverShare, decision.retry_after};
  unplaced.share = decision;
  return unplaced;
}

void Router::RecordWork(const AttemptRequest& request,
                        uint32_t prefill_tokens,
                        Time now) {
  if (const auto shares = m_accounts.find(request.service);
      shares != m_accounts.end()) {
    RecordShareStart(shares->second, ShareQuestionOf(request, prefill_tokens),
                     now);
  }
}

void Router::NoteUnplaced(const AttemptRequest& request, Time now) {
  if (const auto shares = m_accounts.find(request.service);
      shares != m_accounts.end()) {
    RecordShareUnplaced(shares->second, request.account,
                        request.account_priority, now);
  }
}

void Router::UpdateAccounts(Time now) {
  if (!m_settings.features.fair_accounts || !m_config) {
    return;
  }
  if (m_account_priorities_version != m_config->version) {
    m_account_priorities_version = m_config->version;
    m_account_priorities.clear();
    for (const RoutedAccount& account : m_config->accounts) {
      m_account_priorities[AccountIdOf(account.name.value)] = account.priority;
    }
  }
  Time newest_digest{};
  ServiceAccountWork of_peers;
  for (const auto& [name, peer] : m_peers) {
    newest_digest = std::max(newest_digest, peer.last_received);
    AddWork(of_peers, peer.digest.account_work,
            WorkDecay(now - peer.last_received));
  }
  const size_t instances = LivePeerCount(now) + 1;
  for (auto& [service, shares] : m_accounts) {
    shares.instances = instances;
    shares.load_age = now - newest_digest;
    UpdateShares(shares, of_peers[service], m_account_priorities, now);
  }
}

ServiceAccountWork Router::LocalAccountWork(Time now) const {
  ServiceAccountWork work;
  for (const auto& [service, shares] : m_accounts) {
    if (!shares.own.empty()) {
      work[service] = OwnWork(shares, now);
    }
  }
  KeepMostWork(work, kMaxReportedAccounts);
  return work;
}

ServiceAccountWork Router::GroupAccountWork(Time now) const {
  ServiceAccountWork work = LocalAccountWork(now);
  for (const auto& [name, peer] : m_peers) {
    if (m_settings.features.fair_accounts && IsRelayedHere(peer, now)) {
      AddWork(work, peer.digest.account_work,
              WorkDecay(now - peer.last_received));
    }
  }
  KeepMostWork(work, kMaxReportedAccounts);
  return work;
}

ServiceAccountWork Router::TotalAccountWork(Time now) const {
  ServiceAccountWork work = LocalAccountWork(now);
  for (const auto& [name, peer] : m_peers) {
    if (m_settings.features.fair_accounts) {
      AddWork(work, peer.digest.account_work,
              WorkDecay(now - peer.last_received));
    }
  }
  KeepMostWork(work, kMaxRelayedAccounts);
  return work;
}

ServiceAccountWork Router::WorkOfOthers(const ServiceAccountWork& total,
                                        const PeerState& peer,
                                        Time now) {
  ServiceAccountWork work = total;
  SubtractWork(work, peer.digest.account_work,
               WorkDecay(now - peer.last_received));
  KeepMostWork(work, kMaxReportedAccounts);
  return work;
}

}  // namespace pomeloring
