// Defines RequestQuarantine: which traits of requests make upstreams exit, as
// observed by all instances together. Requests with such a trait are refused.

#ifndef POMELORING_ROUTING_REQUEST_QUARANTINE_H_
#define POMELORING_ROUTING_REQUEST_QUARANTINE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <span>
#include <unordered_map>
#include <vector>

#include "core/ids.h"
#include "routing/request_traits.h"

namespace pomeloring {

// One process of an upstream; see ProcessIdOf().
using ProcessId = uint64_t;

ProcessId ProcessIdOf(const UpstreamRecord& record);

// What is known against one trait. It is replaced by that of a higher epoch and
// merged with that of the same one, so that all instances agree in the end,
// whatever the order of their notices.
struct TraitEvidence {
  TraitKind kind = TraitKind::kPromptPart;
  // Rises when an answer to a request with the trait has gone on.
  uint32_t epoch = 0;
  // Upstreams that exited while a request with the trait had no answer there,
  // and whether that is strong evidence; see BrokenAttempt.
  std::map<ProcessId, bool> exits;
  // Answers under the trait had gone on shortly before the first exit.
  bool had_answers = false;
  bool is_quarantined = false;
  // Trials so far; see AssessRequest().
  uint32_t trials = 0;
  Time first_exit_at;
  Time last_change_at;
  Time quarantined_at;
  Time next_trial_at;
  // When this instance last observed anything or heard news.
  Time updated_at;
};

// TraitEvidence as sent to peers; times are relative to the sending.
struct TraitNotice {
  TraitId trait = 0;
  TraitKind kind = TraitKind::kPromptPart;
  uint32_t epoch = 0;
  std::vector<std::pair<ProcessId, bool>> exits;
  bool had_answers = false;
  bool is_quarantined = false;
  uint32_t trials = 0;
  Duration first_exit_age{0};
  Duration last_change_age{0};
  Duration quarantine_age{0};
  Duration until_next_trial{0};  // May be negative.
};

// An attempt without an answer whose connection broke when its upstream exited.
struct BrokenAttempt {
  std::vector<RequestTrait> traits;
  bool reply_had_begun = false;
  // No other attempt was known to be at the upstream.
  bool was_alone = false;
};

struct RequestQuarantine {
  // Limited in size; see the source.
  std::map<TraitId, TraitEvidence> traits;
  // When an answer under a trait last went on at this instance.
  std::unordered_map<TraitId, Time> last_answers;
};

enum class RequestVerdict {
  kAllowed,
  // There is strong evidence against a trait that no answer has cleared.
  // Requests with it are sent to one upstream only, the same for all instances.
  kSuspect,
  kTrial,    // Tells whether upstreams still exit under the trait.
  kRefused,  // A trait is quarantined.
};

struct RequestAssessment {
  RequestVerdict verdict = RequestVerdict::kAllowed;
  RequestTrait trait;       // The one that decides, unless kAllowed.
  Duration retry_after{0};  // For kRefused: until the next trial.
};

// Decides about a request with `traits`. Trials are spread over the instances:
// `rank` is this one's place in an order that differs between traits; see
// TrialRank().
RequestAssessment AssessRequest(const RequestQuarantine& quarantine,
                                std::span<const RequestTrait> traits,
                                size_t rank,
                                Time now);

// Returns how many of the instances `others` come before `self` in the order of
// trials of the request's quarantined trait. Both are ShortHash() of instances.
size_t TrialRank(std::span<const RequestTrait> traits,
                 const RequestQuarantine& quarantine,
                 uint32_t self,
                 std::span<const uint32_t> others);

// Records that a trial of the trait begins, which postpones the next one.
void BeginTrial(RequestQuarantine& quarantine, TraitId trait, Time now);

// Records that an upstream has exited under `attempt`. Returns the traits that
// are quarantined by it.
std::vector<TraitId> RecordExit(RequestQuarantine& quarantine,
                                const BrokenAttempt& attempt,
                                ProcessId process,
                                Time now);

// Records that an answer to a request with `traits` is complete or has gone on
// beyond its first event, which clears them. Returns whether anything was held
// against one.
bool RecordAnswer(RequestQuarantine& quarantine,
                  std::span<const RequestTrait> traits,
                  Time now);

// Whether answers under each part of the prompt among `traits` have gone on
// recently.
bool HadRecentAnswers(const RequestQuarantine& quarantine,
                      std::span<const RequestTrait> traits,
                      Time now);

// Which notices the digests over one channel have carried.
struct TraitNoticeSchedule {
  Time all_sent_at;
  std::deque<Time> recent_digests;  // The oldest first.
};

// Returns the notices for the next digest: those that may not have arrived yet,
// or, about once a second, all.
std::vector<TraitNotice> TakeTraitNotices(TraitNoticeSchedule& schedule,
                                          const RequestQuarantine& quarantine,
                                          Time now);

struct TraitNoticeResult {
  bool has_changes = false;
  std::vector<TraitId> quarantined;  // Those that were not before.
};
TraitNoticeResult ApplyTraitNotices(RequestQuarantine& quarantine,
                                    std::span<const TraitNotice> notices,
                                    Time now);

// Quarantines the traits whose evidence has become sufficient with time, and
// drops what has expired. Returns the traits quarantined.
std::vector<TraitId> TickQuarantine(RequestQuarantine& quarantine, Time now);

}  // namespace pomeloring

#endif  // POMELORING_ROUTING_REQUEST_QUARANTINE_H_
