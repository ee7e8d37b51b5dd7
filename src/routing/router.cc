#include "routing/router.h"

#include <algorithm>
#include <utility>

namespace pomeloring {
namespace {

// After a refusal, all lower priorities of the service are refused for this
// long. The scheduler of a cell blocks them for two seconds as well.
constexpr Duration kLowerPriorityBlockTime = seconds(2);
// Peers that have sent nothing for this long are forgotten.
constexpr Duration kPeerRetention = seconds(60);
// A registration that comes back later than this is of a new process.
constexpr Duration kDepartedRetention = seconds(600);

// A stream's events after which its answer has gone on.
constexpr uint64_t kEventsOfAnswer = 2;

// Removes all candidates but one, which is the same at all instances with the
// same candidates.
void KeepOneFor(TraitId trait,
                std::span<const UpstreamName> excluded,
                std::vector<UpstreamState*>& candidates) {
  std::erase_if(candidates, [&](const UpstreamState* candidate) {
    return std::find(excluded.begin(), excluded.end(), candidate->record.id) !=
           excluded.end();
  });
  const auto weight = [&](const UpstreamState* candidate) {
    uint64_t seed = trait ^ candidate->name_hash;
    return NextRandom(seed);
  };
  const auto chosen = std::max_element(
      candidates.begin(), candidates.end(),
      [&](const auto* a, const auto* b) { return weight(a) < weight(b); });
  if (chosen != candidates.end()) {
    candidates = {*chosen};
  }
}

// Replaces what is known of a process, except by unknown values.
void UpdateRecord(UpstreamRecord& known, const UpstreamRecord& record) {
  const UpstreamRecord before = std::exchange(known, record);
  if (known.started_at_ms == 0) {
    known.started_at_ms = before.started_at_ms;
  }
  if (known.software_version.empty()) {
    known.software_version = before.software_version;
  }
}

}  // namespace

Router::Router(RouterSettings settings)
    : m_settings(std::move(settings)), m_random(m_settings.random_seed) {}

// --- Configuration and upstreams ---------------------------------------------

bool Router::ApplyConfig(std::shared_ptr<const RoutingConfig> config) {
  if (m_config && config->version <= m_config->version) {
    return false;
  }
  m_config = std::move(config);
  m_config_behind_since.reset();
  m_has_pending_changes = true;
  std::set<std::string> routes;
  for (const Route& route : m_config->routes) {
    routes.insert(route.name);
  }
  for (auto& [service, engines] : m_engines) {
    std::erase_if(engines.runs, [&](const auto& entry) {
      return !routes.contains(entry.first);
    });
  }
  return true;
}

// Registrations that the copy lacks are written again within the grace period,
// as after an outage.
void Router::NoteRestore(LogOffset as_of, Time now) {
  if (m_table.is_complete &&
      RestoresBefore(as_of) > RestoresBefore(m_table.as_of)) {
    m_store_restored_at = now;
    m_store_recovered_at = now;
  }
}

std::vector<UpstreamName> Router::ApplyUpstreamChanges(
    const std::vector<UpstreamChange>& changes,
    LogOffset as_of,
    Time now) {
  NoteRestore(as_of, now);
  RecordChangedVersions(changes, now);
  auto changed = ApplyChanges(m_table, changes, as_of, now);
  SyncStates(changed, now);
  return changed;
}

std::vector<UpstreamName> Router::ApplyUpstreamList(
    const std::vector<UpstreamChange>& listed,
    LogOffset as_of,
    Time now) {
  NoteRestore(as_of, now);
  auto changed = ApplyList(m_table, listed, as_of, now);
  SyncStates(changed, now);
  return changed;
}

std::shared_ptr<UpstreamState> Router::FindOrMakeState(
    const UpstreamRecord& record,
    Time now) {
  const auto departed = m_departed.extract(record.id);
  if (departed && IsSameProcess(departed.mapped().state->record, record)) {
    // Its local load is kept up to date by its attempts; peers send theirs
    // anew.
    departed.mapped().state->peer_loads.clear();
    return departed.mapped().state;
  }
  auto state = std::make_shared<UpstreamState>();
  state->first_seen = now;
  state->name_hash = StableHash(record.id.value);
  return state;
}

// A registration that the store has from before it was restored may be of an
// upstream that has left since: one that had ended its use is held until the
// store has been told again.
void Router::SyncStates(std::span<const UpstreamName> changed, Time now) {
  for (const UpstreamName& name : changed) {
    const UpstreamEntry& entry = m_table.entries.at(name);
    const auto& record = entry.record;
    auto& state = m_states[name];
    if (!record) {
      const bool store_was_unavailable =
          m_store_status == StoreStatus::kUnavailable ||
          now < m_store_recovered_at + m_settings.expiry_grace_period;
      // The registration may have expired only because it could not be renewed
      // in the outage.
      if (state && store_was_unavailable) {
        const Time recovered_at = m_store_status == StoreStatus::kUnavailable
                                      ? now
                                      : m_store_recovered_at;
        m_removal_deadlines[name] =
            recovered_at + m_settings.expiry_grace_period;
      }
      if (state) {
        state->is_removed = !m_removal_deadlines.contains(name);
      }
      continue;
    }
    m_removal_deadlines.erase(name);
    const bool is_other_process =
        state && !IsSameProcess(state->record, *record);
    if (is_other_process) {
      ForgetSpeed(*state);
    }
    if (!state || is_other_process) {
      state = FindOrMakeState(*record, now);
    }
    const bool is_returned =
        entry.had_ended && !record->draining && !is_other_process;
    UpdateRecord(state->record, *record);
    state->is_removed = false;
    if (is_returned && m_store_restored_at) {
      state->held_until = *m_store_restored_at + m_settings.expiry_grace_period;
    }
  }
  std::erase_if(m_states, [&](const auto& entry) {
    const auto& [name, state] = entry;
    const bool is_gone = !state || state->is_removed;
    if (state && is_gone && IsInForce(state->backpressure, now)) {
      m_departed[name] = {state, now};
    }
    if (state && is_gone) {
      ForgetSpeed(*state);
    }
    return is_gone;
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
  IndexAddresses();
  m_has_pending_changes |= !changed.empty();
  IndexSpeeds();
  UpdateVersions(now);
}

void Router::UpdateStoreStatus(bool is_available, Time now) {
  // An outage can only be detected after the store has answered once.
  if (is_available && m_store_status == StoreStatus::kUnavailable) {
    m_store_recovered_at = now;
    for (auto& [name, deadline] : m_removal_deadlines) {
      deadline = now + m_settings.expiry_grace_period;
    }
  }
  if (is_available) {
    m_store_status = StoreStatus::kAvailable;
  } else if (m_store_status == StoreStatus::kAvailable) {
    m_store_status = StoreStatus::kUnavailable;
  }
}

bool Router::IsReady() const {
  return m_config != nullptr && m_table.is_complete;
}

// --- Requests ----------------------------------------------------------------

void Router::CountRequest(const ServiceName& service, Time now) {
  pomeloring::CountRequest(m_retry_budgets[service], m_settings.retries, now);
  RecordRequest(m_request_rates[service], now);
  RecordArrival(service, now);
}

bool Router::AllowRetry(const ServiceName& service, Time now) {
  return TryConsumeRetry(m_retry_budgets[service], m_settings.retries,
                         LivePeerCount(now) + 1, now);
}

std::vector<UpstreamState*> Router::CollectCandidates(
    const ServiceName& service,
    Time now) {
  std::vector<UpstreamState*> candidates;
  const auto found = m_by_service.find(service);
  if (found == m_by_service.end()) {
    return candidates;
  }
  EjectOutliers(found->second, now);
  for (UpstreamState* state : found->second) {
    if (FindUseBlock(*state, now) == SendBlock::kNone) {
      candidates.push_back(state);
    }
  }
  return candidates;
}

// While a higher priority is refused, a lower one is not placed: it would take
// the capacity as soon as the load has decayed a little.
bool Router::WasHigherPriorityRefused(const AttemptRequest& request,
                                      Time now) const {
  const auto refused = m_last_refusals.find(request.service);
  if (refused == m_last_refusals.end()) {
    return false;
  }
  const auto& by_priority = refused->second;
  const auto end = by_priority.lower_bound(request.route->priority);
  return std::any_of(by_priority.begin(), end, [&](const auto& entry) {
    return now - entry.second < kLowerPriorityBlockTime;
  });
}

RequestAssessment Router::Assess(std::span<const RequestTrait> traits,
                                 Time now) const {
  RequestAssessment assessment = AssessRequest(m_quarantine, traits, 0, now);
  if (assessment.verdict != RequestVerdict::kTrial) {
    return assessment;
  }
  const std::set<uint32_t> others = ServingPeerHashes(now);
  const std::vector<uint32_t> hashes(others.begin(), others.end());
  const size_t rank =
      TrialRank(traits, m_quarantine, ShortHash(m_settings.name), hashes);
  return AssessRequest(m_quarantine, traits, rank, now);
}

double Router::UnseenStartsOf(const ServiceName& service,
                              std::span<UpstreamState* const> candidates,
                              Time now) const {
  const auto found = std::find_if(
      candidates.begin(), candidates.end(), [](const auto* candidate) {
        return candidate->backpressure.max_rejections.has_value();
      });
  const auto rate = m_request_rates.find(service);
  return found == candidates.end() || rate == m_request_rates.end()
             ? 0
             : UnseenStarts(rate->second, (*found)->backpressure.instances,
                            candidates.size(), now);
}

StartAttemptResult Router::StartAttempt(const AttemptRequest& request,
                                        Time now) {
  const auto service = m_config->services.find(request.service);
  if (service == m_config->services.end()) {
    return Unplaced{PlacementRefusal::kNoUpstream, milliseconds(300)};
  }
  const auto traits = TraitsOf(request.parts, request.whole_request);
  const RequestAssessment assessment = Assess(traits, now);
  if (assessment.verdict == RequestVerdict::kRefused) {
    Unplaced unplaced{PlacementRefusal::kQuarantined, assessment.retry_after};
    unplaced.quarantined_trait = assessment.trait;
    return unplaced;
  }
  if (auto held = HoldForShare(request, service->second, now)) {
    return *held;
  }
  auto candidates = CollectCandidates(request.service, now);
  if (request.software_version) {
    std::erase_if(candidates, [&](const UpstreamState* candidate) {
      return candidate->record.software_version != *request.software_version;
    });
  }
  if (assessment.verdict == RequestVerdict::kSuspect) {
    KeepOneFor(assessment.trait.id, request.excluded, candidates);
  }
  for (UpstreamState* candidate : candidates) {
    DecayPrefillLoads(*candidate, now);
  }
  PlacementRequest placement_request{request.route,
                                     &service->second,
                                     m_settings.failure_domain,
                                     request.prompt_tokens,
                                     request.parts,
                                     request.waited,
                                     request.time_left,
                                     WasHigherPriorityRefused(request, now),
                                     request.excluded};
  placement_request.slots = SlotsOf(service->second);
  placement_request.ticket = request.ticket;
  placement_request.isolates_streams = IsolatesStreams(service->second);
  placement_request.prefers_idle_connections =
      PrefersIdleConnections(service->second);
  placement_request.crossing = CrossingOf(request, service->second);
  placement_request.tokens = TokensOf(request, service->second);
  placement_request.unseen_starts =
      UnseenStartsOf(request.service, candidates, now);
  placement_request.may_use_ejected =
      request.software_version &&
      std::none_of(candidates.begin(), candidates.end(), [&](const auto* each) {
        return IsUsable(*each, placement_request, now);
      });
  const uint64_t random = NextRandom(m_random);
  const auto choose = [&](std::span<UpstreamState* const> among) {
    return m_settings.placement == PlacementPolicy::kLowestCost
               ? ChooseUpstream(placement_request, among,
                                m_engines[request.service], now, random)
               : ChooseByBaseline(m_settings.placement, placement_request,
                                  among, now, m_round_robin_index++, random);
  };
  const auto assigned = AssignedCandidates(request, candidates);
  auto result = choose(assigned);
  if (!std::holds_alternative<Placement>(result) && m_log_takes_origins &&
      assigned.size() < candidates.size()) {
    result = choose(candidates);
  }
  if (auto* unplaced = std::get_if<Unplaced>(&result)) {
    if (unplaced->reason == PlacementRefusal::kOverloaded) {
      m_last_refusals[request.service][request.route->priority] = now;
    }
    if (unplaced->reason == PlacementRefusal::kOverloaded ||
        unplaced->reason == PlacementRefusal::kNoSlot) {
      NoteUnplaced(request, now);
    }
    return *unplaced;
  }
  if (std::holds_alternative<Deferred>(result)) {
    NoteUnplaced(request, now);
    return Deferred{};
  }
  auto attempt = std::make_shared<PlacedAttempt>();
  attempt->placement = std::get<Placement>(result);
  attempt->upstream = m_states.at(attempt->placement.upstream->record.id);
  attempt->service = request.service;
  if (service->second.engine && request.route->kind == RouteKind::kStreaming) {
    RecordStreamStart(m_engines[request.service], request.route->name,
                      request.route->timeout - request.route->latency_target,
                      now);
  }
  attempt->parts = request.parts;
  attempt->traits = traits;
  attempt->is_trial = assessment.verdict == RequestVerdict::kTrial;
  if (attempt->is_trial) {
    BeginTrial(m_quarantine, assessment.trait.id, now);
    m_has_pending_changes = true;
  }
  attempt->prompt_tokens = request.prompt_tokens;
  attempt->started = now;
  attempt->route = request.route->name;
  attempt->latency_target = request.route->latency_target;
  attempt->tokens_per_event =
      service->second.engine ? service->second.engine->tokens_per_event : 0;
  attempt->batch_slots =
      service->second.engine ? service->second.engine->batch_slots : 0;
  attempt->priority = request.route->priority;
  RecordSlotUse(request, now);
  RecordCrossing(*attempt);
  RecordWork(request, attempt->placement.pending_prefill_tokens, now);
  RecordStart(attempt->upstream->backpressure, now);
  const UpstreamLoad load_before = TotalLoad(*attempt->upstream);
  attempt->no_prefill_ahead = PendingPrefillTokens(load_before) == 0;
  if (load_before.running < attempt->batch_slots) {
    attempt->mean_first_event_ms =
        ExpectedFirstEventMs(m_engines[request.service],
                             static_cast<double>(PendingPrefillUpTo(
                                 load_before, attempt->placement.rank)),
                             attempt->placement.pending_prefill_tokens);
  }
  UpstreamLoad& local_load = attempt->upstream->local_load;
  ++local_load.running;
  local_load.pending_prefill_tokens[attempt->placement.rank] +=
      attempt->placement.pending_prefill_tokens;
  local_load.prefill_load += attempt->placement.pending_prefill_tokens;
  local_load.gap_sensitive += attempt->placement.gap_sensitive ? 1 : 0;
  attempt->held_tokens =
      placement_request.tokens ? TotalTokens(*placement_request.tokens) : 0;
  local_load.held_tokens += attempt->held_tokens;
  // Recorded before the prefill has happened: a second request with the same
  // parts that follows immediately is best placed behind the first.
  for (const PromptPart& part : attempt->parts) {
    QueuePart(*attempt->upstream, part.id, now);
  }
  RecordCachedParts(*attempt->upstream, attempt->parts, now);
  MarkLoadChanged(*attempt);
  return attempt;
}

void Router::BeginWait(const ServiceName& service) {
  if (m_backlog) {
    ++m_backlog->waiting[service];
  }
}

void Router::EndWait(const ServiceName& service) {
  if (m_backlog) {
    --m_backlog->waiting[service];
  }
}

void Router::RecordRefusal(const ServiceName& service, Time now) {
  if (m_backlog) {
    CountRefusal(*m_backlog, service, now);
  }
}

void Router::HandleEvents(PlacedAttempt& attempt, size_t count, Time now) {
  const uint64_t events_before = attempt.events;
  attempt.events += count;
  RecordAnswerIfGoingOn(attempt, events_before, now);
  const Duration gap = now - std::exchange(attempt.last_event_at, now);
  if (attempt.has_first_event) {
    if (attempt.tokens_per_event > 0 && count > 0) {
      const UpstreamLoad load = TotalLoad(*attempt.upstream);
      const double fraction =
          std::min(1.0, static_cast<double>(load.running) /
                            std::max(1U, attempt.batch_slots));
      const double token_ms =
          ToMillis(gap) / static_cast<double>(count * attempt.tokens_per_event);
      RecordTokenTime(m_engines[attempt.service],
                      ShareTokenTime(attempt, token_ms, fraction, now),
                      fraction);
    }
    return;
  }
  attempt.has_first_event = true;
  attempt.upstream->local_load.pending_prefill_tokens[attempt.placement.rank] -=
      attempt.placement.pending_prefill_tokens;
  const Duration elapsed = now - attempt.started;
  const Duration mean_elapsed = ShareFirstEvent(attempt, elapsed, now);
  if (attempt.no_prefill_ahead) {
    RecordFirstEvent(m_engines[attempt.service],
                     attempt.placement.pending_prefill_tokens, mean_elapsed,
                     now);
  }
  if (!attempt.upstream->shared_speed) {
    RecordLatency(attempt.upstream->health, attempt.placement.expected_latency,
                  elapsed);
  }
  MarkLoadChanged(attempt);
}

void Router::EndAttempt(PlacedAttempt& attempt,
                        UpstreamOutcome outcome,
                        Time now) {
  UpstreamLoad& local_load = attempt.upstream->local_load;
  if (!attempt.has_first_event) {
    local_load.pending_prefill_tokens[attempt.placement.rank] -=
        attempt.placement.pending_prefill_tokens;
    attempt.has_first_event = true;
  }
  --local_load.running;
  local_load.gap_sensitive -= attempt.placement.gap_sensitive ? 1 : 0;
  local_load.held_tokens -= attempt.held_tokens;
  if (outcome == UpstreamOutcome::kServed) {
    RecordSlotTime(attempt, now);
    const uint64_t tokens = attempt.events * attempt.tokens_per_event;
    RecordCompleteRun(m_engines[attempt.service], attempt.route,
                      static_cast<double>(tokens), now - attempt.started);
    RecordAnswer(attempt, now);
  }
  RecordBytes(attempt, outcome, now);
  RecordUpstreamOutcome(attempt.upstream->health, outcome, 0, now);
  ShareOutcome(attempt, outcome, now);
  MarkLoadChanged(attempt);
}

void Router::RecordAnswerIfGoingOn(const PlacedAttempt& attempt,
                                   uint64_t events_before,
                                   Time now) {
  if (events_before < kEventsOfAnswer && attempt.events >= kEventsOfAnswer) {
    m_has_pending_changes |=
        pomeloring::RecordAnswer(m_quarantine, attempt.traits, now);
  }
}

void Router::RecordAnswer(const PlacedAttempt& attempt, Time now) {
  if (attempt.events < kEventsOfAnswer) {
    m_has_pending_changes |=
        pomeloring::RecordAnswer(m_quarantine, attempt.traits, now);
  }
}

// --- Exits -------------------------------------------------------------------

// An upstream that leaves exits as planned, whatever runs there. Its load holds
// this attempt no more; digests of the load of peers are some 40 ms old.
void Router::RecordBreak(const PlacedAttempt& attempt,
                         bool reply_had_begun,
                         Time now) {
  const UpstreamState& upstream = CurrentState(attempt);
  if (attempt.events >= kEventsOfAnswer || attempt.traits.empty() ||
      upstream.record.draining || upstream.backpressure.is_leaving) {
    return;
  }
  const bool was_alone =
      TotalLoad(*attempt.upstream).running == 0 &&
      !HasBroken(m_exits, ProcessIdOf(attempt.upstream->record));
  pomeloring::RecordBreak(
      m_exits, attempt.upstream->record,
      {attempt.traits, reply_had_begun && attempt.events == 0, was_alone}, now);
  ProcessExits(now);
}

void Router::RecordProbe(const PlacedAttempt& attempt,
                         ProbeResult result,
                         Time now) {
  pomeloring::RecordProbe(m_exits, ProcessIdOf(attempt.upstream->record),
                          result);
  ProcessExits(now);
}

bool Router::HasExited(const PlacedAttempt& attempt) const {
  return pomeloring::HasExited(m_exits, ProcessIdOf(attempt.upstream->record));
}

bool Router::IsExitPossible(const PlacedAttempt& attempt) const {
  return m_exits.broken.contains(ProcessIdOf(attempt.upstream->record));
}

bool Router::IsQuarantined(const PlacedAttempt& attempt, Time now) const {
  return !attempt.is_trial &&
         Assess(attempt.traits, now).verdict == RequestVerdict::kRefused;
}

void Router::ProcessExits(Time now) {
  const auto is_registered = [this](ProcessId process) {
    return std::any_of(m_states.begin(), m_states.end(),
                       [&](const auto& entry) {
                         return ProcessIdOf(entry.second->record) == process;
                       });
  };
  const auto last_byte_of_others = [this](const UpstreamName& upstream) {
    Time last;
    for (const auto& [name, state] : m_states) {
      last =
          name == upstream ? last : std::max(last, state->health.last_byte_at);
    }
    return last;
  };
  if (m_exits.broken.empty()) {
    return;
  }
  for (const ConfirmedExit& exit :
       TakeConfirmedExits(m_exits, is_registered, last_byte_of_others, now)) {
    if (const auto state = FindUpstream(exit.broken.upstream);
        state && ProcessIdOf(state->record) == exit.process) {
      HoldExited(*state, now);
    }
    for (const BrokenAttempt& attempt : exit.broken.attempts) {
      AddQuarantines(RecordExit(m_quarantine, attempt, exit.process, now));
    }
    m_has_pending_changes = true;
  }
}

void Router::AddQuarantines(const std::vector<TraitId>& traits) {
  m_new_quarantines.insert(m_new_quarantines.end(), traits.begin(),
                           traits.end());
  m_has_pending_changes |= !traits.empty();
}

std::vector<TraitId> Router::TakeNewQuarantines() {
  return std::exchange(m_new_quarantines, {});
}

// A registration that goes and comes back while an attempt runs gets another
// state, but the process is the same.
UpstreamState& Router::CurrentState(const PlacedAttempt& attempt) const {
  const UpstreamRecord& record = attempt.upstream->record;
  const auto found = m_states.find(record.id);
  return found != m_states.end() && IsSameProcess(record, found->second->record)
             ? *found->second
             : *attempt.upstream;
}

BackpressureChange Router::RecordReply(PlacedAttempt& attempt,
                                       const ReplySignals& signals,
                                       Time now) {
  const BackpressureChange change = pomeloring::RecordReply(
      CurrentState(attempt).backpressure, signals, attempt.started, now);
  const UpstreamName& name = attempt.upstream->record.id;
  if (!m_states.contains(name)) {
    m_departed[name] = {attempt.upstream, now};
  }
  if (change.limit || change.room) {
    DivideLimits(now);
  }
  m_has_pending_changes |= change.limit || change.leaving || change.room;
  return change;
}

void Router::RecordRejection(const PlacedAttempt& attempt, Time now) {
  UpstreamState& upstream = CurrentState(attempt);
  pomeloring::RecordRejection(upstream.backpressure,
                              TotalLoad(upstream).running, now);
  m_has_pending_changes |= upstream.backpressure.max_rejections.has_value();
}

SendBlock Router::FindSendBlock(const PlacedAttempt& attempt, Time now) const {
  const UpstreamRecord& placed = attempt.upstream->record;
  const auto current = m_states.find(placed.id);
  if (current == m_states.end() ||
      !IsSameProcess(placed, current->second->record)) {
    return SendBlock::kGone;
  }
  const UpstreamState& upstream = *current->second;
  if (const SendBlock block = FindUseBlock(upstream, now);
      block != SendBlock::kNone) {
    return block;
  }
  if (now < upstream.backpressure.paused_until) {
    return SendBlock::kPaused;
  }
  if (now < upstream.backpressure.full_until) {
    return SendBlock::kFull;
  }
  return IsQuarantined(attempt, now) ? SendBlock::kQuarantined
                                     : SendBlock::kNone;
}

// --- Time -------------------------------------------------------------------

void Router::Tick(Time now) {
  std::vector<UpstreamName> expired;
  if (m_store_status != StoreStatus::kUnavailable) {
    for (const auto& [name, deadline] : m_removal_deadlines) {
      if (now >= deadline) {
        expired.push_back(name);
      }
    }
  }
  for (const UpstreamName& name : expired) {
    m_removal_deadlines.erase(name);
    if (const auto state = m_states.find(name); state != m_states.end()) {
      state->second->is_removed = true;
    }
  }
  if (!expired.empty()) {
    SyncStates({}, now);
  }
  for (const auto& [name, peer] : m_peers) {
    if (now - peer.last_received >= m_settings.digest_timeout) {
      DropPeerLoads(name);
    }
  }
  DivideLimits(now);
  UpdateSlots(now);
  RefreshSpeeds(now);
  UpdateIsolation(now);
  UpdateFlows(now);
  UpdateAccounts(now);
  UpdatePeerPaths(now);
  UpdateVersions(now);
  ProcessExits(now);
  AddQuarantines(TickQuarantine(m_quarantine, now));
  ForgetRemovals(m_table, now - kDepartedRetention);
  std::erase_if(m_departed, [&](const auto& entry) {
    return now - entry.second.departed_at >= kDepartedRetention;
  });
  std::erase_if(m_peers, [&](const auto& entry) {
    return now - entry.second.last_received >= kPeerRetention;
  });
}

std::vector<const UpstreamState*> Router::AllUpstreams() const {
  std::vector<const UpstreamState*> all;
  for (const auto& [name, state] : m_states) {
    all.push_back(state.get());
  }
  return all;
}

}  // namespace pomeloring
