#include "core/entry_asks.h"

#include <algorithm>

namespace pomeloring {
namespace {

// An ask without a word for this long goes to the successor too.
constexpr Duration kAskPatience = milliseconds(50);

// Until when a start is of use to the caller.
Time LatestUse(const EntryRequest& request) {
  const RequestClass& of_class = request.of_class;
  if (of_class.when_late == LatePolicy::kServe) {
    return request.received + of_class.max_wait;
  }
  return request.received + (of_class.first_token_target.count() > 0
                                 ? of_class.first_token_target
                                 : of_class.answer_target);
}

// When to give up waiting for a slot. A caller that has begun to read waits for
// the rest: that is not dropped for being late.
Time GiveUpAt(const EntryRequest& request) {
  return request.tokens == 0 ? LatestUse(request)
                             : LatestUse(request) + request.of_class.max_wait;
}

Ask MakeAsk(const EntryRequest& request, Time now) {
  Ask ask;
  ask.attempt = CurrentAttempt(request);
  ask.cell = request.cell;
  ask.request_class = request.of_class.name;
  ask.account = request.request.account;
  ask.time_left = GiveUpAt(request) - now;
  ask.waited = now - request.received;
  ask.prefix_hash = request.request.prefix_hash;
  ask.excluded = request.excluded;
  return ask;
}

}  // namespace

AttemptId CurrentAttempt(const EntryRequest& request) {
  return {request.request.id, request.attempt};
}

bool IsTooLate(const EntryRequest& request, Time now) {
  return now >= GiveUpAt(request);
}

void SetTimer(EntryShard& shard, EntryRequest& request, Time at) {
  request.next_ask = at;
  shard.timers.emplace(std::min(at, GiveUpAt(request)), request.request.id);
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

void WithdrawFrom(EntryOutput& output,
                  const ClusterView& view,
                  const EntryRequest& request,
                  const InstanceName* except) {
  for (const InstanceName& asked : request.asked) {
    if (except == nullptr || asked != *except) {
      SendToPeer(output, view, asked,
                 Withdraw{CurrentAttempt(request), request.cell});
    }
  }
}

void AskScheduler(EntryShard& shard,
                  EntryOutput& output,
                  const ClusterView& view,
                  EntryRequest& request,
                  Time now) {
  const CellView* cell =
      CellFor(view, request.of_class.service, request.request.prefix_hash,
              request.cell_turn);
  if (cell == nullptr || cell->schedulers.empty()) {
    SetTimer(shard, request, now + kAskPatience);
    return;
  }
  if (cell->id != request.cell) {
    WithdrawFrom(output, view, request, nullptr);
    request.asked.clear();
    request.cell = cell->id;
  }
  const InstanceName& to =
      cell->schedulers[request.asks % cell->schedulers.size()];
  ++request.asks;
  if (std::find(request.asked.begin(), request.asked.end(), to) ==
      request.asked.end()) {
    request.asked.push_back(to);
  }
  SendToPeer(output, view, to, MakeAsk(request, now));
  SetTimer(shard, request, now + kAskPatience);
}

void AskForNextAttempt(EntryShard& shard,
                       EntryOutput& output,
                       const ClusterView& view,
                       EntryRequest& request,
                       Time now) {
  request.phase = RequestPhase::kAsking;
  ++request.attempt;
  request.asked.clear();
  request.holder.reset();
  request.renewal_unanswered = false;
  request.asks = 0;
  request.first_token = Duration{0};
  AskScheduler(shard, output, view, request, now);
}

void RenewOrReask(EntryShard& shard,
                  EntryOutput& output,
                  const ClusterView& view,
                  EntryRequest& request,
                  Time now) {
  const bool holder_is_live =
      request.holder && (*request.holder == view.self.name ||
                         view.live.contains(*request.holder));
  if (!holder_is_live || request.renewal_unanswered) {
    request.holder.reset();
    request.renewal_unanswered = false;
    AskScheduler(shard, output, view, request, now);
    return;
  }
  request.renewal_unanswered = true;
  SendToPeer(output, view, *request.holder, MakeAsk(request, now));
  SetTimer(shard, request, now + kAskPatience);
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

// An upstream that failed is avoided while there is another one.
void Exclude(const ClusterView& view,
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
