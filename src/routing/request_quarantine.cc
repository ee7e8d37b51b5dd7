#include "routing/request_quarantine.h"

#include <algorithm>
#include <optional>

namespace pomeloring {
namespace {

// An engine that exits takes all its requests with it. Those whose reply had
// begun without an event are few, most often the one that ended it; any request
// that still waited for its prefill may be there.
constexpr size_t kExitsWithReply = 2;
constexpr size_t kExits = 4;
// For a part with recent answers: most requests with it cannot be at fault, and
// the next answer clears it.
constexpr size_t kExitsWithReplyDespiteAnswers = 3;
constexpr size_t kExitsDespiteAnswers = 6;
constexpr Duration kMinTimeWithoutAnswer = seconds(2);
// An answer is recent for this long.
constexpr Duration kAnswerRetention = seconds(30);
// Without a further exit, what is held against a part expires.
constexpr Duration kSuspicionRetention = seconds(30);
// An epoch without evidence is kept until all peers have heard of it.
constexpr Duration kClearedRetention = seconds(5);
// Each trial may end an engine: the time to the next one doubles.
constexpr Duration kFirstTrialDelay = seconds(60);
constexpr Duration kMaxTrialDelay = seconds(3600);
constexpr Duration kQuarantineRetention = 2 * kMaxTrialDelay;
// Parts that the same exits speak against are told apart by a request that has
// only one of them.
constexpr Duration kAmbiguousTrialDelay = seconds(2);
// An instance that others precede waits for their trials; word of one reaches
// it sooner than this.
constexpr Duration kTrialStagger = seconds(1);
constexpr size_t kMaxTrialRank = 30;
// Limits on memory, as callers can invent parts.
constexpr size_t kMaxTraits = 128;
constexpr size_t kMaxExitsPerTrait = 8;
constexpr size_t kMaxAnswers = 8192;

size_t ExitsWithReply(const TraitEvidence& evidence) {
  return static_cast<size_t>(
      std::count_if(evidence.exits.begin(), evidence.exits.end(),
                    [](const auto& exit) { return exit.second; }));
}

bool IsSufficient(const TraitEvidence& evidence, Time now) {
  const size_t with_reply = ExitsWithReply(evidence);
  const size_t all = evidence.exits.size();
  if (!evidence.had_answers) {
    return with_reply >= kExitsWithReply || all >= kExits;
  }
  return now - evidence.first_exit_at >= kMinTimeWithoutAnswer &&
         (with_reply >= kExitsWithReplyDespiteAnswers ||
          all >= kExitsDespiteAnswers);
}

// An exit under a quarantined part says nothing about the other parts of the
// requests that were there.
bool IsExplained(const RequestQuarantine& quarantine, ProcessId process) {
  return std::any_of(quarantine.traits.begin(), quarantine.traits.end(),
                     [&](const auto& entry) {
                       return entry.second.is_quarantined &&
                              entry.second.exits.contains(process);
                     });
}

bool HasRecentAnswer(const RequestQuarantine& quarantine,
                     TraitId part,
                     Time now) {
  const auto found = quarantine.last_answers.find(part);
  return found != quarantine.last_answers.end() &&
         now - found->second < kAnswerRetention;
}

Duration TrialDelay(uint32_t trials) {
  Duration delay = kFirstTrialDelay;
  for (uint32_t i = 0; i < trials && delay < kMaxTrialDelay; ++i) {
    delay *= 2;
  }
  return std::min(delay, kMaxTrialDelay);
}

// Quarantines all parts with sufficient evidence, those with most exits first:
// what they explain does not count against the others. Parts with the same
// exits are quarantined together.
std::vector<TraitId> Decide(RequestQuarantine& quarantine, Time now) {
  std::vector<TraitId> decided;
  while (true) {
    for (auto& [part, evidence] : quarantine.traits) {
      if (!evidence.is_quarantined) {
        std::erase_if(evidence.exits, [&](const auto& exit) {
          return IsExplained(quarantine, exit.first);
        });
      }
    }
    std::vector<std::pair<TraitId, TraitEvidence*>> most;
    for (auto& [part, evidence] : quarantine.traits) {
      if (evidence.is_quarantined || !IsSufficient(evidence, now)) {
        continue;
      }
      if (!most.empty() &&
          evidence.exits.size() > most.front().second->exits.size()) {
        most.clear();
      }
      if (most.empty() || evidence.exits == most.front().second->exits) {
        most.emplace_back(part, &evidence);
      }
    }
    if (most.empty()) {
      return decided;
    }
    for (auto& [part, evidence] : most) {
      evidence->is_quarantined = true;
      evidence->quarantined_at = now;
      evidence->last_change_at = now;
      evidence->next_trial_at =
          now + (most.size() > 1 ? kAmbiguousTrialDelay : TrialDelay(0));
      decided.push_back(part);
    }
  }
}

// Drops the suspicion that has been without an exit for longest, or else the
// oldest quarantine.
void LimitTraits(RequestQuarantine& quarantine) {
  while (quarantine.traits.size() > kMaxTraits) {
    const auto order = [](const auto& entry) {
      return std::pair(entry.second.is_quarantined,
                       entry.second.last_change_at);
    };
    quarantine.traits.erase(std::min_element(
        quarantine.traits.begin(), quarantine.traits.end(),
        [&](const auto& a, const auto& b) { return order(a) < order(b); }));
  }
}

void AddExit(TraitEvidence& evidence, ProcessId process, bool reply_had_begun) {
  if (evidence.exits.contains(process) ||
      evidence.exits.size() < kMaxExitsPerTrait) {
    evidence.exits[process] |= reply_had_begun;
  }
}

TraitEvidence EvidenceFrom(const TraitNotice& notice, Time now) {
  TraitEvidence evidence;
  evidence.epoch = notice.epoch;
  for (const auto& [process, reply_had_begun] : notice.exits) {
    AddExit(evidence, process, reply_had_begun);
  }
  evidence.had_answers = notice.had_answers;
  evidence.is_quarantined = notice.is_quarantined;
  evidence.trials = notice.trials;
  evidence.first_exit_at = now - notice.first_exit_age;
  evidence.last_change_at = now - notice.last_change_age;
  evidence.quarantined_at = now - notice.quarantine_age;
  evidence.next_trial_at = now + notice.until_next_trial;
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
  for (const auto& [process, reply_had_begun] : other.exits) {
    AddExit(evidence, process, reply_had_begun);
  }
  const bool has_news = evidence.exits != exits_before ||
                        other.trials > evidence.trials ||
                        (other.is_quarantined && !evidence.is_quarantined);
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

// Starts a new epoch without evidence. Parts that were quarantined for the same
// exits are not ambiguous any more.
void Clear(RequestQuarantine& quarantine, TraitEvidence& evidence, Time now) {
  if (evidence.is_quarantined) {
    for (auto& [part, other] : quarantine.traits) {
      if (&other != &evidence && other.is_quarantined &&
          other.exits == evidence.exits) {
        ++other.trials;
        other.next_trial_at = now + TrialDelay(other.trials);
      }
    }
  }
  const uint32_t epoch = evidence.epoch + 1;
  evidence = TraitEvidence{};
  evidence.epoch = epoch;
  evidence.last_change_at = now;
}

// Returns the index of the part that decides, and its evidence.
std::optional<std::pair<size_t, const TraitEvidence*>> FindQuarantined(
    const RequestQuarantine& quarantine,
    std::span<const PromptPart> shared,
    size_t& count) {
  std::optional<std::pair<size_t, const TraitEvidence*>> found;
  for (size_t i = 0; i < shared.size(); ++i) {
    const auto entry = quarantine.traits.find(shared[i].id);
    if (entry != quarantine.traits.end() && entry->second.is_quarantined) {
      found = {i, &entry->second};
      ++count;
    }
  }
  return found;
}

}  // namespace

ProcessId ProcessIdOf(const UpstreamRecord& record) {
  return StableHash(record.id.value,
                    static_cast<uint64_t>(record.started_at_ms));
}

std::span<const PromptPart> SharedParts(std::span<const PromptPart> parts) {
  return parts.empty() ? parts : parts.first(parts.size() - 1);
}

RequestAssessment AssessRequest(const RequestQuarantine& quarantine,
                                std::span<const PromptPart> parts,
                                size_t rank,
                                Time now) {
  const auto shared = SharedParts(parts);
  if (quarantine.traits.empty() || shared.empty()) {
    return {};
  }
  size_t count = 0;
  if (const auto found = FindQuarantined(quarantine, shared, count)) {
    const auto& [index, evidence] = *found;
    const Time trial_at =
        evidence->next_trial_at +
        static_cast<int64_t>(std::min(rank, kMaxTrialRank)) * kTrialStagger;
    // A trial with two quarantined parts would not tell which one it is.
    if (count == 1 && now >= trial_at) {
      return {RequestVerdict::kTrial, index, {}};
    }
    return {RequestVerdict::kRefused, index,
            std::max(kTrialStagger, evidence->next_trial_at - now)};
  }
  for (size_t i = shared.size(); i-- > 0;) {
    const auto entry = quarantine.traits.find(shared[i].id);
    if (entry != quarantine.traits.end() && !entry->second.had_answers &&
        ExitsWithReply(entry->second) > 0) {
      return {RequestVerdict::kSuspect, i, {}};
    }
  }
  return {};
}

size_t TrialRank(std::span<const PromptPart> parts,
                 const RequestQuarantine& quarantine,
                 uint32_t self,
                 std::span<const uint32_t> others) {
  size_t count = 0;
  const auto shared = SharedParts(parts);
  const auto found = FindQuarantined(quarantine, shared, count);
  if (!found) {
    return 0;
  }
  const auto weight = [&](uint32_t instance) {
    uint64_t seed =
        shared[found->first].id ^ (uint64_t{instance} << 32 | instance);
    return NextRandom(seed);
  };
  const uint64_t own_weight = weight(self);
  return static_cast<size_t>(std::count_if(
      others.begin(), others.end(),
      [&](uint32_t other) { return weight(other) > own_weight; }));
}

void BeginTrial(RequestQuarantine& quarantine, TraitId part, Time now) {
  TraitEvidence& evidence = quarantine.traits[part];
  ++evidence.trials;
  evidence.next_trial_at = now + TrialDelay(evidence.trials);
  evidence.last_change_at = now;
}

std::vector<TraitId> RecordExit(RequestQuarantine& quarantine,
                                std::span<const PromptPart> parts,
                                ProcessId process,
                                bool reply_had_begun,
                                Time now) {
  const auto shared = SharedParts(parts);
  size_t quarantined_parts = 0;
  FindQuarantined(quarantine, shared, quarantined_parts);
  for (const PromptPart& part : shared) {
    const auto known = quarantine.traits.find(part.id);
    const bool is_quarantined =
        known != quarantine.traits.end() && known->second.is_quarantined;
    if (quarantined_parts > 0 && !is_quarantined) {
      continue;  // Explained by the quarantined part.
    }
    const bool had_answers = HasRecentAnswer(quarantine, part.id, now);
    if (had_answers && !reply_had_begun && known == quarantine.traits.end()) {
      continue;
    }
    TraitEvidence& evidence = quarantine.traits[part.id];
    if (evidence.exits.empty()) {
      evidence.first_exit_at = now;
    }
    AddExit(evidence, process, reply_had_begun);
    evidence.had_answers |= had_answers;
    evidence.last_change_at = now;
  }
  auto decided = Decide(quarantine, now);
  LimitTraits(quarantine);
  return decided;
}

bool RecordAnswer(RequestQuarantine& quarantine,
                  std::span<const PromptPart> parts,
                  Time now) {
  bool has_cleared = false;
  for (const PromptPart& part : SharedParts(parts)) {
    quarantine.last_answers[part.id] = now;
    const auto found = quarantine.traits.find(part.id);
    if (found != quarantine.traits.end() && !found->second.exits.empty()) {
      Clear(quarantine, found->second, now);
      has_cleared = true;
    }
  }
  if (quarantine.last_answers.size() > kMaxAnswers) {
    // An arbitrary half: a part in use gets its next answer soon.
    size_t index = 0;
    std::erase_if(quarantine.last_answers,
                  [&](const auto&) { return ++index % 2 == 0; });
  }
  return has_cleared;
}

bool HadRecentAnswers(const RequestQuarantine& quarantine,
                      std::span<const PromptPart> parts,
                      Time now) {
  const auto shared = SharedParts(parts);
  return std::all_of(shared.begin(), shared.end(), [&](const auto& part) {
    return HasRecentAnswer(quarantine, part.id, now);
  });
}

std::vector<TraitNotice> MakeTraitNotices(const RequestQuarantine& quarantine,
                                          Time now) {
  std::vector<TraitNotice> notices;
  for (const auto& [part, evidence] : quarantine.traits) {
    notices.push_back({part,
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
      } else {
        evidence.had_answers |= HasRecentAnswer(quarantine, notice.trait, now);
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
