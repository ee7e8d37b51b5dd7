#include "routing/request_quarantine.h"

#include <algorithm>
#include <tuple>

namespace pomeloring {
namespace {

// An upstream that exits takes all its requests with it. Strong evidence speaks
// against few of them, most often against the one that caused it.
struct ExitThresholds {
  size_t strong;
  size_t all;
};
// Any request with the part that still waited for its prefill may be there.
constexpr ExitThresholds kPartThresholds{2, 4};
// For a part with recent answers: most requests with it cannot be at fault, and
// the next answer clears it.
constexpr ExitThresholds kAnsweredPartThresholds{3, 6};
// The same request is seldom beside the one at fault again.
constexpr ExitThresholds kWholeRequestThresholds{2, 3};
constexpr ExitThresholds kAnsweredWholeRequestThresholds{3, 3};
constexpr Duration kMinTimeWithoutAnswer = seconds(2);
// An answer is recent for this long.
constexpr Duration kAnswerRetention = seconds(30);
// Without a further exit, what is held against a part expires.
constexpr Duration kSuspicionRetention = seconds(30);
// An epoch without evidence is kept longer than instances are cut off, most of
// the time: one that has not heard of it would tell its peers the evidence
// anew.
constexpr Duration kClearedRetention = seconds(60);
// Each trial may end an upstream: the next ones come more and more rarely.
constexpr Duration kFirstTrialDelay = seconds(60);
constexpr int kTrialDelayFactor = 8;
constexpr Duration kMaxTrialDelay = seconds(3600);
constexpr Duration kQuarantineRetention = 2 * kMaxTrialDelay;
// Traits that the same exits speak against are told apart by a request that has
// only one of them.
constexpr Duration kAmbiguousTrialDelay = seconds(2);
// An instance that others precede waits for their trials; word of one reaches
// it sooner than this.
constexpr Duration kTrialStagger = seconds(1);
constexpr size_t kMaxTrialRank = 30;
// Evidence is repeated, against lost digests, for this long and in this many
// digests: relays of a large fleet send few in that time. Later digests carry
// it once in kAllNoticesInterval, for instances that have started since.
constexpr Duration kNoticeRepeatTime = milliseconds(500);
constexpr size_t kMinNoticeRepeats = 10;
constexpr Duration kAllNoticesInterval = seconds(1);
// Limits on memory, as callers can invent traits.
constexpr size_t kMaxTraits = 128;
constexpr size_t kMaxExitsPerTrait = 8;
constexpr size_t kMaxAnswers = 8192;

size_t StrongExits(const TraitEvidence& evidence) {
  return static_cast<size_t>(
      std::count_if(evidence.exits.begin(), evidence.exits.end(),
                    [](const auto& exit) { return exit.second; }));
}

bool Reaches(const TraitEvidence& evidence, const ExitThresholds& thresholds) {
  return StrongExits(evidence) >= thresholds.strong ||
         evidence.exits.size() >= thresholds.all;
}

// A request that is sent often may be at many upstreams that exit at the same
// moment, and has no answer while they are away: only further exits after a
// while speak against one that had answers.
bool IsSufficient(const TraitEvidence& evidence, Time now) {
  if (evidence.kind == TraitKind::kPromptPart) {
    return evidence.had_answers
               ? now - evidence.first_exit_at >= kMinTimeWithoutAnswer &&
                     Reaches(evidence, kAnsweredPartThresholds)
               : Reaches(evidence, kPartThresholds);
  }
  return evidence.had_answers
             ? evidence.last_change_at - evidence.first_exit_at >=
                       kMinTimeWithoutAnswer &&
                   Reaches(evidence, kAnsweredWholeRequestThresholds)
             : Reaches(evidence, kWholeRequestThresholds);
}

// An exit under a quarantined trait says nothing about the other traits of the
// requests that were there.
bool IsExplained(const RequestQuarantine& quarantine, ProcessId process) {
  return std::any_of(quarantine.traits.begin(), quarantine.traits.end(),
                     [&](const auto& entry) {
                       return entry.second.is_quarantined &&
                              entry.second.exits.contains(process);
                     });
}

bool HasRecentAnswer(const RequestQuarantine& quarantine,
                     TraitId trait,
                     Time now) {
  const auto found = quarantine.last_answers.find(trait);
  return found != quarantine.last_answers.end() &&
         now - found->second < kAnswerRetention;
}

Duration TrialDelay(uint32_t trials) {
  Duration delay = kFirstTrialDelay;
  for (uint32_t i = 0; i < trials && delay < kMaxTrialDelay; ++i) {
    delay *= kTrialDelayFactor;
  }
  return std::min(delay, kMaxTrialDelay);
}

// Quarantines all traits with sufficient evidence, those with most exits first:
// what they explain does not count against the others. Traits with the same
// exits are quarantined together.
std::vector<TraitId> Decide(RequestQuarantine& quarantine, Time now) {
  std::vector<TraitId> decided;
  while (true) {
    for (auto& [trait, evidence] : quarantine.traits) {
      if (!evidence.is_quarantined) {
        std::erase_if(evidence.exits, [&](const auto& exit) {
          return IsExplained(quarantine, exit.first);
        });
      }
    }
    std::vector<std::pair<TraitId, TraitEvidence*>> most;
    for (auto& [trait, evidence] : quarantine.traits) {
      if (evidence.is_quarantined || !IsSufficient(evidence, now)) {
        continue;
      }
      if (!most.empty() &&
          evidence.exits.size() > most.front().second->exits.size()) {
        most.clear();
      }
      if (most.empty() || evidence.exits == most.front().second->exits) {
        most.emplace_back(trait, &evidence);
      }
    }
    if (most.empty()) {
      return decided;
    }
    for (auto& [trait, evidence] : most) {
      evidence->is_quarantined = true;
      evidence->quarantined_at = now;
      evidence->last_change_at = now;
      evidence->updated_at = now;
      evidence->next_trial_at =
          now + (most.size() > 1 ? kAmbiguousTrialDelay : TrialDelay(0));
      decided.push_back(trait);
    }
  }
}

// Drops the suspicion with the fewest exits that has been without one for
// longest, or else the oldest quarantine.
void LimitTraits(RequestQuarantine& quarantine) {
  while (quarantine.traits.size() > kMaxTraits) {
    const auto order = [](const auto& entry) {
      const TraitEvidence& evidence = entry.second;
      return std::tuple(evidence.is_quarantined,
                        evidence.is_quarantined ? 0 : evidence.exits.size(),
                        evidence.last_change_at);
    };
    quarantine.traits.erase(std::min_element(
        quarantine.traits.begin(), quarantine.traits.end(),
        [&](const auto& a, const auto& b) { return order(a) < order(b); }));
  }
}

void AddExit(TraitEvidence& evidence, ProcessId process, bool is_strong) {
  if (evidence.exits.contains(process) ||
      evidence.exits.size() < kMaxExitsPerTrait) {
    evidence.exits[process] |= is_strong;
  }
}

// A part of a prompt is at an upstream with any request that has it, alone or
// not; only the one whose prefill has ended may have caused the exit.
bool IsStrong(const BrokenAttempt& attempt, TraitKind kind) {
  return attempt.reply_had_begun ||
         (attempt.was_alone && kind == TraitKind::kWholeRequest);
}

TraitEvidence EvidenceFrom(const TraitNotice& notice, Time now) {
  TraitEvidence evidence;
  evidence.kind = notice.kind;
  evidence.epoch = notice.epoch;
  for (const auto& [process, is_strong] : notice.exits) {
    AddExit(evidence, process, is_strong);
  }
  evidence.had_answers = notice.had_answers;
  evidence.is_quarantined = notice.is_quarantined;
  evidence.trials = notice.trials;
  evidence.first_exit_at = now - notice.first_exit_age;
  evidence.last_change_at = now - notice.last_change_age;
  evidence.quarantined_at = now - notice.quarantine_age;
  evidence.next_trial_at = now + notice.until_next_trial;
  evidence.updated_at = now;
  return evidence;
}

// Merges what a peer knows of the same epoch. Returns whether anything is new.
bool Merge(TraitEvidence& evidence, const TraitEvidence& other) {
  if (other.exits.empty()) {
    return false;
  }
  if (evidence.exits.empty()) {
    evidence = other;
    return true;
  }
  const auto exits_before = evidence.exits;
  for (const auto& [process, is_strong] : other.exits) {
    AddExit(evidence, process, is_strong);
  }
  const bool has_news = evidence.exits != exits_before ||
                        other.trials > evidence.trials ||
                        (other.had_answers && !evidence.had_answers) ||
                        (other.is_quarantined && !evidence.is_quarantined);
  evidence.updated_at = has_news ? other.updated_at : evidence.updated_at;
  evidence.had_answers |= other.had_answers;
  evidence.first_exit_at =
      std::min(evidence.first_exit_at, other.first_exit_at);
  evidence.last_change_at =
      std::max(evidence.last_change_at, other.last_change_at);
  if (other.is_quarantined &&
      (!evidence.is_quarantined || other.trials > evidence.trials)) {
    evidence.is_quarantined = true;
    evidence.quarantined_at = other.quarantined_at;
    evidence.trials = other.trials;
    evidence.next_trial_at = other.next_trial_at;
  }
  return has_news;
}

// Starts a new epoch without evidence. Traits that were quarantined for the
// same exits are not ambiguous any more.
void Clear(RequestQuarantine& quarantine, TraitEvidence& evidence, Time now) {
  if (evidence.is_quarantined) {
    for (auto& [trait, other] : quarantine.traits) {
      if (&other != &evidence && other.is_quarantined &&
          other.exits == evidence.exits) {
        other.updated_at = now;
        ++other.trials;
        other.next_trial_at = now + TrialDelay(other.trials);
      }
    }
  }
  TraitEvidence cleared;
  cleared.kind = evidence.kind;
  cleared.epoch = evidence.epoch + 1;
  cleared.last_change_at = now;
  cleared.updated_at = now;
  evidence = cleared;
}

// Drops the older half: traits in use get their next answer soon.
void LimitAnswers(RequestQuarantine& quarantine) {
  auto& answers = quarantine.last_answers;
  if (answers.size() <= kMaxAnswers) {
    return;
  }
  std::vector<Time> times;
  times.reserve(answers.size());
  for (const auto& [trait, time] : answers) {
    times.push_back(time);
  }
  const auto middle = times.begin() + static_cast<long>(times.size() / 2);
  std::nth_element(times.begin(), middle, times.end());
  const size_t before = answers.size();
  std::erase_if(answers,
                [&](const auto& answer) { return answer.second < *middle; });
  if (answers.size() == before) {
    answers.clear();  // All of one moment.
  }
}

struct QuarantinedTrait {
  RequestTrait trait;  // The last one.
  const TraitEvidence* evidence = nullptr;
  size_t count = 0;
};

QuarantinedTrait FindQuarantined(const RequestQuarantine& quarantine,
                                 std::span<const RequestTrait> traits) {
  QuarantinedTrait found;
  for (const RequestTrait& trait : traits) {
    const auto entry = quarantine.traits.find(trait.id);
    if (entry != quarantine.traits.end() && entry->second.is_quarantined) {
      found = {trait, &entry->second, found.count + 1};
    }
  }
  return found;
}

}  // namespace

ProcessId ProcessIdOf(const UpstreamRecord& record) {
  return StableHash(record.id.value,
                    static_cast<uint64_t>(record.started_at_ms));
}

RequestAssessment AssessRequest(const RequestQuarantine& quarantine,
                                std::span<const RequestTrait> traits,
                                size_t rank,
                                Time now) {
  if (quarantine.traits.empty()) {
    return {};
  }
  const QuarantinedTrait found = FindQuarantined(quarantine, traits);
  if (found.count > 0) {
    const Time trial_at =
        found.evidence->next_trial_at +
        static_cast<int64_t>(std::min(rank, kMaxTrialRank)) * kTrialStagger;
    // A trial with two quarantined traits would not tell which one it is.
    if (found.count == 1 && now >= trial_at) {
      return {RequestVerdict::kTrial, found.trait, {}};
    }
    return {RequestVerdict::kRefused, found.trait,
            std::max(kTrialStagger, found.evidence->next_trial_at - now)};
  }
  for (size_t i = traits.size(); i-- > 0;) {
    const auto entry = quarantine.traits.find(traits[i].id);
    if (entry != quarantine.traits.end() && !entry->second.had_answers &&
        StrongExits(entry->second) > 0) {
      return {RequestVerdict::kSuspect, traits[i], {}};
    }
  }
  return {};
}

size_t TrialRank(std::span<const RequestTrait> traits,
                 const RequestQuarantine& quarantine,
                 uint32_t self,
                 std::span<const uint32_t> others) {
  const QuarantinedTrait found = FindQuarantined(quarantine, traits);
  if (found.count == 0) {
    return 0;
  }
  const auto weight = [&](uint32_t instance) {
    uint64_t seed = found.trait.id ^ (uint64_t{instance} << 32 | instance);
    return NextRandom(seed);
  };
  const uint64_t own_weight = weight(self);
  return static_cast<size_t>(std::count_if(
      others.begin(), others.end(),
      [&](uint32_t other) { return weight(other) > own_weight; }));
}

void BeginTrial(RequestQuarantine& quarantine, TraitId trait, Time now) {
  TraitEvidence& evidence = quarantine.traits[trait];
  ++evidence.trials;
  evidence.next_trial_at = now + TrialDelay(evidence.trials);
  evidence.last_change_at = now;
  evidence.updated_at = now;
}

std::vector<TraitId> RecordExit(RequestQuarantine& quarantine,
                                const BrokenAttempt& attempt,
                                ProcessId process,
                                Time now) {
  const bool is_explained =
      FindQuarantined(quarantine, attempt.traits).count > 0;
  for (const RequestTrait& trait : attempt.traits) {
    const auto known = quarantine.traits.find(trait.id);
    const bool is_quarantined =
        known != quarantine.traits.end() && known->second.is_quarantined;
    if (is_explained && !is_quarantined) {
      continue;
    }
    const bool is_strong = IsStrong(attempt, trait.kind);
    const bool had_answers = HasRecentAnswer(quarantine, trait.id, now);
    const bool is_part = trait.kind == TraitKind::kPromptPart;
    if (is_part && had_answers && !is_strong &&
        known == quarantine.traits.end()) {
      continue;
    }
    TraitEvidence& evidence = quarantine.traits[trait.id];
    if (evidence.exits.empty()) {
      evidence.first_exit_at = now;
    }
    evidence.kind = trait.kind;
    AddExit(evidence, process, is_strong);
    evidence.had_answers |= had_answers;
    evidence.last_change_at = now;
    evidence.updated_at = now;
  }
  auto decided = Decide(quarantine, now);
  LimitTraits(quarantine);
  return decided;
}

bool RecordAnswer(RequestQuarantine& quarantine,
                  std::span<const RequestTrait> traits,
                  Time now) {
  bool has_cleared = false;
  for (const RequestTrait& trait : traits) {
    quarantine.last_answers[trait.id] = now;
    const auto found = quarantine.traits.find(trait.id);
    if (found != quarantine.traits.end() && !found->second.exits.empty()) {
      Clear(quarantine, found->second, now);
      has_cleared = true;
    }
  }
  LimitAnswers(quarantine);
  return has_cleared;
}

bool HadRecentAnswers(const RequestQuarantine& quarantine,
                      std::span<const RequestTrait> traits,
                      Time now) {
  return std::all_of(traits.begin(), traits.end(), [&](const auto& trait) {
    return trait.kind != TraitKind::kPromptPart ||
           HasRecentAnswer(quarantine, trait.id, now);
  });
}

std::vector<TraitNotice> TakeTraitNotices(TraitNoticeSchedule& schedule,
                                          const RequestQuarantine& quarantine,
                                          Time now) {
  std::deque<Time>& recent = schedule.recent_digests;
  Time since;
  if (now - schedule.all_sent_at >= kAllNoticesInterval) {
    schedule.all_sent_at = now;
  } else if (recent.size() == kMinNoticeRepeats) {
    since = std::min(now - kNoticeRepeatTime, recent.front());
  }
  recent.push_back(now);
  if (recent.size() > kMinNoticeRepeats) {
    recent.pop_front();
  }
  std::vector<TraitNotice> notices;
  for (const auto& [trait, evidence] : quarantine.traits) {
    if (evidence.updated_at < since) {
      continue;
    }
    notices.push_back({trait,
                       evidence.kind,
                       evidence.epoch,
                       {evidence.exits.begin(), evidence.exits.end()},
                       evidence.had_answers,
                       evidence.is_quarantined,
                       evidence.trials,
                       now - evidence.first_exit_at,
                       now - evidence.last_change_at,
                       now - evidence.quarantined_at,
                       evidence.next_trial_at - now});
  }
  return notices;
}

TraitNoticeResult ApplyTraitNotices(RequestQuarantine& quarantine,
                                    std::span<const TraitNotice> notices,
                                    Time now) {
  TraitNoticeResult result;
  for (const TraitNotice& notice : notices) {
    const TraitEvidence other = EvidenceFrom(notice, now);
    const auto [entry, is_new] =
        quarantine.traits.try_emplace(notice.trait, other);
    TraitEvidence& evidence = entry->second;
    const bool was_quarantined = !is_new && evidence.is_quarantined;
    if (other.epoch > evidence.epoch) {
      evidence = other;
      result.has_changes = true;
    } else if (other.epoch == evidence.epoch && !is_new) {
      result.has_changes |= Merge(evidence, other);
    }
    result.has_changes |= is_new;
    // An answer here may have gone on before the notice of an exit arrived.
    const auto answer = quarantine.last_answers.find(notice.trait);
    if (!evidence.exits.empty() && answer != quarantine.last_answers.end()) {
      if (answer->second >= evidence.first_exit_at) {
        Clear(quarantine, evidence, now);
        result.has_changes = true;
      } else if (!evidence.had_answers &&
                 HasRecentAnswer(quarantine, notice.trait, now)) {
        evidence.had_answers = true;
        evidence.updated_at = now;
        result.has_changes = true;
      }
    }
    if (evidence.is_quarantined && !was_quarantined) {
      result.quarantined.push_back(notice.trait);
    }
  }
  const auto decided = TickQuarantine(quarantine, now);
  result.quarantined.insert(result.quarantined.end(), decided.begin(),
                            decided.end());
  result.has_changes |= !decided.empty();
  return result;
}

std::vector<TraitId> TickQuarantine(RequestQuarantine& quarantine, Time now) {
  std::erase_if(quarantine.traits, [&](const auto& entry) {
    const TraitEvidence& evidence = entry.second;
    const Duration retention = evidence.is_quarantined  ? kQuarantineRetention
                               : evidence.exits.empty() ? kClearedRetention
                                                        : kSuspicionRetention;
    return now - evidence.last_change_at >= retention;
  });
  auto decided = Decide(quarantine, now);
  LimitTraits(quarantine);
  return decided;
}

}  // namespace pomeloring
