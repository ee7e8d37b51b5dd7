#include "core/instance.h"

#include <fmt/format.h>

#include <algorithm>

namespace pomeloring {
namespace {

constexpr Duration kDefaultRetryAfter = seconds(1);
// How long a service is considered down by the services that depend on it.
constexpr Duration kServiceDownDuration = seconds(1);

// Returns the key prefixed with its account, so that the keys of different
// accounts never collide.
std::string ScopedKey(const CallerRequest& request) {
  return request.account.value + '\n' + request.key;
}

std::string DescribeOutcome(const Outcome& outcome) {
  std::string text(TypeName(outcome));
  if (const auto* not_run = std::get_if<NotRun>(&outcome)) {
    text += fmt::format(" {}", ToString(not_run->reason));
  }
  if (const auto* unknown = std::get_if<OutcomeUnknown>(&outcome)) {
    text += fmt::format(" {}", ToString(unknown->reason));
  }
  return text;
}

struct ToOutcome {
  Outcome operator()(const KeyBegun&) const { return Answered{}; }
  Outcome operator()(const KeyTableFull&) const {
    return NotRun{DeclineReason::kKeyTableFull, seconds(60)};
  }
  template <typename T>
  Outcome operator()(const T& decision) const {
    return decision;
  }
};

}  // namespace

Instance::Instance(InstanceSettings settings)
    : m_settings(std::move(settings)),
      m_timeline(m_settings.timeline_capacity),
      m_random(m_settings.random_seed) {
  m_membership.settings = m_settings.membership;
  m_membership.self = m_settings.self;
  m_membership.seeds = m_settings.seeds;
  m_membership.random = NextRandom(m_random);
  ConfigInForce empty;
  empty.configuration = std::make_shared<const Configuration>();
  m_view = BuildClusterView(0, m_settings.self, false, empty, {},
                            LiveMembers(m_membership));
}

RequestId Instance::NextRequestId() {
  return {m_settings.self.incarnation, m_next_request.fetch_add(1)};
}

Instance::GuardedEntryShard& Instance::EntryShardFor(const RequestId& request) {
  return m_entries[request.sequence % kShards];
}

Instance::GuardedKeyTable& Instance::KeyTableFor(std::string_view key) {
  return m_keys[StableHash(key) % kShards];
}

std::shared_ptr<const ClusterView> Instance::View() const {
  const std::lock_guard lock(m_view_mutex);
  return m_view;
}

// --- Events from callers and upstreams -------------------------------------

std::optional<NotRun> Instance::TryAdmit(const CallerRequest& request,
                                         Time now) {
  const auto view = View();
  const Configuration& configuration = *view->config.configuration;
  const auto class_config = configuration.classes.find(request.request_class);
  const auto account = configuration.accounts.find(request.account);
  if (class_config == configuration.classes.end() ||
      account == configuration.accounts.end()) {
    return NotRun{DeclineReason::kNotReady, kDefaultRetryAfter};
  }
  const Service& service =
      configuration.services.at(class_config->second.service);
  const std::lock_guard lock(m_limits_mutex);
  for (const ServiceName& dependency : service.depends_on) {
    const auto down = m_service_down_until.find(dependency);
    const bool is_down =
        down != m_service_down_until.end() && now < down->second;
    if (is_down || !view->cells_of_service.contains(dependency)) {
      return NotRun{DeclineReason::kDependencyDown, kDefaultRetryAfter};
    }
  }
  const Tier tier = class_config->second.tier;
  uint32_t in_flight = 0;
  for (auto it = m_in_flight.lower_bound({request.account, Tier{0}});
       it != m_in_flight.end() && it->first.first == request.account &&
       it->first.second <= tier;
       ++it) {
    in_flight += it->second;
  }
  const uint32_t limit = account->second.max_in_flight;
  if (limit > 0 && in_flight >= limit) {
    return NotRun{DeclineReason::kAccountLimit, kDefaultRetryAfter};
  }
  ++m_in_flight[{request.account, tier}];
  return std::nullopt;
}

void Instance::FinishUnstarted(const CallerRequest& request,
                               const Outcome& outcome,
                               Time now,
                               Actions& out) {
  m_timeline.Record(EventKind::kRequestFinished, request.id,
                    request.request_class.value, DescribeOutcome(outcome), now);
  out.push_back(FinishRequest{request.id, outcome});
}

Actions Instance::HandleCallerRequest(const CallerRequest& request, Time now) {
  Actions out;
  m_timeline.Record(EventKind::kRequestAccepted, request.id,
                    request.request_class.value, request.account.value, now);
  const auto view = View();
  const auto& classes = view->config.configuration->classes;
  const auto class_config = classes.find(request.request_class);
  const bool is_keyed = class_config != classes.end() &&
                        !class_config->second.idempotent &&
                        !request.key.empty();
  if (is_keyed) {
    StartWithKey(request, now, out);
  } else {
    CallerRequest unkeyed = request;
    unkeyed.key.clear();
    AdmitAndStart(unkeyed, now, now, out);
  }
  return DeliverLocally(std::move(out), now);
}

void Instance::StartWithKey(const CallerRequest& request,
                            Time now,
                            Actions& out) {
  const ParsedKey owner = ParseKey(request.key);
  if (std::holds_alternative<OpaqueKey>(owner)) {
    ClaimKey(request, now, out);
    return;
  }
  const Incarnation incarnation = std::get<BoundKey>(owner).owner;
  if (incarnation == m_settings.self.incarnation) {
    StartOwnedKey(request, now, out);
  } else {
    ForwardToOwner(request, incarnation, now, out);
  }
}

void Instance::StartOwnedKey(const CallerRequest& request,
                             Time now,
                             Actions& out) {
  const std::string key = ScopedKey(request);
  GuardedKeyTable& guarded = KeyTableFor(key);
  KeyDecision decision;
  {
    const std::lock_guard lock(guarded.mutex);
    decision = BeginKey(guarded.table, key, request.body_hash);
  }
  const bool begun = std::holds_alternative<KeyBegun>(decision);
  const Outcome outcome = std::visit(ToOutcome{}, decision);
  m_timeline.Record(EventKind::kKeyDecided, request.id,
                    request.request_class.value,
                    begun ? "begun" : DescribeOutcome(outcome), now);
  if (begun) {
    AdmitAndStart(request, now, now, out);
  } else {
    FinishUnstarted(request, outcome, now, out);
  }
}

void Instance::ForwardToOwner(const CallerRequest& request,
                              Incarnation owner,
                              Time now,
                              Actions& out) {
  const auto view = View();
  const Member* found = nullptr;
  for (const auto& [name, member] : view->live) {
    if (member.incarnation == owner) {
      found = &member;
    }
  }
  std::vector<Member> known;
  if (found == nullptr) {
    // A leaving owner gets no new duties but still serves its keys.
    known = KnownMembers();
    for (const Member& member : known) {
      const bool is_up = member.status == MemberStatus::kAlive ||
                         member.status == MemberStatus::kSuspect;
      if (is_up && member.incarnation == owner) {
        found = &member;
      }
    }
  }
  if (found == nullptr || request.forwarded) {
    FinishUnstarted(request, OutcomeUnknown{UnknownReason::kOwnerLost}, now,
                    out);
    return;
  }
  m_timeline.Record(EventKind::kForwarded, request.id, found->name.value,
                    "owner of the key", now);
  out.push_back(ForwardRequest{request.id, found->name, found->caller_address});
}

void Instance::ClaimKey(const CallerRequest& request, Time now, Actions& out) {
  const uint64_t key_hash = StableHash(ScopedKey(request)) >> 1;
  const KeyClaim claim{key_hash, request.body_hash >> 1};
  std::optional<ClaimOwner> owner;
  {
    const std::lock_guard lock(m_claims_mutex);
    owner = RequestClaim(m_claims, claim, request.id,
                         now + m_settings.claim_timeout);
    if (!owner) {
      m_awaiting_claim[request.id] = request;
    }
  }
  if (!owner) {
    AppendClaims(out);
    return;
  }
  if (owner->owner == m_settings.self.incarnation) {
    StartOwnedKey(request, now, out);
  } else {
    ForwardToOwner(request, owner->owner, now, out);
  }
}

void Instance::AppendClaims(Actions& out) {
  const std::lock_guard lock(m_claims_mutex);
  const auto record = TakeUnsentClaims(m_claims, m_settings.self.incarnation);
  if (record) {
    out.push_back(AppendRecord{LogStream::kClaims, EncodeClaimRecord(*record)});
  }
}

void Instance::AdmitAndStart(const CallerRequest& request,
                             Time received,
                             Time now,
                             Actions& out) {
  if (const auto refusal = TryAdmit(request, now)) {
    if (!request.key.empty()) {
      const std::string key = ScopedKey(request);
      GuardedKeyTable& guarded = KeyTableFor(key);
      const std::lock_guard lock(guarded.mutex);
      EndKey(guarded.table, key, *refusal, nullptr);
    }
    FinishUnstarted(request, *refusal, now, out);
    return;
  }
  const auto view = View();
  GuardedEntryShard& guarded = EntryShardFor(request.id);
  EntryOutput output;
  {
    const std::lock_guard lock(guarded.mutex);
    output = StartRequest(guarded.shard, *view, request, received, now);
  }
  ApplyEntryOutput(std::move(output), now, out);
}

Actions Instance::HandleCallerDisconnected(const RequestId& request, Time now) {
  Actions out;
  const auto view = View();
  GuardedEntryShard& guarded = EntryShardFor(request);
  EntryOutput output;
  {
    const std::lock_guard lock(guarded.mutex);
    output = pomeloring::HandleCallerDisconnected(guarded.shard, *view, request,
                                                  now);
  }
  ApplyEntryOutput(std::move(output), now, out);
  return DeliverLocally(std::move(out), now);
}

Actions Instance::HandleFirstToken(const AttemptId& attempt, Time now) {
  GuardedEntryShard& guarded = EntryShardFor(attempt.request);
  {
    const std::lock_guard lock(guarded.mutex);
    pomeloring::HandleFirstToken(guarded.shard, attempt, now);
  }
  m_timeline.Record(EventKind::kFirstToken, attempt.request, "", "", now);
  return {};
}

Actions Instance::HandleAttemptEnded(const AttemptId& attempt,
                                     const AttemptOutcome& outcome,
                                     uint32_t tokens,
                                     Time now) {
  static constexpr std::string_view kNames[] = {"answered", "not-started",
                                                "unknown"};
  m_timeline.Record(EventKind::kUpstreamEnded, attempt.request,
                    fmt::format("attempt {}", attempt.number),
                    kNames[outcome.index()], now);
  Actions out;
  const auto view = View();
  GuardedEntryShard& guarded = EntryShardFor(attempt.request);
  EntryOutput output;
  {
    const std::lock_guard lock(guarded.mutex);
    output = pomeloring::HandleAttemptEnded(guarded.shard, *view, attempt,
                                            outcome, tokens, now);
  }
  ApplyEntryOutput(std::move(output), now, out);
  return DeliverLocally(std::move(out), now);
}

void Instance::HandleForwardEnded(const RequestId& request,
                                  std::string_view outcome,
                                  Time now) {
  m_timeline.Record(EventKind::kRequestFinished, request, "forwarded", outcome,
                    now);
}

void Instance::ApplyEntryOutput(EntryOutput output, Time now, Actions& out) {
  for (const RequestEnded& ended : output.ended) {
    HandleRequestEnded(ended, now);
  }
  out.insert(out.end(), std::make_move_iterator(output.actions.begin()),
             std::make_move_iterator(output.actions.end()));
}

void Instance::HandleRequestEnded(const RequestEnded& ended, Time now) {
  m_timeline.Record(EventKind::kRequestFinished, ended.request.id,
                    ended.request.request_class.value,
                    DescribeOutcome(ended.outcome), now);
  if (!ended.request.key.empty()) {
    const std::string key = ScopedKey(ended.request);
    GuardedKeyTable& guarded = KeyTableFor(key);
    const std::lock_guard lock(guarded.mutex);
    EndKey(guarded.table, key, ended.outcome, ended.answer);
  }
  const auto view = View();
  const auto& classes = view->config.configuration->classes;
  const auto class_config = classes.find(ended.request.request_class);
  const std::lock_guard lock(m_limits_mutex);
  const auto in_flight = m_in_flight.find({ended.request.account, ended.tier});
  if (in_flight != m_in_flight.end() && --in_flight->second == 0) {
    m_in_flight.erase(in_flight);
  }
  const auto* not_run = std::get_if<NotRun>(&ended.outcome);
  const bool service_is_down =
      not_run != nullptr &&
      (not_run->reason == DeclineReason::kNoUpstream ||
       not_run->reason == DeclineReason::kUpstreamRefused);
  if (service_is_down && class_config != classes.end()) {
    m_service_down_until[class_config->second.service] =
        now + kServiceDownDuration;
  }
}

// --- The builder -----------------------------------------------------------

InstanceBuilder& InstanceBuilder::WithSelf(Member self) {
  m_settings.self = std::move(self);
  return *this;
}

InstanceBuilder& InstanceBuilder::WithSeeds(std::vector<std::string> seeds) {
  m_settings.seeds = std::move(seeds);
  return *this;
}

InstanceBuilder& InstanceBuilder::WithMembership(
    MembershipSettings membership) {
  m_settings.membership = membership;
  return *this;
}

InstanceBuilder& InstanceBuilder::WithCell(CellSettings cell) {
  m_settings.cell = cell;
  return *this;
}

InstanceBuilder& InstanceBuilder::WithLogRetention(Duration retention) {
  m_settings.log_retention = retention;
  return *this;
}

InstanceBuilder& InstanceBuilder::WithRandomSeed(uint64_t seed) {
  m_settings.random_seed = seed;
  return *this;
}

std::variant<std::unique_ptr<Instance>, InstanceError>
InstanceBuilder::Build() {
  if (m_settings.self.name.value.empty()) {
    return MissingSetting{"name"};
  }
  if (m_settings.self.incarnation.value == 0) {
    return MissingSetting{"incarnation"};
  }
  return std::make_unique<Instance>(std::move(m_settings));
}

}  // namespace pomeloring
