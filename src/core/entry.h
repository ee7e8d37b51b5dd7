// Defines EntryShard: the requests whose callers are connected to this
// instance, from acceptance to the one final answer.

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

// A request as it came from its caller.
struct CallerRequest {
  RequestId id;
  ClassName request_class;
  AccountName account;
  uint64_t prefix_hash = 0;
  uint64_t body_hash = 0;
  std::string key;         // Idempotency key; empty if there is none.
  bool forwarded = false;  // By another instance, for its key.
};

enum class RequestPhase { kAsking, kRunning };

struct EntryRequest {
  CallerRequest request;
  RequestClass of_class;
  RequestPhase phase = RequestPhase::kAsking;
  Time received;
  uint32_t attempt = 1;
  CellId cell;
  size_t cell_turn = 0;
  // Of the current attempt:
  std::vector<InstanceName> asked;
  std::optional<InstanceName> holder;  // Where the ask is queued or granted.
  bool renewal_unanswered = false;
  Time next_ask;
  uint32_t asks = 0;
  bool scheduler_answered = false;
  Upstream upstream;
  Time started;
  Duration first_token{0};
  // Over all attempts:
  bool may_have_started = false;
  uint32_t tokens = 0;
  std::vector<UpstreamName> excluded;
};

struct EntryShard {
  std::unordered_map<RequestId, EntryRequest> requests;
  std::multimap<Time, RequestId> timers;
  std::map<ClassName, RetryBudget> retry_budgets;
};

// A request has ended; the instance passes it on to keys and limits.
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

EntryOutput StartRequest(EntryShard& shard,
                         const ClusterView& view,
                         const CallerRequest& request,
                         Time received,
                         Time now);

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

// `tokens` counts those delivered to the caller over all attempts.
EntryOutput HandleUpstreamEnded(EntryShard& shard,
                                const ClusterView& view,
                                const AttemptId& attempt,
                                const AttemptOutcome& outcome,
                                uint32_t tokens,
                                Time now);

EntryOutput HandleCallerDisconnected(EntryShard& shard,
                                     const ClusterView& view,
                                     const RequestId& request,
                                     Time now);

EntryOutput TickEntry(EntryShard& shard, const ClusterView& view, Time now);

// Asks another scheduler at once for every request that is queued at
// `instance`.
EntryOutput ReaskAfterLoss(EntryShard& shard,
                           const ClusterView& view,
                           const InstanceName& instance,
                           Time now);

// Adds the instances at which asks of this shard are queued.
void CollectHolders(const EntryShard& shard, std::set<InstanceName>& holders);

// Adds what this shard runs to `counts`.
void CountRunning(const EntryShard& shard,
                  std::map<CellId, std::map<UpstreamName, uint32_t>>& counts);

}  // namespace pomeloring

#endif  // POMELORING_CORE_ENTRY_H_
