// Defines RequestQuarantine: which parts of prompts make engines exit, as
// observed by all instances together. Requests with such a part are refused.

#ifndef POMELORING_ROUTING_REQUEST_QUARANTINE_H_
#define POMELORING_ROUTING_REQUEST_QUARANTINE_H_

#include <cstdint>
#include <map>
#include <span>
#include <unordered_map>
#include <vector>

#include "core/ids.h"
#include "routing/upstream_state.h"

namespace pomeloring {

// A part of a prompt; see PromptPart::id.
using TraitId = uint64_t;
// One process of an engine; see ProcessIdOf().
using ProcessId = uint64_t;

ProcessId ProcessIdOf(const UpstreamRecord& record);

// What is known against one part. It is replaced by that of a higher epoch and
// merged with that of the same one, so that all instances agree in the end,
// whatever the order of their notices.
struct TraitEvidence {
  // Rises when an answer to a prompt with the part has gone on.
  uint32_t epoch = 0;
  // Engines that exited while a request with the part had no answer there, and
  // whether its reply had begun.
  std::map<ProcessId, bool> exits;
  // Answers to prompts with the part had gone on shortly before the first exit.
  bool had_answers = false;
  bool is_quarantined = false;
  // Trials so far; see AssessRequest().
  uint32_t trials = 0;
  Time first_exit_at;
  Time last_change_at;
  Time quarantined_at;
  Time next_trial_at;
};

// TraitEvidence as sent to peers; times are relative to the sending.
struct TraitNotice {
  TraitId trait = 0;
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

struct RequestQuarantine {
  // Limited in size; see the source.
  std::map<TraitId, TraitEvidence> traits;
  // When an answer under a part last went on at this instance.
  std::unordered_map<TraitId, Time> last_answers;
};

enum class RequestVerdict {
  kAllowed,
  // An engine has exited under a part that no answer has cleared. Requests with
  // it are sent to one engine only, the same for all instances.
  kSuspect,
  kTrial,    // Tells whether engines still exit under the part.
  kRefused,  // A part is quarantined.
};

struct RequestAssessment {
  RequestVerdict verdict = RequestVerdict::kAllowed;
  size_t part_index = 0;    // Of the part that decides, unless kAllowed.
  Duration retry_after{0};  // For kRefused: until the next trial.
};

// Returns the parts that other requests may share: all but the last, which
// belongs to the request or its session.
std::span<const PromptPart> SharedParts(std::span<const PromptPart> parts);

// Decides about a request with the prompt `parts`. Trials are spread over the
// instances: `rank` is this one's place in an order that differs between parts;
// see TrialRank().
RequestAssessment AssessRequest(const RequestQuarantine& quarantine,
                                std::span<const PromptPart> parts,
                                size_t rank,
                                Time now);

// Returns how many of the instances `others` come before `self` in the order of
// trials of the prompt's quarantined part. Both are ShortHash() of instances.
size_t TrialRank(std::span<const PromptPart> parts,
                 const RequestQuarantine& quarantine,
                 uint32_t self,
                 std::span<const uint32_t> others);

// Records that a trial of the part begins, which postpones the next one.
void BeginTrial(RequestQuarantine& quarantine, TraitId part, Time now);

// Records that an engine has exited while a request with `parts` had no answer
// there. Returns the parts that are quarantined by it.
std::vector<TraitId> RecordExit(RequestQuarantine& quarantine,
                                std::span<const PromptPart> parts,
                                ProcessId process,
                                bool reply_had_begun,
                                Time now);

// Records that an answer to a prompt with `parts` has gone on beyond its first
// event, which clears them. Returns whether anything was held against one.
bool RecordAnswer(RequestQuarantine& quarantine,
                  std::span<const PromptPart> parts,
                  Time now);

// Whether answers under each of the shared parts have gone on recently.
bool HadRecentAnswers(const RequestQuarantine& quarantine,
                      std::span<const PromptPart> parts,
                      Time now);

std::vector<TraitNotice> MakeTraitNotices(const RequestQuarantine& quarantine,
                                          Time now);

struct TraitNoticeResult {
  bool has_changes = false;
  std::vector<TraitId> quarantined;  // Those that were not before.
};
TraitNoticeResult ApplyTraitNotices(RequestQuarantine& quarantine,
                                    std::span<const TraitNotice> notices,
                                    Time now);

// Quarantines the parts whose evidence has become sufficient with time, and
// drops what has expired. Returns the parts quarantined.
std::vector<TraitId> TickQuarantine(RequestQuarantine& quarantine, Time now);

}  // namespace pomeloring

#endif  // POMELORING_ROUTING_REQUEST_QUARANTINE_H_
