#include "core/entry.h"

#include <algorithm>

#include "core/entry_asks.h"

namespace pomeloring {
namespace {

constexpr Duration kRenewInterval = seconds(2);
// After a scheduler said that it is none.
constexpr Duration kReaskDelay = milliseconds(20);
constexpr uint32_t kMostAttempts = 4;
constexpr Duration kComeBackSoon = seconds(1);

void Finish(EntryShard& shard,
            EntryOutput& output,
            EntryRequest& request,
            const Outcome& outcome,
            std::shared_ptr<const KeptAnswer> answer = nullptr) {
  const RequestId id = request.request.id;
  output.actions.push_back(FinishRequest{id, outcome});
  output.ended.push_back(
      {request.request, request.of_class.tier, outcome, std::move(answer)});
  shard.requests.erase(id);
}

// "Not run" may be said only while no attempt can have started.
Outcome GivenUp(const EntryRequest& request,
                DeclineReason reason,
                Duration retry_after) {
  if (request.may_have_started) {
    return OutcomeUnknown{UnknownReason::kRetriesSpent};
  }
  return NotRun{reason, retry_after};
}

EntryRequest* FindCurrent(EntryShard& shard, const AttemptId& attempt) {
  const auto it = shard.requests.find(attempt.request);
  if (it == shard.requests.end() || it->second.attempt != attempt.number) {
    return nullptr;
  }
  return &it->second;
}

void Report(EntryOutput& output,
            const ClusterView& view,
            const EntryRequest& request,
            SlotOutcome outcome,
            uint32_t tokens,
            Time now) {
  SlotReport report;
  report.attempt = CurrentAttempt(request);
  report.cell = request.cell;
  report.upstream = request.upstream.name;
  report.outcome = outcome;
  report.first_token = request.first_token;
  report.total = now - request.started;
  report.tokens = tokens - std::min(tokens, request.tokens);
  InstanceName to = *request.holder;
  const bool is_gone = to != view.self.name && !view.live.contains(to);
  const auto cell = view.cells.find(request.cell);
  if (is_gone && cell != view.cells.end() && !cell->second.schedulers.empty()) {
    to = cell->second.schedulers.front();
  }
  SendToPeer(output, view, to, std::move(report));
}

void RetryOrGiveUp(EntryShard& shard,
                   EntryOutput& output,
                   const ClusterView& view,
                   EntryRequest& request,
                   Time now) {
  const bool may_repeat =
      request.of_class.idempotent || !request.may_have_started;
  const bool may_retry =
      may_repeat && request.attempt < kMostAttempts && !IsTooLate(request, now);
  const bool has_budget =
      !request.may_have_started ||
      SpendRetry(shard.retry_budgets[request.of_class.name]);
  if (may_retry && has_budget) {
    Exclude(view, request, request.upstream.name);
    AskForNextAttempt(shard, output, view, request, now);
    return;
  }
  const Outcome outcome =
      request.may_have_started
          ? Outcome{OutcomeUnknown{may_repeat ? UnknownReason::kRetriesSpent
                                              : UnknownReason::kUpstreamLost}}
          : Outcome{NotRun{DeclineReason::kUpstreamRefused, kComeBackSoon}};
  Finish(shard, output, request, outcome);
}

}  // namespace

EntryOutput StartRequest(EntryShard& shard,
                         const ClusterView& view,
                         const CallerRequest& request,
                         Time received,
                         Time now) {
  EntryOutput output;
  EntryRequest& entry = shard.requests[request.id];
  entry.request = request;
  entry.received = received;
  const auto& classes = view.config.configuration->classes;
  const auto of_class = classes.find(request.request_class);
  if (of_class == classes.end()) {
    Finish(shard, output, entry,
           NotRun{DeclineReason::kNotReady, kComeBackSoon});
    return output;
  }
  entry.of_class = of_class->second;
  if (IsTooLate(entry, now)) {
    Finish(shard, output, entry,
           NotRun{DeclineReason::kTooLate, kComeBackSoon});
    return output;
  }
  AskScheduler(shard, output, view, entry, now);
  return output;
}

EntryOutput HandleGranted(EntryShard& shard,
                          const ClusterView& view,
                          const InstanceName& from,
                          const Granted& granted,
                          Time now) {
  EntryOutput output;
  EntryRequest* request = FindCurrent(shard, granted.attempt);
  if (request == nullptr) {
    // Answered, given up on or retried meanwhile: the slot is not needed.
    SendToPeer(output, view, from, Withdraw{granted.attempt, granted.cell});
    return output;
  }
  if (request->phase == RequestPhase::kRunning) {
    // The scheduler that granted it may say so twice; another one's grant is
    // given back.
    if (request->holder != from) {
      SendToPeer(output, view, from, Withdraw{granted.attempt, granted.cell});
    }
    return output;
  }
  const auto cell = view.cells.find(granted.cell);
  const Upstream* upstream = nullptr;
  if (cell != view.cells.end()) {
    for (const Upstream& candidate : cell->second.upstreams) {
      if (candidate.name == granted.upstream) {
        upstream = &candidate;
      }
    }
  }
  if (IsTooLate(*request, now)) {
    // The grant came late, or this process was paused with it in hand.
    WithdrawFrom(output, view, *request, &from);
    SendToPeer(output, view, from, Withdraw{granted.attempt, granted.cell});
    Finish(shard, output, *request,
           GivenUp(*request, DeclineReason::kTooLate, kComeBackSoon));
    return output;
  }
  if (upstream == nullptr || view.leaving.contains(granted.upstream)) {
    WithdrawFrom(output, view, *request, &from);
    SendToPeer(output, view, from, Withdraw{granted.attempt, granted.cell});
    request->excluded.push_back(granted.upstream);
    AskForNextAttempt(shard, output, view, *request, now);
    return output;
  }
  WithdrawFrom(output, view, *request, &from);
  request->holder = from;
  request->phase = RequestPhase::kRunning;
  request->upstream = *upstream;
  request->started = now;
  output.actions.push_back(
      StartUpstream{granted.attempt, *upstream, request->tokens});
  return output;
}

EntryOutput HandleQueued(EntryShard& shard,
                         const ClusterView& view,
                         const InstanceName& from,
                         const Queued& queued,
                         Time now) {
  EntryOutput output;
  EntryRequest* request = FindCurrent(shard, queued.attempt);
  if (request == nullptr) {
    SendToPeer(output, view, from, Withdraw{queued.attempt, queued.cell});
    return output;
  }
  if (request->phase != RequestPhase::kAsking) {
    return output;
  }
  request->scheduler_answered = true;
  if (request->holder && *request->holder != from) {
    SendToPeer(output, view, from, Withdraw{queued.attempt, request->cell});
    return output;
  }
  request->holder = from;
  request->renewal_unanswered = false;
  SetTimer(shard, *request, now + kRenewInterval);
  return output;
}

EntryOutput HandleDeclined(EntryShard& shard,
                           const ClusterView& view,
                           const InstanceName& from,
                           const Declined& declined,
                           Time now) {
  EntryOutput output;
  EntryRequest* request = FindCurrent(shard, declined.attempt);
  if (request == nullptr || request->phase != RequestPhase::kAsking) {
    return output;
  }
  if (declined.reason == DeclineReason::kNotScheduler) {
    request->holder.reset();
    std::erase(request->asked, from);
    SetTimer(shard, *request, now + kReaskDelay);
    return output;
  }
  const bool may_ask_elsewhere =
      declined.reason == DeclineReason::kNoUpstream &&
      view.cells_of_service.contains(request->of_class.service) &&
      request->cell_turn + 1 <
          view.cells_of_service.at(request->of_class.service).size();
  if (may_ask_elsewhere) {
    ++request->cell_turn;
    AskForNextAttempt(shard, output, view, *request, now);
    return output;
  }
  WithdrawFrom(output, view, *request, &from);
  Finish(shard, output, *request,
         GivenUp(*request, declined.reason, declined.retry_after));
  return output;
}

void HandleFirstToken(EntryShard& shard, const AttemptId& attempt, Time now) {
  EntryRequest* request = FindCurrent(shard, attempt);
  if (request != nullptr && request->phase == RequestPhase::kRunning) {
    request->first_token = now - request->started;
  }
}

EntryOutput HandleUpstreamEnded(EntryShard& shard,
                                const ClusterView& view,
                                const AttemptId& attempt,
                                const AttemptOutcome& outcome,
                                uint32_t tokens,
                                Time now) {
  EntryOutput output;
  EntryRequest* request = FindCurrent(shard, attempt);
  if (request == nullptr || request->phase != RequestPhase::kRunning) {
    return output;
  }
  if (const auto* answered = std::get_if<AttemptAnswered>(&outcome)) {
    Report(output, view, *request, SlotOutcome::kAnswered, tokens, now);
    EarnRetry(shard.retry_budgets[request->of_class.name]);
    Finish(shard, output, *request, Answered{}, answered->kept);
    return output;
  }
  const bool not_started = std::holds_alternative<AttemptNotStarted>(outcome);
  Report(output, view, *request,
         not_started ? SlotOutcome::kNotStarted : SlotOutcome::kFailed, tokens,
         now);
  request->may_have_started |= !not_started;
  request->tokens = tokens;
  RetryOrGiveUp(shard, output, view, *request, now);
  return output;
}

EntryOutput HandleCallerDisconnected(EntryShard& shard,
                                     const ClusterView& view,
                                     const RequestId& id,
                                     Time now) {
  EntryOutput output;
  const auto it = shard.requests.find(id);
  if (it == shard.requests.end()) {
    return output;
  }
  EntryRequest& request = it->second;
  if (request.phase == RequestPhase::kAsking) {
    WithdrawFrom(output, view, request, nullptr);
    Finish(shard, output, request,
           GivenUp(request, DeclineReason::kTooLate, kComeBackSoon));
    return output;
  }
  // A run that may not be repeated goes on, so that its answer can be kept for
  // the caller's return.
  if (!request.of_class.idempotent) {
    return output;
  }
  Report(output, view, request, SlotOutcome::kCancelled, request.tokens, now);
  output.actions.push_back(CancelUpstream{CurrentAttempt(request)});
  Finish(shard, output, request, OutcomeUnknown{UnknownReason::kCallerGone});
  return output;
}

EntryOutput TickEntry(EntryShard& shard, const ClusterView& view, Time now) {
  EntryOutput output;
  while (!shard.timers.empty() && shard.timers.begin()->first <= now) {
    const RequestId id = shard.timers.begin()->second;
    shard.timers.erase(shard.timers.begin());
    const auto it = shard.requests.find(id);
    if (it == shard.requests.end() ||
        it->second.phase != RequestPhase::kAsking) {
      continue;
    }
    EntryRequest& request = it->second;
    if (IsTooLate(request, now)) {
      WithdrawFrom(output, view, request, nullptr);
      const DeclineReason reason = request.scheduler_answered
                                       ? DeclineReason::kTooLate
                                       : DeclineReason::kNoScheduler;
      Finish(shard, output, request, GivenUp(request, reason, kComeBackSoon));
    } else if (now >= request.next_ask) {
      RenewOrReask(shard, output, view, request, now);
    }
  }
  return output;
}

EntryOutput ReaskAfterLoss(EntryShard& shard,
                           const ClusterView& view,
                           const InstanceName& instance,
                           Time now) {
  EntryOutput output;
  for (auto& [id, request] : shard.requests) {
    const bool was_held_there =
        request.phase == RequestPhase::kAsking && request.holder == instance;
    if (was_held_there) {
      request.holder.reset();
      request.renewal_unanswered = false;
      request.asks = FirstOtherScheduler(view, request, instance);
      AskScheduler(shard, output, view, request, now);
    }
  }
  return output;
}

void CollectHolders(const EntryShard& shard, std::set<InstanceName>& holders) {
  for (const auto& [id, request] : shard.requests) {
    if (request.phase == RequestPhase::kAsking && request.holder) {
      holders.insert(*request.holder);
    }
  }
}

void CountRunning(const EntryShard& shard,
                  std::map<CellId, std::map<UpstreamName, uint32_t>>& counts) {
  for (const auto& [id, request] : shard.requests) {
    if (request.phase == RequestPhase::kRunning) {
      ++counts[request.cell][request.upstream.name];
    }
  }
}

}  // namespace pomeloring
