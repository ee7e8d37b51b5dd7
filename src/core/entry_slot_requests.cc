#include "core/entry_slot_requests.h"

#include <algorithm>

namespace pomeloring {
namespace {

// A slot request that is not answered for this long is sent to the successor
// too.
constexpr Duration kSchedulerReplyTimeout = milliseconds(50);

// Returns the latest start that is of use to the caller.
Time LatestUsefulStart(const EntryRequest& request) {
  const RequestClass& class_config = request.class_config;
  if (class_config.when_late == LatePolicy::kServe) {
    return request.received + class_config.max_wait;
  }
  return request.received + (class_config.first_token_target.count() > 0
                                 ? class_config.first_token_target
                                 : class_config.answer_target);
}

// Returns when to stop waiting for a slot. A caller that has received a part of
// its answer waits for the rest, which is not dropped for being late.
Time SlotDeadline(const EntryRequest& request) {
  return request.tokens == 0
             ? LatestUsefulStart(request)
             : LatestUsefulStart(request) + request.class_config.max_wait;
}

SlotRequest MakeSlotRequest(const EntryRequest& request, Time now) {
  SlotRequest slot_request;
  slot_request.attempt = CurrentAttempt(request);
  slot_request.cell = request.cell;
  slot_request.request_class = request.class_config.name;
  slot_request.account = request.request.account;
  slot_request.time_left = SlotDeadline(request) - now;
  slot_request.waited = now - request.received;
  slot_request.prefix_hash = request.request.prefix_hash;
  slot_request.excluded = request.excluded;
  return slot_request;
}

}  // namespace

AttemptId CurrentAttempt(const EntryRequest& request) {
  return {request.request.id, request.attempt};
}

bool IsPastDeadline(const EntryRequest& request, Time now) {
  return now >= SlotDeadline(request);
}

void SetTimer(EntryShard& shard, EntryRequest& request, Time at) {
  request.resend_at = at;
  shard.timers.emplace(std::min(at, SlotDeadline(request)), request.request.id);
}

void SendToPeer(EntryOutput& output,
                const ClusterView& view,
                const InstanceName& to,
                SlotMessage message) {
  if (to == view.self.name) {
    output.actions.push_back(SendSlotMessage{to, "", std::move(message)});
    return;
  }
  const auto member = view.live.find(to);
  if (member != view.live.end()) {
    output.actions.push_back(
        SendSlotMessage{to, member->second.link_address, std::move(message)});
  }
}

void WithdrawSlotRequest(EntryOutput& output,
                         const ClusterView& view,
                         const EntryRequest& request,
                         const InstanceName* except) {
  for (const InstanceName& scheduler : request.contacted_schedulers) {
    if (except == nullptr || scheduler != *except) {
      SendToPeer(output, view, scheduler,
                 Withdraw{CurrentAttempt(request), request.cell});
    }
  }
}

void SendSlotRequest(EntryShard& shard,
                     EntryOutput& output,
                     const ClusterView& view,
                     EntryRequest& request,
                     Time now) {
  const CellView* cell =
      CellFor(view, request.class_config.service, request.request.prefix_hash,
              request.cell_choice);
  if (cell == nullptr || cell->schedulers.empty()) {
    SetTimer(shard, request, now + kSchedulerReplyTimeout);
    return;
  }
  if (cell->id != request.cell) {
    WithdrawSlotRequest(output, view, request, nullptr);
    request.contacted_schedulers.clear();
    request.cell = cell->id;
  }
  const InstanceName& to =
      cell->schedulers[request.next_scheduler % cell->schedulers.size()];
  ++request.next_scheduler;
  if (std::find(request.contacted_schedulers.begin(),
                request.contacted_schedulers.end(),
                to) == request.contacted_schedulers.end()) {
    request.contacted_schedulers.push_back(to);
  }
  SendToPeer(output, view, to, MakeSlotRequest(request, now));
  SetTimer(shard, request, now + kSchedulerReplyTimeout);
}

void RequestSlotForNextAttempt(EntryShard& shard,
                               EntryOutput& output,
                               const ClusterView& view,
                               EntryRequest& request,
                               Time now) {
  request.phase = RequestPhase::kWaitingForSlot;
  ++request.attempt;
  request.contacted_schedulers.clear();
  request.scheduler.reset();
  request.renewal_unanswered = false;
  request.next_scheduler = 0;
  request.first_token = Duration{0};
  SendSlotRequest(shard, output, view, request, now);
}

void RenewOrResend(EntryShard& shard,
                   EntryOutput& output,
                   const ClusterView& view,
                   EntryRequest& request,
                   Time now) {
  const bool scheduler_is_live =
      request.scheduler && (*request.scheduler == view.self.name ||
                            view.live.contains(*request.scheduler));
  if (!scheduler_is_live || request.renewal_unanswered) {
    request.scheduler.reset();
    request.renewal_unanswered = false;
    SendSlotRequest(shard, output, view, request, now);
    return;
  }
  request.renewal_unanswered = true;
  SendToPeer(output, view, *request.scheduler, MakeSlotRequest(request, now));
  SetTimer(shard, request, now + kSchedulerReplyTimeout);
}

uint32_t FirstOtherScheduler(const ClusterView& view,
                             const EntryRequest& request,
                             const InstanceName& lost) {
  const auto cell = view.cells.find(request.cell);
  const bool first_is_lost = cell != view.cells.end() &&
                             !cell->second.schedulers.empty() &&
                             cell->second.schedulers.front() == lost;
  return first_is_lost ? 1 : 0;
}

// Clears the exclusions once every upstream is excluded or leaving, so that all
// may be tried again.
void ExcludeUpstream(const ClusterView& view,
                     EntryRequest& request,
                     const UpstreamName& failed) {
  request.excluded.push_back(failed);
  const auto cell = view.cells.find(request.cell);
  if (cell == view.cells.end()) {
    return;
  }
  for (const Upstream& upstream : cell->second.upstreams) {
    const bool is_excluded =
        std::find(request.excluded.begin(), request.excluded.end(),
                  upstream.name) != request.excluded.end();
    if (!is_excluded && !view.leaving.contains(upstream.name)) {
      return;
    }
  }
  request.excluded.clear();
}

}  // namespace pomeloring
