// Defines EntryShard: the requests whose callers are connected to this
// instance, from acceptance to their one final outcome.

#ifndef POMELORING_CORE_ENTRY_H_
#define POMELORING_CORE_ENTRY_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/action.h"
#include "core/cluster_view.h"
#include "core/retry_budget.h"

namespace pomeloring {

// A request as received from its caller.
struct CallerRequest {
  RequestId id;
  ClassName request_class;
  AccountName account;
  uint64_t prefix_hash = 0;
  uint64_t body_hash = 0;
  std::string key;         // Idempotency key; empty if there is none.
  bool forwarded = false;  // By another instance, because of its key.
};

enum class RequestPhase { kWaitingForSlot, kRunning };

struct EntryRequest {
  CallerRequest request;
  RequestClass class_config;
  RequestPhase phase = RequestPhase::kWaitingForSlot;
  Time received;
  uint32_t attempt = 1;
  CellId cell;
  size_t cell_choice = 0;  // See CellFor().
  // Of the current attempt:
  std::vector<InstanceName> contacted_schedulers;
  std::optional<InstanceName> scheduler;  // That queued or granted it.
  bool renewal_unanswered = false;
  Time resend_at;  // When to resend the slot request or, if queued, renew it.
  uint32_t next_scheduler = 0;  // Index, modulo the number of schedulers.
  bool scheduler_answered = false;
  Upstream upstream;
  Time started;
  Duration first_token{0};  // From `started`; 0: no token has arrived.
  // Over all attempts:
  bool may_have_started = false;
  uint32_t tokens = 0;  // Delivered to the caller.
  std::vector<UpstreamName> excluded;
};

struct EntryShard {
  std::unordered_map<RequestId, EntryRequest> requests;
  std::multimap<Time, RequestId> timers;
  std::map<ClassName, RetryBudget> retry_budgets;
};

// A request has ended. The instance updates its keys and account limits.
struct RequestEnded {
  CallerRequest request;
  Tier tier;  // At its start; the configuration may have changed since.
  Outcome outcome;
  std::shared_ptr<const KeptAnswer> answer;
};

struct EntryOutput {
  Actions actions;
  std::vector<RequestEnded> ended;
};

// Requests a slot, or finishes the request at once if its class is unknown or
// its deadline has passed. `received` is when the caller's request arrived.
EntryOutput StartRequest(EntryShard& shard,
                         const ClusterView& view,
                         const CallerRequest& request,
                         Time received,
                         Time now);

// Replies of schedulers. A grant or a place in a queue that is no longer needed
// is answered with a Withdraw.
EntryOutput HandleGranted(EntryShard& shard,
                          const ClusterView& view,
                          const InstanceName& from,
                          const Granted& granted,
                          Time now);
EntryOutput HandleQueued(EntryShard& shard,
                         const ClusterView& view,
                         const InstanceName& from,
                         const Queued& queued,
                         Time now);
EntryOutput HandleDeclined(EntryShard& shard,
                           const ClusterView& view,
                           const InstanceName& from,
                           const Declined& declined,
                           Time now);

void HandleFirstToken(EntryShard& shard, const AttemptId& attempt, Time now);

// Reports the attempt to its scheduler, and finishes or retries the request.
// `tokens` counts those delivered to the caller over all attempts.
EntryOutput HandleAttemptEnded(EntryShard& shard,
                               const ClusterView& view,
                               const AttemptId& attempt,
                               const AttemptOutcome& outcome,
                               uint32_t tokens,
                               Time now);

// Ends the request, unless it runs and is not idempotent: then it continues, so
// that its answer can be replayed.
EntryOutput HandleCallerDisconnected(EntryShard& shard,
                                     const ClusterView& view,
                                     const RequestId& request,
                                     Time now);

// Renews or resends the slot requests that are due, and finishes those that are
// past their deadline.
EntryOutput TickEntry(EntryShard& shard, const ClusterView& view, Time now);

// Resends every slot request that is queued at `instance`, which is lost, to
// another scheduler at once.
EntryOutput ResendAfterSchedulerLoss(EntryShard& shard,
                                     const ClusterView& view,
                                     const InstanceName& instance,
                                     Time now);

// Adds the instances at which slot requests of this shard are queued.
void CollectSchedulers(const EntryShard& shard,
                       std::set<InstanceName>& schedulers);

// Adds the running attempts of this shard to `counts`.
void CountRunning(const EntryShard& shard,
                  std::map<CellId, std::map<UpstreamName, uint32_t>>& counts);

}  // namespace pomeloring

#endif  // POMELORING_CORE_ENTRY_H_
