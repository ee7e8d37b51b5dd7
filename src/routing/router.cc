#include "routing/router.h"

#include <algorithm>

namespace pomeloring {
namespace {

// After a refusal, for all lower priorities of the service: two seconds are
// what a cell's scheduler holds them back as well.
constexpr Duration kHoldLowerFor = seconds(2);
// How long a peer that is not heard of is remembered.
constexpr Duration kForgetPeer = seconds(60);

}  // namespace

Router::Router(RouterSettings settings)
    : m_settings(std::move(settings)), m_random(m_settings.random_seed) {}

// --- What is in force --------------------------------------------------------

bool Router::TakeConfig(std::shared_ptr<const RoutingConfig> config) {
  if (m_config && config->version <= m_config->version) {
    return false;
  }
  m_config = std::move(config);
  m_has_news = true;
  return true;
}

std::vector<UpstreamName> Router::TakeUpstreamChanges(
    const std::vector<UpstreamChange>& changes,
    LogOffset as_of,
    Time now) {
  auto changed = ApplyChanges(m_table, changes, as_of, now);
  SyncStates(changed, now);
  return changed;
}

std::vector<UpstreamName> Router::TakeUpstreamList(
    const std::vector<UpstreamChange>& listed,
    LogOffset as_of,
    Time now) {
  auto changed = ApplyChanges(m_table, listed, as_of, now);
  const auto dropped = DropUnlisted(m_table, listed, as_of, now);
  changed.insert(changed.end(), dropped.begin(), dropped.end());
  m_table.is_complete = true;
  SyncStates(changed, now);
  return changed;
}

void Router::SyncStates(std::span<const UpstreamName> changed, Time now) {
  for (const UpstreamName& name : changed) {
    const auto& record = m_table.entries.at(name).record;
    auto& state = m_states[name];
    if (!record) {
      const bool store_was_out = m_store == StoreSight::kOut ||
                                 now < m_store_back + m_settings.lapse_grace;
      if (state && store_was_out) {
        const Time back = m_store == StoreSight::kOut ? now : m_store_back;
        m_lapsed_until[name] = back + m_settings.lapse_grace;
      }
      if (state) {
        state->is_gone = !m_lapsed_until.contains(name);
      }
      continue;
    }
    m_lapsed_until.erase(name);
    const bool is_same_process =
        state && state->record.started_at_ms == record->started_at_ms &&
        state->record.address == record->address;
    if (!is_same_process) {
      state = std::make_shared<UpstreamState>();
      state->first_seen = now;
    }
    state->record = *record;
    state->is_gone = false;
  }
  std::erase_if(m_states, [](const auto& entry) {
    return !entry.second || entry.second->is_gone;
  });
  m_by_service.clear();
  for (const auto& [name, state] : m_states) {
    m_by_service[state->record.service].push_back(state.get());
  }
  for (auto& [service, states] : m_by_service) {
    std::sort(states.begin(), states.end(), [](const auto* a, const auto* b) {
      return a->record.id < b->record.id;
    });
  }
  m_has_news |= !changed.empty();
}

void Router::HandleStoreState(bool answers, Time now) {
  // Before its first answer, an instance knows of no outage.
  if (answers && m_store == StoreSight::kOut) {
    m_store_back = now;
    for (auto& [name, until] : m_lapsed_until) {
      until = now + m_settings.lapse_grace;
    }
  }
  if (answers) {
    m_store = StoreSight::kAnswers;
  } else if (m_store == StoreSight::kAnswers) {
    m_store = StoreSight::kOut;
  }
}

bool Router::IsReady() const {
  return m_config != nullptr && m_table.is_complete;
}

// --- Requests ----------------------------------------------------------------

void Router::CountRequest(const ServiceName& service, Time now) {
  pomeloring::CountRequest(m_allowances[service], m_settings.retries, now);
}

bool Router::MayRetry(const ServiceName& service, Time now) {
  return TakeRepeat(m_allowances[service], m_settings.retries,
                    LivePeers(now) + 1, now);
}

std::vector<UpstreamState*> Router::Candidates(const ServiceName& service,
                                               Time now) {
  std::vector<UpstreamState*> candidates;
  const auto found = m_by_service.find(service);
  if (found == m_by_service.end()) {
    return candidates;
  }
  EjectOutliers(found->second, now);
  for (UpstreamState* state : found->second) {
    if (!state->record.draining) {
      candidates.push_back(state);
    }
  }
  return candidates;
}

// While a higher priority is refused, a lower one is not placed: its turn would
// come again as soon as the load has faded a little.
bool Router::WasHigherRefused(const RunRequest& request, Time now) const {
  const auto refused = m_refused.find(request.service);
  if (refused == m_refused.end()) {
    return false;
  }
  const auto& by_priority = refused->second;
  const auto end = by_priority.lower_bound(request.route->priority);
  return std::any_of(by_priority.begin(), end, [&](const auto& entry) {
    return now - entry.second < kHoldLowerFor;
  });
}

RunResult Router::StartRun(const RunRequest& request, Time now) {
  const auto service = m_config->services.find(request.service);
  if (service == m_config->services.end()) {
    return Unplaced{PlacementRefusal::kNoUpstream, milliseconds(300)};
  }
  const auto candidates = Candidates(request.service, now);
  for (UpstreamState* candidate : candidates) {
    FadeReadLoads(*candidate, now);
  }
  const PlacementRequest wanted{request.route,
                                &service->second,
                                m_settings.failure_domain,
                                request.prompt_tokens,
                                request.parts,
                                request.waited,
                                request.time_left,
                                WasHigherRefused(request, now),
                                request.excluded};
  const uint64_t random = NextRandom(m_random);
  auto result = m_settings.placement == PlacementPolicy::kLowestCost
                    ? ChooseUpstream(wanted, candidates,
                                     m_speeds[request.service], now, random)
                    : ChooseByBaseline(m_settings.placement, wanted, candidates,
                                       now, m_turn++, random);
  if (auto* unplaced = std::get_if<Unplaced>(&result)) {
    if (unplaced->reason == PlacementRefusal::kOverloaded) {
      m_refused[request.service][request.route->priority] = now;
    }
    return *unplaced;
  }
  if (std::holds_alternative<Deferred>(result)) {
    return Deferred{};
  }
  auto run = std::make_shared<Run>();
  run->placement = std::get<Placement>(result);
  run->upstream = m_states.at(run->placement.upstream->record.id);
  run->service = request.service;
  run->parts = request.parts;
  run->prompt_tokens = request.prompt_tokens;
  run->started = now;
  const UpstreamUse before = TotalUse(*run->upstream);
  run->found_idle = UnreadTokens(before) == 0;
  UpstreamUse& own = run->upstream->own;
  ++own.running;
  own.unread_tokens[run->placement.rank] += run->placement.unread_tokens;
  own.read_load += run->placement.unread_tokens;
  own.pause_sensitive += run->placement.pause_sensitive ? 1 : 0;
  // Known before it is read: a second request with the same parts that follows
  // at once is best placed behind the first.
  for (const PromptPart& part : run->parts) {
    TellPart(*run->upstream, part.id, now);
  }
  RememberParts(*run->upstream, run->parts, now);
  NoteUse(*run);
  return run;
}

void Router::HandleFirstEvent(Run& run, Time now) {
  if (run.has_first_event) {
    return;
  }
  run.has_first_event = true;
  run.upstream->own.unread_tokens[run.placement.rank] -=
      run.placement.unread_tokens;
  const Duration elapsed = now - run.started;
  if (run.found_idle) {
    LearnPrefill(m_speeds[run.service], run.placement.unread_tokens, elapsed);
  }
  LearnStart(run.upstream->health, run.placement.expected_start, elapsed);
  NoteUse(run);
}

void Router::EndRun(Run& run, RunOutcome outcome, Time now) {
  UpstreamUse& own = run.upstream->own;
  if (!run.has_first_event) {
    own.unread_tokens[run.placement.rank] -= run.placement.unread_tokens;
    run.has_first_event = true;
  }
  --own.running;
  own.pause_sensitive -= run.placement.pause_sensitive ? 1 : 0;
  LearnOutcome(run.upstream->health, outcome, 0, now);
  NoteUse(run);
}

// --- Time -------------------------------------------------------------------

void Router::Tick(Time now) {
  std::vector<UpstreamName> ended;
  if (m_store != StoreSight::kOut) {
    for (const auto& [name, until] : m_lapsed_until) {
      if (now >= until) {
        ended.push_back(name);
      }
    }
  }
  for (const UpstreamName& name : ended) {
    m_lapsed_until.erase(name);
    if (const auto state = m_states.find(name); state != m_states.end()) {
      state->second->is_gone = true;
    }
  }
  if (!ended.empty()) {
    SyncStates({}, now);
  }
  for (const auto& [name, peer] : m_peers) {
    if (now - peer.heard >= m_settings.digest_lifetime) {
      DropPeerUses(name);
    }
  }
  std::erase_if(m_peers, [&](const auto& entry) {
    return now - entry.second.heard >= kForgetPeer;
  });
}

const EngineSpeed& Router::Speed(const ServiceName& service) {
  return m_speeds[service];
}

std::vector<const UpstreamState*> Router::AllUpstreams() const {
  std::vector<const UpstreamState*> all;
  for (const auto& [name, state] : m_states) {
    all.push_back(state.get());
  }
  return all;
}

}  // namespace pomeloring
