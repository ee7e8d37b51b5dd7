// In any order of freezes, partitions, lost and late appends, restores of the
// log, restarts and kills of all instances: no two holders act at once, no
// holder's fencing token is lower than an earlier one, and holders do not
// alternate within a lease. A lost holder is replaced in time.

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <map>
#include <set>

#include "pomeloring/duties.h"

namespace pomeloring {
namespace {

constexpr size_t kInstances = 4;
constexpr Duration kLease = seconds(3);
// A call may be sent until the end of the lease if it began in time.
constexpr Duration kCallTimeout{0};
constexpr Duration kTick = milliseconds(10);
constexpr Duration kReplyDelay = milliseconds(10);
constexpr Duration kAppendTimeout = milliseconds(900);
constexpr int kEraBits = 40;

// What the API has seen.
struct ApiModel {
  struct Call {
    Time at;
    std::string holder;
    uint64_t token = 0;
  };
  std::vector<Call> calls;
  std::map<uint64_t, std::string> holder_of;

  // Returns the violated rule, if any.
  std::string Receive(const Call& call) {
    const auto [owner, is_new] = holder_of.try_emplace(call.token, call.holder);
    if (owner->second != call.holder) {
      return "two holders with one token";
    }
    if (call.token < holder_of.rbegin()->first) {
      return "a token lower than an earlier one";
    }
    std::set<std::string> between;
    for (auto past = calls.rbegin();
         past != calls.rend() && call.at - past->at < kLease; ++past) {
      if (past->holder != call.holder) {
        between.insert(past->holder);
      } else if (!between.empty()) {
        return "holders alternate within a lease";
      }
    }
    calls.push_back(call);
    return {};
  }
};

// The topic in its present era.
struct LogModel {
  uint64_t era = 0;
  uint64_t first = 0;
  std::vector<DutyRecord> records;  // From offset 0.
  bool is_down = false;

  LogOffset PositionOf(uint64_t offset) const {
    return {era << kEraBits | offset};
  }
  // As the store does, compares the offset alone.
  std::optional<LogOffset> Append(const DutyRecord& record) {
    const uint64_t offset = record.at.value & ((uint64_t{1} << kEraBits) - 1);
    if (offset != records.size()) {
      return std::nullopt;
    }
    records.push_back(record);
    return PositionOf(offset);
  }
  // From a copy that lacks the newest records.
  void Restore(size_t missing) {
    records.resize(records.size() - std::min(records.size(), missing));
    ++era;
    first = std::min<uint64_t>(first, records.size());
  }
};

enum class Phase { kIdle, kReading, kAppending, kSleeping };

struct Instance {
  DutyLease lease;
  bool is_up = true;
  bool is_frozen = false;
  bool has_log = true;
  bool has_peers = true;
  // One call to the log at a time, as in DutyRunner.
  Phase phase = Phase::kIdle;
  Time phase_ends;
  LogOffset read_from;
  DutyRecord sent;
  DutyAppendResult result;
  uint64_t known_era = 0;
  bool wants_release = false;
};

// An append that is executed without its sender's knowledge.
struct LateAppend {
  Time at;
  DutyRecord record;
};

struct Site {
  Time now{seconds(100)};
  LogModel log;
  ApiModel api;
  std::array<Instance, kInstances> instances;
  std::vector<LateAppend> late;
  uint64_t processes = 0;
  uint64_t random = 1;
  uint32_t lost_of_16 = 0;  // Appends without a reply.
  std::string violation;

  Site() {
    for (size_t i = 0; i < kInstances; ++i) {
      Start(i);
    }
  }

  static std::string NameOf(size_t i) { return fmt::format("i{}", i); }

  void Start(size_t i) {
    const bool has_log = instances[i].has_log;
    instances[i] = {};
    instances[i].has_log = has_log;
    instances[i].lease =
        MakeDutyLease({{NameOf(i)}, {++processes}, kLease}, now);
  }

  void Kill(size_t i) { instances[i].is_up = false; }

  size_t RankOf(size_t i) const {
    std::vector<DutyCandidate> live;
    for (size_t j = 0; j < kInstances; ++j) {
      const Instance& other = instances[j];
      if (other.is_up && !other.lease.is_leaving &&
          (j == i || (other.has_peers && instances[i].has_peers))) {
        live.push_back({{NameOf(j)}, 100});
      }
    }
    return RankCandidate(live, {NameOf(i)}, instances[i].lease.holder);
  }

  void ExchangeNotices(size_t i) {
    Instance& to = instances[i];
    for (Instance& from : instances) {
      if (from.is_up && !from.is_frozen && from.has_peers && to.has_peers) {
        ApplyDutyNotice(to.lease, MakeDutyNotice(from.lease), now);
      }
    }
  }

  bool CanReachLog(const Instance& instance) const {
    return instance.has_log && !log.is_down;
  }

  void BeginAppend(Instance& instance, DutyRecordKind kind) {
    instance.sent = BeginDutyAppend(instance.lease, kind, now);
    instance.phase = Phase::kAppending;
    instance.phase_ends = now + kReplyDelay;
    const uint64_t draw = NextRandom(random) % 16;
    if (!CanReachLog(instance)) {
      instance.result = DutyAppendRefused{};
    } else if (instance.sent.at.value >> kEraBits < instance.known_era) {
      instance.result = DutyEndDiffers{};
    } else if (draw < lost_of_16) {
      instance.result = DutyAppendUnanswered{};
      instance.phase_ends = now + kAppendTimeout;
      // Executed at once, later or never.
      if (const uint64_t fate = NextRandom(random) % 3; fate < 2) {
        late.push_back(
            {now + static_cast<int64_t>(fate * (NextRandom(random) % 5000)) *
                       milliseconds(1),
             instance.sent});
      }
    } else if (const auto position = log.Append(instance.sent)) {
      instance.known_era = log.era;
      instance.result = DutyAppended{*position};
    } else {
      instance.known_era = log.era;
      instance.result = DutyEndDiffers{};
    }
  }

  void Read(Instance& instance) {
    if (!CanReachLog(instance)) {
      instance.phase = Phase::kSleeping;
      instance.phase_ends = now + milliseconds(200);
      return;
    }
    const LogOffset from = instance.read_from;
    instance.known_era = std::max(instance.known_era, log.era);
    uint64_t offset = from.value & ((uint64_t{1} << kEraBits) - 1);
    const bool is_other_era = from.value >> kEraBits < log.era;
    if (offset < log.first || (is_other_era && offset > 0)) {
      ApplyDutyGap(instance.lease, log.PositionOf(log.first), now);
      return;
    }
    std::vector<PositionedDutyRecord> page;
    for (; offset < log.records.size() && page.size() < 64; ++offset) {
      page.push_back({log.PositionOf(offset), log.records[offset]});
    }
    ApplyDutyPage(instance.lease, from, page,
                  log.PositionOf(log.records.size()), now);
  }

  void Run(size_t i) {
    Instance& instance = instances[i];
    if (!instance.is_up || instance.is_frozen) {
      return;
    }
    ExchangeNotices(i);
    Act(i);
    if (instance.phase == Phase::kReading &&
        (now >= instance.phase_ends || HasNewRecord(instance))) {
      instance.phase = Phase::kIdle;
      Read(instance);
    } else if (instance.phase == Phase::kAppending &&
               now >= instance.phase_ends) {
      instance.phase = Phase::kIdle;
      EndDutyAppend(instance.lease, instance.sent, instance.result, now);
    } else if (now >= instance.phase_ends) {
      instance.phase = Phase::kIdle;
    }
    if (instance.phase == Phase::kIdle) {
      Step(i);
    }
  }

  bool HasNewRecord(const Instance& instance) const {
    return CanReachLog(instance) &&
           instance.read_from.value < log.PositionOf(log.records.size()).value;
  }

  void Step(size_t i) {
    Instance& instance = instances[i];
    if (instance.lease.is_leaving && instance.lease.token &&
        !instance.lease.must_read) {
      BeginAppend(instance, DutyRecordKind::kRelease);
      return;
    }
    const DutyStep step = NextDutyStep(instance.lease, RankOf(i), now);
    switch (step.kind) {
      case DutyStepKind::kWait:
        break;
      case DutyStepKind::kRead:
        instance.phase = Phase::kReading;
        instance.read_from = NextDutyRead(instance.lease);
        instance.phase_ends = now + std::max(step.wait, kReplyDelay);
        break;
      case DutyStepKind::kClaim:
        BeginAppend(instance, DutyRecordKind::kClaim);
        break;
      case DutyStepKind::kRenew:
        BeginAppend(instance, DutyRecordKind::kRenewal);
        break;
    }
  }

  void Act(size_t i) {
    const Instance& instance = instances[i];
    if (violation.empty() && MayAct(instance.lease, kCallTimeout, now)) {
      violation = api.Receive({now, NameOf(i), instance.lease.token->value});
    }
    // Two at once would also be seen as alternation or as a lower token later.
    const auto acting = std::count_if(
        instances.begin(), instances.end(), [&](const Instance& other) {
          return other.is_up && !other.is_frozen &&
                 MayAct(other.lease, kCallTimeout, now);
        });
    if (violation.empty() && acting > 1) {
      violation = "two instances may act";
    }
  }

  void Advance(Duration duration) {
    for (const Time until = now + duration; now < until; now += kTick) {
      std::erase_if(late, [&](const LateAppend& append) {
        if (append.at > now) {
          return false;
        }
        log.Append(append.record);
        return true;
      });
      const size_t first = NextRandom(random) % kInstances;
      for (size_t i = 0; i < kInstances; ++i) {
        Run((first + i) % kInstances);
      }
    }
  }

  std::optional<size_t> Holder() const {
    for (size_t i = 0; i < kInstances; ++i) {
      if (instances[i].is_up && MayAct(instances[i].lease, {}, now)) {
        return i;
      }
    }
    return std::nullopt;
  }

  // Returns how long it takes until an instance other than `except` may act.
  Duration TimeToHolder(size_t except, Duration limit) {
    const Time from = now;
    while (now - from < limit) {
      const auto holder = Holder();
      if (holder && *holder != except) {
        break;
      }
      Advance(kTick);
    }
    return now - from;
  }

  void Apply(uint32_t kind, uint32_t a, uint32_t b) {
    // Every other fault is aimed at the holder.
    const size_t drawn = a % kInstances;
    const size_t target = b % 2 == 0 ? Holder().value_or(drawn) : drawn;
    Instance& instance = instances[target];
    switch (kind % 12) {
      case 0:
        instance.is_frozen = !instance.is_frozen;
        break;
      case 1:
        instance.has_log = !instance.has_log;
        break;
      case 2:
        instance.has_peers = !instance.has_peers;
        break;
      case 3:
        Kill(target);
        Start(target);
        break;
      case 4:
        Kill(target);
        break;
      case 5:
        LeaveDuties(instance.lease);
        break;
      case 6:
        LeaveDuties(instance.lease);
        Advance(milliseconds(10) * static_cast<int64_t>(5 + a % 60));
        Kill(target);
        Start(target);
        break;
      case 7:
        log.Restore(a % 6);
        break;
      case 8:
        log.first =
            log.records.size() - std::min<size_t>(log.records.size(), b % 8);
        break;
      case 9:
        lost_of_16 = a % 12;
        break;
      case 10:
        if (b % 4 == 0) {
          for (size_t i = 0; i < kInstances; ++i) {
            Kill(i);
            Start(i);
          }
        }
        log.is_down = b % 3 == 0;
        break;
      default:
        if (!instances[drawn].is_up || instances[drawn].lease.is_leaving) {
          Start(drawn);
        }
    }
    // Most faults follow each other fast, within a lease.
    Advance(milliseconds(10) *
            static_cast<int64_t>(1 + a * b % (a % 4 == 0 ? 400 : 50)));
  }

  void Heal() {
    log.is_down = false;
    lost_of_16 = 0;
    for (size_t i = 0; i < kInstances; ++i) {
      instances[i].is_frozen = false;
      instances[i].has_log = true;
      instances[i].has_peers = true;
      if (!instances[i].is_up || instances[i].lease.is_leaving) {
        Start(i);
      }
    }
  }
};

TEST_CASE("No two instances act as the holder of the duties") {
  using RawStep = std::tuple<uint8_t, uint8_t, uint8_t>;
  CHECK(rc::check("one holder",
                  [](const std::vector<RawStep>& steps, uint64_t random) {
                    Site site;
                    site.random = random;
                    site.Advance(seconds(4));
                    for (const auto& [kind, a, b] : steps) {
                      site.Apply(kind, a, b);
                      if (!site.violation.empty()) {
                        RC_FAIL(site.violation);
                      }
                    }
                    site.Heal();
                    site.Advance(seconds(12));
                    RC_ASSERT(site.violation.empty());
                    RC_ASSERT(site.Holder().has_value());
                  }));
}

TEST_CASE("The duties have one holder in long runs") {
  CHECK(rc::check("one holder", [](uint64_t random) {
    Site site;
    site.random = random;
    for (int i = 0; i < 120; ++i) {
      const uint64_t bits = NextRandom(random);
      site.Apply(static_cast<uint32_t>(bits & 0xFF),
                 static_cast<uint32_t>(bits >> 8 & 0xFF),
                 static_cast<uint32_t>(bits >> 16 & 0xFF));
      if (!site.violation.empty()) {
        RC_FAIL(site.violation);
      }
    }
    site.Heal();
    site.Advance(seconds(12));
    RC_ASSERT(site.violation.empty());
    RC_ASSERT(site.Holder().has_value());
  }));
}

// Guards against a hand-over that takes longer than what is promised.
TEST_CASE("A lost holder is replaced in time") {
  struct Case {
    const char* name;
    void (*fault)(Site&, size_t holder);
    Duration limit;
  };
  const Case cases[] = {
      {"graceful stop",
       [](Site& s, size_t h) { LeaveDuties(s.instances[h].lease); },
       seconds(1)},
      {"crash", [](Site& s, size_t h) { s.Kill(h); }, kLease + seconds(1)},
      {"freeze", [](Site& s, size_t h) { s.instances[h].is_frozen = true; },
       kLease + seconds(1)},
      {"partition from the log",
       [](Site& s, size_t h) { s.instances[h].has_log = false; },
       kLease + seconds(1)},
      {"crash of the holder and of the first candidate",
       [](Site& s, size_t h) {
         s.Kill(h);
         s.Kill(h == 0 ? 1 : 0);
       },
       kLease + seconds(1)},
      {"crash of all but the last candidate",
       [](Site& s, size_t) {
         for (size_t i = 0; i + 1 < kInstances; ++i) {
           s.Kill(i);
         }
       },
       kLease + seconds(1)},
      {"restart of all",
       [](Site& s, size_t) {
         for (size_t i = 0; i < kInstances; ++i) {
           s.Kill(i);
           s.Start(i);
         }
       },
       kLease + seconds(1)},
  };
  for (const Case& test : cases) {
    CAPTURE(test.name);
    for (int offset = 0; offset < 100; ++offset) {
      Site site;
      site.Advance(seconds(5) + offset * milliseconds(10));
      const auto holder = site.Holder();
      REQUIRE(holder);
      test.fault(site, *holder);
      const bool is_restart = std::string_view(test.name) == "restart of all";
      const Duration taken =
          site.TimeToHolder(is_restart ? kInstances : *holder, seconds(20));
      CHECK(taken <= test.limit);
      site.Advance(seconds(3));
      CHECK(site.violation.empty());
    }
  }
}

}  // namespace
}  // namespace pomeloring
