#include "core/instance.h"

#include <fmt/format.h>

#include <algorithm>

namespace pomeloring {
namespace {

constexpr Duration kComeBackSoon = seconds(1);
// Of instances at which asks of this one are queued.
constexpr Duration kProbeInterval = milliseconds(150);
constexpr Duration kProbePatience = milliseconds(80);

}  // namespace

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
  slot->configured_turn = view.generation;
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
    if (const auto* ask = std::get_if<SlotRequest>(&message)) {
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
    if (slot->configured_turn < view->generation &&
        cell_view != view->cells.end()) {
      ConfigureCell(cell, *view->config.configuration,
                    cell_view->second.upstreams, view->leaving);
      slot->configured_turn = view->generation;
    }
    if (const auto* ask = std::get_if<SlotRequest>(&message)) {
      replies = HandleSlotRequest(cell, from, *ask, now);
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
  if (const auto* ask = std::get_if<SlotRequest>(&message)) {
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
  if (const auto* ask = std::get_if<SlotRequest>(&send->message)) {
    const bool is_retry = ask->attempt.number > 1;
    m_timeline.Record(is_retry ? EventKind::kRetried : EventKind::kAsked,
                      ask->attempt.request, send->to.value, ask->cell.value,
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
        replies = RemoveEntry(slot->cell, member.name, now);
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
      output = ResendAfterSchedulerLoss(slot.shard, *view, lost, now);
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
    CollectSchedulers(slot.shard, holders);
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

}  // namespace pomeloring
