#include "core/entry.h"

#include <algorithm>

#include "core/entry_slot_requests.h"

namespace pomeloring {
namespace {

constexpr Duration kRenewInterval = seconds(2);
// How long to wait before a slot request is resent after an instance answered
// that it is not the scheduler.
constexpr Duration kResendDelay = milliseconds(20);
constexpr uint32_t kMaxAttempts = 4;
constexpr Duration kDefaultRetryAfter = seconds(1);

void Finish(EntryShard& shard,
            EntryOutput& output,
            EntryRequest& request,
            const Outcome& outcome,
            std::shared_ptr<const KeptAnswer> answer = nullptr) {
  const RequestId id = request.request.id;
  output.actions.push_back(FinishRequest{id, outcome});
  output.ended.push_back(
      {request.request, request.class_config.tier, outcome, std::move(answer)});
  shard.requests.erase(id);
}

// NotRun may be reported only while no attempt can have started.
Outcome NotRunOrUnknown(const EntryRequest& request,
                        DeclineReason reason,
                        Duration retry_after) {
  if (request.may_have_started) {
    return OutcomeUnknown{UnknownReason::kRetriesSpent};
  }
  return NotRun{reason, retry_after};
}

EntryRequest* FindCurrentAttempt(EntryShard& shard, const AttemptId& attempt) {
  const auto it = shard.requests.find(attempt.request);
  if (it == shard.requests.end() || it->second.attempt != attempt.number) {
    return nullptr;
  }
  return &it->second;
}

void SendReport(EntryOutput& output,
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
  InstanceName to = *request.scheduler;
  const bool is_lost = to != view.self.name && !view.live.contains(to);
  const auto cell = view.cells.find(request.cell);
  if (is_lost && cell != view.cells.end() && !cell->second.schedulers.empty()) {
    to = cell->second.schedulers.front();
  }
  SendToPeer(output, view, to, std::move(report));
}

void RetryOrFinish(EntryShard& shard,
                   EntryOutput& output,
                   const ClusterView& view,
                   EntryRequest& request,
                   Time now) {
  const bool is_retryable =
      request.class_config.idempotent || !request.may_have_started;
  const bool may_retry = is_retryable && request.attempt < kMaxAttempts &&
                         !IsPastDeadline(request, now);
  const bool has_budget =
      !request.may_have_started ||
      SpendRetry(shard.retry_budgets[request.class_config.name]);
  if (may_retry && has_budget) {
    ExcludeUpstream(view, request, request.upstream.name);
    RequestSlotForNextAttempt(shard, output, view, request, now);
    return;
  }
  const Outcome outcome =
      request.may_have_started
          ? Outcome{OutcomeUnknown{is_retryable ? UnknownReason::kRetriesSpent
                                                : UnknownReason::kUpstreamLost}}
          : Outcome{
                NotRun{DeclineReason::kUpstreamRefused, kDefaultRetryAfter}};
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
  const auto class_config = classes.find(request.request_class);
  if (class_config == classes.end()) {
    Finish(shard, output, entry,
           NotRun{DeclineReason::kNotReady, kDefaultRetryAfter});
    return output;
  }
  entry.class_config = class_config->second;
  if (IsPastDeadline(entry, now)) {
    Finish(shard, output, entry,
           NotRun{DeclineReason::kTooLate, kDefaultRetryAfter});
    return output;
  }
  SendSlotRequest(shard, output, view, entry, now);
  return output;
}

EntryOutput HandleGranted(EntryShard& shard,
                          const ClusterView& view,
                          const InstanceName& from,
                          const Granted& granted,
                          Time now) {
  EntryOutput output;
  EntryRequest* request = FindCurrentAttempt(shard, granted.attempt);
  if (request == nullptr) {
    // The request has ended or is at a later attempt: the slot is not needed.
    SendToPeer(output, view, from, Withdraw{granted.attempt, granted.cell});
    return output;
  }
  if (request->phase == RequestPhase::kRunning) {
    // A repeated grant of the slot in use is ignored; a grant by another
    // scheduler is returned.
    if (request->scheduler != from) {
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
  if (IsPastDeadline(*request, now)) {
    // The grant arrived late, or this process was paused before handling it.
    WithdrawSlotRequest(output, view, *request, &from);
    SendToPeer(output, view, from, Withdraw{granted.attempt, granted.cell});
    Finish(
        shard, output, *request,
        NotRunOrUnknown(*request, DeclineReason::kTooLate, kDefaultRetryAfter));
    return output;
  }
  if (upstream == nullptr || view.leaving.contains(granted.upstream)) {
    WithdrawSlotRequest(output, view, *request, &from);
    SendToPeer(output, view, from, Withdraw{granted.attempt, granted.cell});
    request->excluded.push_back(granted.upstream);
    RequestSlotForNextAttempt(shard, output, view, *request, now);
    return output;
  }
  WithdrawSlotRequest(output, view, *request, &from);
  request->scheduler = from;
  request->phase = RequestPhase::kRunning;
  request->upstream = *upstream;
  request->started = now;
  output.actions.push_back(
      StartUpstreamAttempt{granted.attempt, *upstream, request->tokens});
  return output;
}

EntryOutput HandleQueued(EntryShard& shard,
                         const ClusterView& view,
                         const InstanceName& from,
                         const Queued& queued,
                         Time now) {
  EntryOutput output;
  EntryRequest* request = FindCurrentAttempt(shard, queued.attempt);
  if (request == nullptr) {
    SendToPeer(output, view, from, Withdraw{queued.attempt, queued.cell});
    return output;
  }
  if (request->phase != RequestPhase::kWaitingForSlot) {
    return output;
  }
  request->scheduler_answered = true;
  if (request->scheduler && *request->scheduler != from) {
    SendToPeer(output, view, from, Withdraw{queued.attempt, request->cell});
    return output;
  }
  request->scheduler = from;
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
  EntryRequest* request = FindCurrentAttempt(shard, declined.attempt);
  if (request == nullptr || request->phase != RequestPhase::kWaitingForSlot) {
    return output;
  }
  if (declined.reason == DeclineReason::kNotScheduler) {
    request->scheduler.reset();
    std::erase(request->contacted_schedulers, from);
    SetTimer(shard, *request, now + kResendDelay);
    return output;
  }
  const bool may_try_next_cell =
      declined.reason == DeclineReason::kNoUpstream &&
      view.cells_of_service.contains(request->class_config.service) &&
      request->cell_choice + 1 <
          view.cells_of_service.at(request->class_config.service).size();
  if (may_try_next_cell) {
    ++request->cell_choice;
    RequestSlotForNextAttempt(shard, output, view, *request, now);
    return output;
  }
  WithdrawSlotRequest(output, view, *request, &from);
  Finish(shard, output, *request,
         NotRunOrUnknown(*request, declined.reason, declined.retry_after));
  return output;
}

void HandleFirstToken(EntryShard& shard, const AttemptId& attempt, Time now) {
  EntryRequest* request = FindCurrentAttempt(shard, attempt);
  if (request != nullptr && request->phase == RequestPhase::kRunning) {
    request->first_token = now - request->started;
  }
}

EntryOutput HandleAttemptEnded(EntryShard& shard,
                               const ClusterView& view,
                               const AttemptId& attempt,
                               const AttemptOutcome& outcome,
                               uint32_t tokens,
                               Time now) {
  EntryOutput output;
  EntryRequest* request = FindCurrentAttempt(shard, attempt);
  if (request == nullptr || request->phase != RequestPhase::kRunning) {
    return output;
  }
  if (const auto* answered = std::get_if<AttemptAnswered>(&outcome)) {
    SendReport(output, view, *request, SlotOutcome::kAnswered, tokens, now);
    EarnRetry(shard.retry_budgets[request->class_config.name]);
    Finish(shard, output, *request, Answered{}, answered->kept);
    return output;
  }
  const bool not_started = std::holds_alternative<AttemptNotStarted>(outcome);
  SendReport(output, view, *request,
             not_started ? SlotOutcome::kNotStarted : SlotOutcome::kFailed,
             tokens, now);
  request->may_have_started |= !not_started;
  request->tokens = tokens;
  RetryOrFinish(shard, output, view, *request, now);
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
  if (request.phase == RequestPhase::kWaitingForSlot) {
    WithdrawSlotRequest(output, view, request, nullptr);
    Finish(
        shard, output, request,
        NotRunOrUnknown(request, DeclineReason::kTooLate, kDefaultRetryAfter));
    return output;
  }
  // An attempt that must not be retried continues, so that its answer can be
  // stored and replayed when the caller repeats the request.
  if (!request.class_config.idempotent) {
    return output;
  }
  SendReport(output, view, request, SlotOutcome::kCancelled, request.tokens,
             now);
  output.actions.push_back(CancelUpstreamAttempt{CurrentAttempt(request)});
  Finish(shard, output, request,
         OutcomeUnknown{UnknownReason::kCallerDisconnected});
  return output;
}

EntryOutput TickEntry(EntryShard& shard, const ClusterView& view, Time now) {
  EntryOutput output;
  while (!shard.timers.empty() && shard.timers.begin()->first <= now) {
    const RequestId id = shard.timers.begin()->second;
    shard.timers.erase(shard.timers.begin());
    const auto it = shard.requests.find(id);
    if (it == shard.requests.end() ||
        it->second.phase != RequestPhase::kWaitingForSlot) {
      continue;
    }
    EntryRequest& request = it->second;
    if (IsPastDeadline(request, now)) {
      WithdrawSlotRequest(output, view, request, nullptr);
      const DeclineReason reason = request.scheduler_answered
                                       ? DeclineReason::kTooLate
                                       : DeclineReason::kNoScheduler;
      Finish(shard, output, request,
             NotRunOrUnknown(request, reason, kDefaultRetryAfter));
    } else if (now >= request.resend_at) {
      RenewOrResend(shard, output, view, request, now);
    }
  }
  return output;
}

EntryOutput ResendAfterSchedulerLoss(EntryShard& shard,
                                     const ClusterView& view,
                                     const InstanceName& instance,
                                     Time now) {
  EntryOutput output;
  for (auto& [id, request] : shard.requests) {
    const bool was_queued_there =
        request.phase == RequestPhase::kWaitingForSlot &&
        request.scheduler == instance;
    if (was_queued_there) {
      request.scheduler.reset();
      request.renewal_unanswered = false;
      request.next_scheduler = FirstOtherScheduler(view, request, instance);
      SendSlotRequest(shard, output, view, request, now);
    }
  }
  return output;
}

void CollectSchedulers(const EntryShard& shard,
                       std::set<InstanceName>& schedulers) {
  for (const auto& [id, request] : shard.requests) {
    if (request.phase == RequestPhase::kWaitingForSlot && request.scheduler) {
      schedulers.insert(*request.scheduler);
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
