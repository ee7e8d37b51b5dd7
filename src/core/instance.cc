#include "core/instance.h"

#include <fmt/format.h>

#include <algorithm>

namespace pomeloring {
namespace {

constexpr Duration kComeBackSoon = seconds(1);
// How long a service counts as down for the services that depend on it.
constexpr Duration kDownMemory = seconds(1);
// Of instances at which asks of this one are queued.
constexpr Duration kProbeInterval = milliseconds(150);
constexpr Duration kProbePatience = milliseconds(80);
// A due snapshot is appended after a random part of this time, so that not
// every instance appends one.
constexpr Duration kSnapshotSpread = seconds(10);

// Keys of one account never meet those of another.
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
      m_timeline(m_settings.timeline_events),
      m_random(m_settings.random_seed) {
  m_membership.settings = m_settings.membership;
  m_membership.self = m_settings.self;
  m_membership.seeds = m_settings.seeds;
  m_membership.random = NextRandom(m_random);
  ConfigInForce empty;
  empty.configuration = std::make_shared<const Configuration>();
  m_view = BuildClusterView(m_settings.self, false, empty, {},
                            LiveMembers(m_membership));
}

RequestId Instance::NextRequestId() {
  return {m_settings.self.incarnation, m_next_request.fetch_add(1)};
}

Instance::EntrySlot& Instance::EntryOf(const RequestId& request) {
  return m_entries[request.sequence % kShards];
}

Instance::KeySlot& Instance::KeysOf(std::string_view key) {
  return m_keys[StableHash(key) % kShards];
}

std::shared_ptr<const ClusterView> Instance::View() const {
  const std::lock_guard lock(m_view_mutex);
  return m_view;
}

// --- Callers and upstreams -------------------------------------------------

std::optional<NotRun> Instance::RefusalBeforeStart(const CallerRequest& request,
                                                   Time now) {
  const auto view = View();
  const Configuration& configuration = *view->config.configuration;
  const auto of_class = configuration.classes.find(request.request_class);
  const auto account = configuration.accounts.find(request.account);
  if (of_class == configuration.classes.end() ||
      account == configuration.accounts.end()) {
    return NotRun{DeclineReason::kNotReady, kComeBackSoon};
  }
  const Service& service = configuration.services.at(of_class->second.service);
  const std::lock_guard lock(m_limits_mutex);
  for (const ServiceName& dependency : service.depends_on) {
    const auto down = m_service_down_until.find(dependency);
    const bool is_down =
        down != m_service_down_until.end() && now < down->second;
    if (is_down || !view->cells_of_service.contains(dependency)) {
      return NotRun{DeclineReason::kDependencyDown, kComeBackSoon};
    }
  }
  const Tier tier = of_class->second.tier;
  uint32_t in_flight = 0;
  for (auto it = m_in_flight.lower_bound({request.account, Tier{0}});
       it != m_in_flight.end() && it->first.first == request.account &&
       it->first.second <= tier;
       ++it) {
    in_flight += it->second;
  }
  const uint32_t most = account->second.max_in_flight;
  if (most > 0 && in_flight >= most) {
    return NotRun{DeclineReason::kAccountLimit, kComeBackSoon};
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
  const auto of_class = classes.find(request.request_class);
  const bool is_keyed = of_class != classes.end() &&
                        !of_class->second.idempotent && !request.key.empty();
  if (is_keyed) {
    StartWithKey(request, now, out);
  } else {
    CallerRequest unkeyed = request;
    unkeyed.key.clear();
    StartUnkeyed(unkeyed, now, now, out);
  }
  return DeliverLocally(std::move(out), now);
}

void Instance::StartWithKey(const CallerRequest& request,
                            Time now,
                            Actions& out) {
  const KeyOwner owner = ParseKey(request.key);
  if (std::holds_alternative<OpaqueKey>(owner)) {
    ClaimKey(request, now, out);
    return;
  }
  const Incarnation incarnation = std::get<BoundKey>(owner).owner;
  if (incarnation == m_settings.self.incarnation) {
    StartOwned(request, now, out);
  } else {
    ForwardToOwner(request, incarnation, now, out);
  }
}

// This life of this instance is the only one that may run the key.
void Instance::StartOwned(const CallerRequest& request,
                          Time now,
                          Actions& out) {
  const std::string key = ScopedKey(request);
  KeySlot& slot = KeysOf(key);
  KeyDecision decision;
  {
    const std::lock_guard lock(slot.mutex);
    decision = BeginKey(slot.table, key, request.body_hash);
  }
  const bool begun = std::holds_alternative<KeyBegun>(decision);
  const Outcome outcome = std::visit(ToOutcome{}, decision);
  m_timeline.Record(EventKind::kKeyDecided, request.id,
                    request.request_class.value,
                    begun ? "begun" : DescribeOutcome(outcome), now);
  if (begun) {
    StartUnkeyed(request, now, now, out);
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
    // A leaving owner still serves its keys, though it gets no new duties.
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
    FinishUnstarted(request, OutcomeUnknown{UnknownReason::kOwnerGone}, now,
                    out);
    return;
  }
  m_timeline.Record(EventKind::kForwarded, request.id, found->name.value,
                    "key bound to it", now);
  out.push_back(ForwardRequest{request.id, found->name, found->caller_address});
}

void Instance::ClaimKey(const CallerRequest& request, Time now, Actions& out) {
  const uint64_t key_hash = StableHash(ScopedKey(request)) >> 1;
  const KeyClaim claim{key_hash, request.body_hash >> 1};
  std::optional<ClaimOwner> owner;
  {
    const std::lock_guard lock(m_claims_mutex);
    owner = RequestClaim(m_claims, claim, request.id,
                         now + m_settings.claim_patience);
    if (!owner) {
      m_claiming[request.id] = request;
    }
  }
  if (!owner) {
    AppendClaims(out);
    return;
  }
  if (owner->owner == m_settings.self.incarnation) {
    StartOwned(request, now, out);
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

void Instance::StartUnkeyed(const CallerRequest& request,
                            Time received,
                            Time now,
                            Actions& out) {
  if (const auto refusal = RefusalBeforeStart(request, now)) {
    if (!request.key.empty()) {
      const std::string key = ScopedKey(request);
      KeySlot& slot = KeysOf(key);
      const std::lock_guard lock(slot.mutex);
      EndKey(slot.table, key, *refusal, nullptr);
    }
    FinishUnstarted(request, *refusal, now, out);
    return;
  }
  const auto view = View();
  EntrySlot& slot = EntryOf(request.id);
  EntryOutput output;
  {
    const std::lock_guard lock(slot.mutex);
    output = StartRequest(slot.shard, *view, request, received, now);
  }
  TakeEntryOutput(std::move(output), now, out);
}

Actions Instance::HandleCallerGone(const RequestId& request, Time now) {
  Actions out;
  const auto view = View();
  EntrySlot& slot = EntryOf(request);
  EntryOutput output;
  {
    const std::lock_guard lock(slot.mutex);
    output = pomeloring::HandleCallerGone(slot.shard, *view, request, now);
  }
  TakeEntryOutput(std::move(output), now, out);
  return DeliverLocally(std::move(out), now);
}

Actions Instance::HandleFirstToken(const AttemptId& attempt, Time now) {
  EntrySlot& slot = EntryOf(attempt.request);
  {
    const std::lock_guard lock(slot.mutex);
    pomeloring::HandleFirstToken(slot.shard, attempt, now);
  }
  m_timeline.Record(EventKind::kFirstToken, attempt.request, "", "", now);
  return {};
}

Actions Instance::HandleUpstreamEnded(const AttemptId& attempt,
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
  EntrySlot& slot = EntryOf(attempt.request);
  EntryOutput output;
  {
    const std::lock_guard lock(slot.mutex);
    output = pomeloring::HandleUpstreamEnded(slot.shard, *view, attempt,
                                             outcome, tokens, now);
  }
  TakeEntryOutput(std::move(output), now, out);
  return DeliverLocally(std::move(out), now);
}

void Instance::HandleForwardEnded(const RequestId& request,
                                  std::string_view outcome,
                                  Time now) {
  m_timeline.Record(EventKind::kRequestFinished, request, "forwarded", outcome,
                    now);
}

void Instance::TakeEntryOutput(EntryOutput output, Time now, Actions& out) {
  for (const RequestEnded& ended : output.ended) {
    TakeEnded(ended, now);
  }
  out.insert(out.end(), std::make_move_iterator(output.actions.begin()),
             std::make_move_iterator(output.actions.end()));
}

void Instance::TakeEnded(const RequestEnded& ended, Time now) {
  m_timeline.Record(EventKind::kRequestFinished, ended.request.id,
                    ended.request.request_class.value,
                    DescribeOutcome(ended.outcome), now);
  if (!ended.request.key.empty()) {
    const std::string key = ScopedKey(ended.request);
    KeySlot& slot = KeysOf(key);
    const std::lock_guard lock(slot.mutex);
    EndKey(slot.table, key, ended.outcome, ended.answer);
  }
  const auto view = View();
  const auto& classes = view->config.configuration->classes;
  const auto of_class = classes.find(ended.request.request_class);
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
  if (service_is_down && of_class != classes.end()) {
    m_service_down_until[of_class->second.service] = now + kDownMemory;
  }
}

// --- Other instances -------------------------------------------------------

std::shared_ptr<Instance::CellSlot> Instance::FindCell(
    const CellId& id,
    const ClusterView& view) {
  const std::lock_guard lock(m_cells_mutex);
  const auto found = m_cells.find(id);
  if (found != m_cells.end()) {
    return found->second;
  }
  const auto cell_view = view.cells.find(id);
  if (cell_view == view.cells.end()) {
    return nullptr;
  }
  auto slot = std::make_shared<CellSlot>();
  slot->cell.id = id;
  slot->cell.service = cell_view->second.service;
  slot->cell.settings = m_settings.cell;
  slot->cell.random = StableHash(id.value, m_settings.random_seed);
  ConfigureCell(slot->cell, *view.config.configuration,
                cell_view->second.upstreams, view.leaving);
  slot->configured_as_of = view.config.as_of;
  m_cells[id] = slot;
  return slot;
}

void Instance::SendReplies(CellReplies replies,
                           const ClusterView& view,
                           Time now,
                           Actions& out) {
  for (CellReply& reply : replies) {
    if (const auto* granted = std::get_if<Granted>(&reply.message)) {
      m_timeline.Record(EventKind::kGranted, granted->attempt.request,
                        granted->upstream.value, granted->cell.value, now);
    }
    if (const auto* declined = std::get_if<Declined>(&reply.message)) {
      m_timeline.Record(EventKind::kDeclined, declined->attempt.request,
                        reply.to.value, ToString(declined->reason), now);
    }
    if (reply.to == m_settings.self.name) {
      out.push_back(SendSlotMessage{reply.to, "", std::move(reply.message)});
      continue;
    }
    const auto member = view.live.find(reply.to);
    std::string address;
    if (member != view.live.end()) {
      address = member->second.link_address;
    } else {
      // An entry that is leaving still has requests to be granted.
      for (const Member& known : KnownMembers()) {
        if (known.name == reply.to) {
          address = known.link_address;
        }
      }
    }
    if (!address.empty()) {
      out.push_back(
          SendSlotMessage{reply.to, address, std::move(reply.message)});
    }
  }
}

void Instance::DeliverToCell(const InstanceName& from,
                             const SlotMessage& message,
                             const CellId& id,
                             Time now,
                             Actions& out) {
  const auto view = View();
  const auto slot = FindCell(id, *view);
  if (slot == nullptr) {
    if (const auto* ask = std::get_if<Ask>(&message)) {
      SendReplies({{from, Declined{ask->attempt, DeclineReason::kNotScheduler,
                                   kComeBackSoon}}},
                  *view, now, out);
    }
    return;
  }
  CellReplies replies;
  {
    const std::lock_guard lock(slot->mutex);
    CellState& cell = slot->cell;
    // The cell may have been made from a view that was replaced meanwhile.
    const auto cell_view = view->cells.find(id);
    if (slot->configured_as_of < view->config.as_of &&
        cell_view != view->cells.end()) {
      ConfigureCell(cell, *view->config.configuration,
                    cell_view->second.upstreams, view->leaving);
      slot->configured_as_of = view->config.as_of;
    }
    if (const auto* ask = std::get_if<Ask>(&message)) {
      replies = HandleAsk(cell, from, *ask, now);
    } else if (const auto* withdraw = std::get_if<Withdraw>(&message)) {
      replies = HandleWithdraw(cell, *withdraw, now);
    } else if (const auto* report = std::get_if<SlotReport>(&message)) {
      replies = HandleSlotReport(cell, from, *report, now);
    } else if (const auto* running = std::get_if<RunningSlots>(&message)) {
      replies = HandleRunningSlots(cell, *running, now);
    }
  }
  SendReplies(std::move(replies), *view, now, out);
}

void Instance::DeliverToEntry(const InstanceName& from,
                              const SlotMessage& message,
                              Time now,
                              Actions& out) {
  const auto view = View();
  EntryOutput output;
  const auto handle = [&](const AttemptId& attempt, auto handler) {
    EntrySlot& slot = EntryOf(attempt.request);
    const std::lock_guard lock(slot.mutex);
    output = handler(slot.shard);
  };
  if (const auto* granted = std::get_if<Granted>(&message)) {
    handle(granted->attempt, [&](EntryShard& shard) {
      return HandleGranted(shard, *view, from, *granted, now);
    });
  } else if (const auto* queued = std::get_if<Queued>(&message)) {
    handle(queued->attempt, [&](EntryShard& shard) {
      return HandleQueued(shard, *view, from, *queued, now);
    });
  } else if (const auto* declined = std::get_if<Declined>(&message)) {
    handle(declined->attempt, [&](EntryShard& shard) {
      return HandleDeclined(shard, *view, from, *declined, now);
    });
  }
  TakeEntryOutput(std::move(output), now, out);
}

void Instance::Deliver(const InstanceName& from,
                       const SlotMessage& message,
                       Time now,
                       Actions& out) {
  if (std::holds_alternative<SchedulerProbe>(message)) {
    SendReplies({{from, SchedulerAlive{}}}, *View(), now, out);
    return;
  }
  if (std::holds_alternative<SchedulerAlive>(message)) {
    const std::lock_guard lock(m_watch_mutex);
    m_watched[from].answered = true;
    return;
  }
  if (const auto* ask = std::get_if<Ask>(&message)) {
    DeliverToCell(from, message, ask->cell, now, out);
  } else if (const auto* withdraw = std::get_if<Withdraw>(&message)) {
    DeliverToCell(from, message, withdraw->cell, now, out);
  } else if (const auto* report = std::get_if<SlotReport>(&message)) {
    DeliverToCell(from, message, report->cell, now, out);
  } else if (const auto* running = std::get_if<RunningSlots>(&message)) {
    DeliverToCell(from, message, running->cell, now, out);
  } else {
    DeliverToEntry(from, message, now, out);
  }
}

Actions Instance::DeliverLocally(Actions out, Time now) {
  Actions outward;
  for (size_t i = 0; i < out.size(); ++i) {
    Action action = std::move(out[i]);
    RecordAction(action, now);
    const auto* send = std::get_if<SendSlotMessage>(&action);
    if (send != nullptr && send->to == m_settings.self.name) {
      Deliver(send->to, send->message, now, out);
    } else {
      outward.push_back(std::move(action));
    }
  }
  return outward;
}

void Instance::RecordAction(const Action& action, Time now) {
  if (const auto* start = std::get_if<StartUpstream>(&action)) {
    m_timeline.Record(EventKind::kUpstreamStarted, start->attempt.request,
                      start->upstream.name.value,
                      fmt::format("attempt {} from token {}",
                                  start->attempt.number, start->resume_from),
                      now);
  }
  const auto* send = std::get_if<SendSlotMessage>(&action);
  if (send == nullptr) {
    return;
  }
  if (const auto* ask = std::get_if<Ask>(&send->message)) {
    m_timeline.Record(EventKind::kAsked, ask->attempt.request, send->to.value,
                      ask->cell.value, now);
  }
  if (const auto* withdraw = std::get_if<Withdraw>(&send->message)) {
    m_timeline.Record(EventKind::kWithdrawn, withdraw->attempt.request,
                      send->to.value, withdraw->cell.value, now);
  }
}

Actions Instance::HandleSlotMessage(const InstanceName& from,
                                    const SlotMessage& message,
                                    HybridTime stamp,
                                    Time now) {
  m_timeline.Observe(stamp, now);
  Actions out;
  Deliver(from, message, now, out);
  return DeliverLocally(std::move(out), now);
}

Actions Instance::HandleDatagram(std::string_view from_address,
                                 const MembershipMessage& message,
                                 Time now) {
  MembershipOutput output;
  {
    const std::lock_guard lock(m_membership_mutex);
    output = HandleMembershipMessage(m_membership, from_address, message, now);
  }
  Actions out;
  TakeMembershipOutput(std::move(output), now, out);
  return DeliverLocally(std::move(out), now);
}

void Instance::TakeMembershipOutput(MembershipOutput output,
                                    Time now,
                                    Actions& out) {
  for (Datagram& datagram : output.datagrams) {
    out.push_back(
        SendDatagram{std::move(datagram.address), std::move(datagram.message)});
  }
  if (output.newer_config_at) {
    out.push_back(FetchConfiguration{output.newer_config_at->name,
                                     output.newer_config_at->link_address});
  }
  if (!output.changes.empty()) {
    RebuildView(now, out);
  }
  for (const Member& member : output.changes) {
    TakeMemberChange(member, now, out);
  }
}

void Instance::TakeMemberChange(const Member& member, Time now, Actions& out) {
  m_timeline.Record(
      EventKind::kMemberChanged, {}, member.name.value,
      fmt::format("{}{} incarnation {:x}", ToString(member.status),
                  member.leaving ? " leaving" : "", member.incarnation.value),
      now);
  const bool is_dead = member.status == MemberStatus::kDead ||
                       member.status == MemberStatus::kLeft;
  const auto view = View();
  if (is_dead) {
    std::vector<std::shared_ptr<CellSlot>> cells;
    {
      const std::lock_guard lock(m_cells_mutex);
      for (const auto& [id, slot] : m_cells) {
        cells.push_back(slot);
      }
    }
    for (const auto& slot : cells) {
      CellReplies replies;
      {
        const std::lock_guard lock(slot->mutex);
        replies = DropEntry(slot->cell, member.name, now);
      }
      SendReplies(std::move(replies), *view, now, out);
    }
  }
  if (is_dead || member.leaving) {
    AskOthersThan(member.name, now, out);
  }
}

void Instance::AskOthersThan(const InstanceName& lost, Time now, Actions& out) {
  const auto view = View();
  for (EntrySlot& slot : m_entries) {
    EntryOutput output;
    {
      const std::lock_guard lock(slot.mutex);
      output = ReaskAfterLoss(slot.shard, *view, lost, now);
    }
    TakeEntryOutput(std::move(output), now, out);
  }
}

// A scheduler that dies says nothing to those that wait in its queue, and
// membership takes seconds to tell: each instance that holds queued asks is
// probed itself, once for all of them.
void Instance::WatchSchedulers(Time now, Actions& out) {
  std::set<InstanceName> holders;
  for (EntrySlot& slot : m_entries) {
    const std::lock_guard lock(slot.mutex);
    CollectHolders(slot.shard, holders);
  }
  holders.erase(m_settings.self.name);
  std::vector<InstanceName> silent;
  std::vector<InstanceName> to_probe;
  {
    const std::lock_guard lock(m_watch_mutex);
    std::erase_if(m_watched, [&](const auto& watched) {
      return !holders.contains(watched.first);
    });
    for (const InstanceName& holder : holders) {
      SchedulerWatch& watch = m_watched[holder];
      const Duration age = now - watch.probed;
      if (!watch.answered && age >= kProbePatience) {
        silent.push_back(holder);
        watch.answered = true;
      } else if (watch.answered && age >= kProbeInterval) {
        to_probe.push_back(holder);
        watch = {now, false};
      }
    }
  }
  const auto view = View();
  for (const InstanceName& holder : to_probe) {
    const auto member = view->live.find(holder);
    if (member != view->live.end()) {
      out.push_back(SendSlotMessage{holder, member->second.link_address,
                                    SchedulerProbe{}});
    }
  }
  for (const InstanceName& holder : silent) {
    AskOthersThan(holder, now, out);
  }
}

Actions Instance::HandlePeerConfiguration(ConfigInForce peer_state, Time now) {
  Actions out;
  bool adopted = false;
  {
    const std::lock_guard lock(m_config_mutex);
    adopted = AdoptFromPeer(m_history, std::move(peer_state), now);
    m_has_caught_up |= adopted;
  }
  if (adopted) {
    RebuildView(now, out);
  }
  return DeliverLocally(std::move(out), now);
}

// --- The platform ----------------------------------------------------------

LogOffset Instance::NextOffset(LogStream stream) const {
  if (stream == LogStream::kClaims) {
    const std::lock_guard lock(m_claims_mutex);
    return m_claims.next_offset;
  }
  const std::lock_guard lock(m_config_mutex);
  return m_history.next_offset;
}

Actions Instance::HandleLogRead(LogStream stream,
                                std::vector<LogRecord> records,
                                LogOffset first_retained,
                                bool is_end,
                                Time now) {
  Actions out;
  if (stream == LogStream::kConfiguration) {
    bool changed = false;
    LogOffset as_of;
    {
      const std::lock_guard lock(m_config_mutex);
      changed =
          ApplyRecords(m_history, std::move(records), first_retained, now);
      changed |= is_end && !m_has_caught_up;
      m_has_caught_up |= is_end;
      as_of = m_history.in_force && m_has_caught_up ? m_history.in_force->as_of
                                                    : LogOffset{};
    }
    {
      const std::lock_guard lock(m_membership_mutex);
      m_membership.config_as_of = std::max(m_membership.config_as_of, as_of);
    }
    if (changed) {
      RebuildView(now, out);
    }
  }
  if (stream == LogStream::kClaims) {
    std::vector<std::pair<CallerRequest, Incarnation>> decided;
    {
      const std::lock_guard lock(m_claims_mutex);
      for (const ClaimDecided& claim :
           ApplyClaimRecords(m_claims, records, first_retained)) {
        const auto it = m_claiming.find(claim.request);
        if (it != m_claiming.end()) {
          decided.emplace_back(it->second, claim.owner.owner);
          m_claiming.erase(it);
        }
      }
    }
    for (const auto& [request, owner] : decided) {
      if (owner == m_settings.self.incarnation) {
        StartOwned(request, now, out);
      } else {
        ForwardToOwner(request, owner, now, out);
      }
    }
  }
  return DeliverLocally(std::move(out), now);
}

Actions Instance::HandleLogReadFailed(LogStream /*stream*/, Time now) {
  m_timeline.Record(EventKind::kLogUnavailable, {}, "read", "", now);
  return {};
}

Actions Instance::HandleAppendEnded(LogStream stream,
                                    bool succeeded,
                                    Time now) {
  Actions out;
  if (!succeeded) {
    m_timeline.Record(EventKind::kLogUnavailable, {}, "append", "", now);
  }
  if (stream == LogStream::kClaims) {
    {
      const std::lock_guard lock(m_claims_mutex);
      EndClaimAppend(m_claims, succeeded);
    }
    // After a failure the next tick tries again.
    if (succeeded) {
      AppendClaims(out);
    }
  }
  return DeliverLocally(std::move(out), now);
}

Actions Instance::HandleInstanceList(
    const std::vector<std::string>& probe_addresses,
    const std::set<UpstreamName>& leaving,
    Time now) {
  Actions out;
  {
    const std::lock_guard lock(m_membership_mutex);
    // The list lags: it only says where to look for members.
    m_membership.seeds = m_settings.seeds;
    for (const std::string& address : probe_addresses) {
      if (std::find(m_membership.seeds.begin(), m_membership.seeds.end(),
                    address) == m_membership.seeds.end()) {
        m_membership.seeds.push_back(address);
      }
    }
  }
  bool changed = false;
  {
    const std::lock_guard lock(m_view_mutex);
    changed = m_leaving_by_platform != leaving;
    m_leaving_by_platform = leaving;
  }
  if (changed) {
    RebuildView(now, out);
  }
  return DeliverLocally(std::move(out), now);
}

// --- Views and cells -------------------------------------------------------

void Instance::RebuildView(Time now, Actions& out) {
  ConfigInForce config;
  {
    const std::lock_guard lock(m_config_mutex);
    if (m_history.in_force && m_has_caught_up) {
      config = *m_history.in_force;
    } else {
      config.configuration = std::make_shared<const Configuration>();
    }
  }
  std::vector<Member> live;
  Member self;
  {
    const std::lock_guard lock(m_membership_mutex);
    live = LiveMembers(m_membership);
    self = m_membership.self;
    m_membership.config_as_of =
        std::max(m_membership.config_as_of, config.as_of);
  }
  std::shared_ptr<const ClusterView> view;
  Revision before;
  {
    const std::lock_guard lock(m_view_mutex);
    before = m_view->config.revision;
    // Another thread may have built a later view meanwhile.
    if (config.as_of < m_view->config.as_of) {
      return;
    }
    m_view =
        BuildClusterView(self, m_stopping, config, m_leaving_by_platform, live);
    view = m_view;
  }
  if (view->config.revision != before) {
    m_timeline.Record(EventKind::kConfigurationInForce, {},
                      std::to_string(view->config.revision.value),
                      fmt::format("offset {}", view->config.as_of.value), now);
  }
  ReconfigureCells(*view, now, out);
}

void Instance::ReconfigureCells(const ClusterView& view,
                                Time now,
                                Actions& out) {
  std::vector<std::pair<CellId, std::shared_ptr<CellSlot>>> cells;
  {
    const std::lock_guard lock(m_cells_mutex);
    cells.assign(m_cells.begin(), m_cells.end());
    std::erase_if(m_cells, [&](const auto& entry) {
      return !view.cells.contains(entry.first);
    });
  }
  for (const auto& [id, slot] : cells) {
    const auto cell_view = view.cells.find(id);
    CellReplies replies;
    {
      const std::lock_guard lock(slot->mutex);
      const bool is_scheduler =
          cell_view != view.cells.end() &&
          !cell_view->second.schedulers.empty() &&
          cell_view->second.schedulers.front() == m_settings.self.name;
      if (cell_view != view.cells.end()) {
        ConfigureCell(slot->cell, *view.config.configuration,
                      cell_view->second.upstreams, view.leaving);
        slot->configured_as_of = view.config.as_of;
      }
      if (!is_scheduler) {
        replies = HandBackQueue(slot->cell);
      }
    }
    SendReplies(std::move(replies), view, now, out);
  }
}

// --- Time and the end ------------------------------------------------------

Actions Instance::HandleTick(Time now) {
  Actions out;
  MembershipOutput output;
  bool superseded = false;
  {
    const std::lock_guard lock(m_membership_mutex);
    output = TickMembership(m_membership, now);
    superseded = m_membership.superseded;
  }
  if (superseded) {
    out.push_back(StopSuperseded{});
  }
  TakeMembershipOutput(std::move(output), now, out);
  TickCells(now, out);
  TickEntries(now, out);
  TickClaims(now, out);
  TickSnapshots(now, out);
  WatchSchedulers(now, out);
  ReportRunning(now, out);
  return DeliverLocally(std::move(out), now);
}

void Instance::TickCells(Time now, Actions& out) {
  const auto view = View();
  std::vector<std::shared_ptr<CellSlot>> cells;
  {
    const std::lock_guard lock(m_cells_mutex);
    for (const auto& [id, slot] : m_cells) {
      cells.push_back(slot);
    }
  }
  for (const auto& slot : cells) {
    CellReplies replies;
    {
      const std::lock_guard lock(slot->mutex);
      replies = TickCell(slot->cell, now);
    }
    SendReplies(std::move(replies), *view, now, out);
  }
}

void Instance::TickEntries(Time now, Actions& out) {
  const auto view = View();
  for (EntrySlot& slot : m_entries) {
    EntryOutput output;
    {
      const std::lock_guard lock(slot.mutex);
      output = TickEntry(slot.shard, *view, now);
    }
    TakeEntryOutput(std::move(output), now, out);
  }
}

void Instance::TickClaims(Time now, Actions& out) {
  std::vector<CallerRequest> expired;
  {
    const std::lock_guard lock(m_claims_mutex);
    for (const RequestId& id : ExpireClaims(m_claims, now)) {
      const auto it = m_claiming.find(id);
      if (it != m_claiming.end()) {
        expired.push_back(it->second);
        m_claiming.erase(it);
      }
    }
  }
  // Not run: a claim that comes to light later starts nothing by itself.
  for (const CallerRequest& request : expired) {
    FinishUnstarted(request,
                    NotRun{DeclineReason::kLogUnavailable, kComeBackSoon}, now,
                    out);
  }
  AppendClaims(out);
}

void Instance::TickSnapshots(Time now, Actions& out) {
  const std::lock_guard lock(m_config_mutex);
  const auto snapshot = SnapshotDue(m_history, m_settings.log_retention, now);
  if (!snapshot) {
    m_snapshot_at = Time{};
    return;
  }
  if (m_snapshot_at == Time{}) {
    const auto spread = static_cast<uint64_t>(kSnapshotSpread.count());
    m_snapshot_at =
        now + Duration{static_cast<int64_t>(NextRandom(m_random) % spread)};
    return;
  }
  if (now >= m_snapshot_at) {
    m_snapshot_at = now + kSnapshotSpread;
    out.push_back(
        AppendRecord{LogStream::kConfiguration, EncodeConfigRecord(*snapshot)});
  }
}

void Instance::ReportRunning(Time now, Actions& out) {
  if (now < m_next_running_report) {
    return;
  }
  m_next_running_report = now + m_settings.running_report_interval;
  std::map<CellId, std::map<UpstreamName, uint32_t>> counts;
  for (EntrySlot& slot : m_entries) {
    const std::lock_guard lock(slot.mutex);
    CountRunning(slot.shard, counts);
  }
  {
    // A cell that emptied is told of once more, with no counts.
    const std::lock_guard lock(m_limits_mutex);
    for (const auto& [id, reported] : m_reported_running) {
      counts[id];
    }
    m_reported_running.clear();
    for (const auto& [id, upstreams] : counts) {
      if (!upstreams.empty()) {
        m_reported_running[id] = true;
      }
    }
  }
  const auto view = View();
  for (const auto& [id, upstreams] : counts) {
    const auto cell = view->cells.find(id);
    if (cell == view->cells.end()) {
      continue;
    }
    RunningSlots running{m_settings.self.name, id, {}};
    for (const auto& [upstream, count] : upstreams) {
      running.counts.push_back({upstream, count});
    }
    for (const InstanceName& scheduler : cell->second.schedulers) {
      const auto member = view->live.find(scheduler);
      const std::string address =
          member == view->live.end() ? "" : member->second.link_address;
      out.push_back(SendSlotMessage{scheduler, address, running});
    }
  }
}

Actions Instance::HandleStop(Time now) {
  Actions out;
  m_stopping = true;
  m_timeline.Record(EventKind::kStopping, {}, m_settings.self.name.value, "",
                    now);
  MembershipOutput output;
  {
    const std::lock_guard lock(m_membership_mutex);
    output = AnnounceLeaving(m_membership, now);
  }
  TakeMembershipOutput(std::move(output), now, out);
  RebuildView(now, out);
  return DeliverLocally(std::move(out), now);
}

// --- What is to be seen ----------------------------------------------------

bool Instance::IsReady() const {
  const auto view = View();
  return view->config.revision.value > 0 && !m_stopping;
}

size_t Instance::InFlight() const {
  size_t in_flight = 0;
  for (const EntrySlot& slot : m_entries) {
    const std::lock_guard lock(slot.mutex);
    in_flight += slot.shard.requests.size();
  }
  const std::lock_guard lock(m_claims_mutex);
  return in_flight + m_claiming.size();
}

std::optional<ConfigInForce> Instance::ConfigurationInForce() const {
  const std::lock_guard lock(m_config_mutex);
  return m_has_caught_up ? m_history.in_force : std::nullopt;
}

std::optional<PublishOutcome> Instance::OutcomeOf(
    const std::string& publish_id) const {
  const std::lock_guard lock(m_config_mutex);
  const auto it = m_history.outcomes.find(publish_id);
  return it == m_history.outcomes.end()
             ? std::nullopt
             : std::optional<PublishOutcome>(it->second);
}

std::vector<Member> Instance::KnownMembers() const {
  const std::lock_guard lock(m_membership_mutex);
  std::vector<Member> members{m_membership.self};
  for (const auto& [name, known] : m_membership.members) {
    members.push_back(known.member);
  }
  return members;
}

std::vector<CellSummary> Instance::Cells(Time now) const {
  const auto view = View();
  std::vector<std::shared_ptr<CellSlot>> slots;
  {
    const std::lock_guard lock(m_cells_mutex);
    for (const auto& [id, slot] : m_cells) {
      slots.push_back(slot);
    }
  }
  std::vector<CellSummary> summaries;
  for (const auto& slot : slots) {
    const std::lock_guard lock(slot->mutex);
    CellSummary summary;
    summary.id = slot->cell.id;
    const auto cell = view->cells.find(summary.id);
    summary.is_scheduler =
        cell != view->cells.end() && !cell->second.schedulers.empty() &&
        cell->second.schedulers.front() == m_settings.self.name;
    for (const auto& [tier, waiting] : slot->cell.queue.tiers) {
      summary.waiting[tier] = waiting.by_start.size();
    }
    for (const Replica& replica : slot->cell.replicas) {
      summary.replicas.push_back(
          {replica.upstream.name, Running(replica), replica.limit,
           Duration{static_cast<int64_t>(replica.step_micros)}, replica.leaving,
           now < replica.ejected_until});
    }
    summaries.push_back(std::move(summary));
  }
  return summaries;
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
