#include "core/instance.h"

#include <fmt/format.h>

#include <algorithm>

namespace pomeloring {
namespace {

constexpr Duration kDefaultRetryAfter = seconds(1);
// For probes of schedulers at which slot requests of this instance are queued.
constexpr Duration kProbeInterval = milliseconds(150);
constexpr Duration kProbeTimeout = milliseconds(80);

}  // namespace

std::shared_ptr<Instance::GuardedCell> Instance::FindOrCreateCell(
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
  auto guarded = std::make_shared<GuardedCell>();
  guarded->cell.id = id;
  guarded->cell.service = cell_view->second.service;
  guarded->cell.settings = m_settings.cell;
  guarded->cell.random = StableHash(id.value, m_settings.random_seed);
  ConfigureCell(guarded->cell, *view.config.configuration,
                cell_view->second.upstreams, view.leaving);
  guarded->configured_generation = view.generation;
  m_cells[id] = guarded;
  return guarded;
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
    if (const auto* queued = std::get_if<Queued>(&reply.message)) {
      m_timeline.Record(EventKind::kQueued, queued->attempt.request,
                        reply.to.value, queued->cell.value, now);
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
      // A leaving entry is not in `view.live` but may still wait for grants.
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
  const auto guarded = FindOrCreateCell(id, *view);
  if (guarded == nullptr) {
    if (const auto* slot_request = std::get_if<SlotRequest>(&message)) {
      SendReplies(
          {{from, Declined{slot_request->attempt, DeclineReason::kNotScheduler,
                           kDefaultRetryAfter}}},
          *view, now, out);
    }
    return;
  }
  CellReplies replies;
  {
    const std::lock_guard lock(guarded->mutex);
    CellState& cell = guarded->cell;
    // The cell may have been configured from a view that is now outdated.
    const auto cell_view = view->cells.find(id);
    if (guarded->configured_generation < view->generation &&
        cell_view != view->cells.end()) {
      ConfigureCell(cell, *view->config.configuration,
                    cell_view->second.upstreams, view->leaving);
      guarded->configured_generation = view->generation;
    }
    if (const auto* slot_request = std::get_if<SlotRequest>(&message)) {
      replies = HandleSlotRequest(cell, from, *slot_request, now);
    } else if (const auto* withdraw = std::get_if<Withdraw>(&message)) {
      replies = HandleWithdraw(cell, *withdraw, now);
    } else if (const auto* report = std::get_if<SlotReport>(&message)) {
      replies = HandleSlotReport(cell, from, *report, now);
    } else if (const auto* running = std::get_if<RunningSlots>(&message)) {
      replies = HandleRunningSlots(cell, from, *running, now);
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
    GuardedEntryShard& guarded = EntryShardFor(attempt.request);
    const std::lock_guard lock(guarded.mutex);
    output = handler(guarded.shard);
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
  ApplyEntryOutput(std::move(output), now, out);
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
    const std::lock_guard lock(m_scheduler_probes_mutex);
    m_scheduler_probes[from].answered = true;
    return;
  }
  if (const auto* slot_request = std::get_if<SlotRequest>(&message)) {
    DeliverToCell(from, message, slot_request->cell, now, out);
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
  if (const auto* start = std::get_if<StartUpstreamAttempt>(&action)) {
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
  if (const auto* slot_request = std::get_if<SlotRequest>(&send->message)) {
    const bool is_retry = slot_request->attempt.number > 1;
    m_timeline.Record(
        is_retry ? EventKind::kRetried : EventKind::kSlotRequested,
        slot_request->attempt.request, send->to.value, slot_request->cell.value,
        now);
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
  ApplyMembershipOutput(std::move(output), now, out);
  return DeliverLocally(std::move(out), now);
}

void Instance::ApplyMembershipOutput(MembershipOutput output,
                                     Time now,
                                     Actions& out) {
  for (Datagram& datagram : output.datagrams) {
    out.push_back(
        SendDatagram{std::move(datagram.address), std::move(datagram.message)});
  }
  if (output.newer_config_source) {
    out.push_back(FetchConfiguration{output.newer_config_source->name,
                                     output.newer_config_source->link_address});
  }
  if (!output.changes.empty()) {
    RebuildView(now, out);
  }
  for (const Member& member : output.changes) {
    HandleMemberChange(member, now, out);
  }
}

void Instance::HandleMemberChange(const Member& member,
                                  Time now,
                                  Actions& out) {
  m_timeline.Record(
      EventKind::kMemberChanged, {}, member.name.value,
      fmt::format("{}{} incarnation {:x}", ToString(member.status),
                  member.leaving ? " leaving" : "", member.incarnation.value),
      now);
  const bool is_dead = member.status == MemberStatus::kDead ||
                       member.status == MemberStatus::kLeft;
  const auto view = View();
  if (is_dead) {
    std::vector<std::shared_ptr<GuardedCell>> cells;
    {
      const std::lock_guard lock(m_cells_mutex);
      for (const auto& [id, guarded] : m_cells) {
        cells.push_back(guarded);
      }
    }
    for (const auto& guarded : cells) {
      CellReplies replies;
      {
        const std::lock_guard lock(guarded->mutex);
        replies = RemoveEntry(guarded->cell, member.name, now);
      }
      SendReplies(std::move(replies), *view, now, out);
    }
  }
  if (is_dead || member.leaving) {
    ResendSlotRequests(member.name, now, out);
  }
}

void Instance::ResendSlotRequests(const InstanceName& lost,
                                  Time now,
                                  Actions& out) {
  const auto view = View();
  for (GuardedEntryShard& guarded : m_entries) {
    EntryOutput output;
    {
      const std::lock_guard lock(guarded.mutex);
      output = ResendAfterSchedulerLoss(guarded.shard, *view, lost, now);
    }
    ApplyEntryOutput(std::move(output), now, out);
  }
}

// Probes each scheduler at which slot requests of this instance are queued, one
// probe for all of them, and resends the requests if it does not reply. A
// scheduler that dies cannot decline them, and membership needs seconds to
// detect that it has died.
void Instance::ProbeSchedulers(Time now, Actions& out) {
  std::set<InstanceName> schedulers;
  for (GuardedEntryShard& guarded : m_entries) {
    const std::lock_guard lock(guarded.mutex);
    CollectSchedulers(guarded.shard, schedulers);
  }
  schedulers.erase(m_settings.self.name);
  std::vector<InstanceName> unresponsive;
  std::vector<InstanceName> to_probe;
  {
    const std::lock_guard lock(m_scheduler_probes_mutex);
    std::erase_if(m_scheduler_probes, [&](const auto& entry) {
      return !schedulers.contains(entry.first);
    });
    for (const InstanceName& scheduler : schedulers) {
      SchedulerProbeState& probe = m_scheduler_probes[scheduler];
      const Duration age = now - probe.sent;
      if (!probe.answered && age >= kProbeTimeout) {
        unresponsive.push_back(scheduler);
        probe.answered = true;
      } else if (probe.answered && age >= kProbeInterval) {
        to_probe.push_back(scheduler);
        probe = {now, false};
      }
    }
  }
  const auto view = View();
  for (const InstanceName& scheduler : to_probe) {
    const auto member = view->live.find(scheduler);
    if (member != view->live.end()) {
      out.push_back(SendSlotMessage{scheduler, member->second.link_address,
                                    SchedulerProbe{}});
    }
  }
  for (const InstanceName& scheduler : unresponsive) {
    ResendSlotRequests(scheduler, now, out);
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

}  // namespace pomeloring
