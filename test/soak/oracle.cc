#include "soak/oracle.h"

#include <fmt/format.h>

#include <algorithm>

namespace pomeloring::soak {
namespace {

constexpr size_t kMaxRuns = 2;  // `max_attempts` of every route.
// After a caller has left, what is under way may still arrive.
constexpr std::chrono::milliseconds kLeaveSlack{1000};
// Of requests without a fault anywhere; stricter than the quarter that the
// users' platform asks for after a restart of everything.
constexpr double kServedWhenCalm = 0.9;
constexpr size_t kMinCalmRequests = 20;

using Runs = std::vector<const UpstreamRun*>;

bool PromisesNotRun(unsigned status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

// Whether the gateway's process was killed or paused in that time.
bool WasDisturbed(const Oracle& oracle,
                  int gateway,
                  Instant from,
                  Instant until) {
  return std::any_of(oracle.process_events.begin(), oracle.process_events.end(),
                     [&](const ProcessEvent& event) {
                       const bool disturbs =
                           event.fault == ProcessFault::kKill ||
                           event.fault == ProcessFault::kPause;
                       return disturbs && event.gateway == gateway &&
                              event.begin <= until && event.end >= from;
                     });
}

struct Checker {
  const Oracle& oracle;
  std::vector<Violation>& out;
  const std::string& id;
  const Attempt& attempt;
  const Runs& runs;

  void Add(const std::string& promise, const std::string& detail) const {
    out.push_back({promise, id, detail});
  }

  void CheckRuns() const {
    if (!MayRunAgain(attempt.kind) && runs.size() > 1) {
      Add("runs at most once", fmt::format("ran {} times", runs.size()));
    }
    if (runs.size() > kMaxRuns) {
      Add("attempts are bounded", fmt::format("ran {} times", runs.size()));
    }
    for (const UpstreamRun* run : runs) {
      if (run->path != attempt.path || run->body != attempt.body) {
        Add("passed as it came", run->path + " at " + run->upstream);
      }
      if (run->has_key || run->account != "one") {
        Add("the account in place of the key", run->account);
      }
      if (attempt.left && run->arrived > attempt.ended + kLeaveSlack &&
          !WasDisturbed(oracle, attempt.gateway, attempt.sent, run->arrived)) {
        Add("nothing runs for a caller that left", run->upstream);
      }
    }
  }

  void CheckRefusal() const {
    if (!PromisesNotRun(attempt.status)) {
      return;
    }
    for (const UpstreamRun* run : runs) {
      const bool served = run->status == 200 && run->is_done;
      if (!MayRunAgain(attempt.kind) || served) {
        Add("a refused request has not run",
            fmt::format("{} after it ran at {}", attempt.status,
                        run->upstream));
      }
    }
  }

  void CheckReply() const {
    if (attempt.status != 200) {
      return;
    }
    const auto run =
        std::find_if(runs.begin(), runs.end(), [&](const UpstreamRun* of) {
          return of->status == 200 && of->seal == attempt.seal;
        });
    if (run == runs.end()) {
      Add("a success is an upstream's", "no run has the seal " + attempt.seal);
      return;
    }
    if (!IsStream(attempt.kind)) {
      if (attempt.is_whole && attempt.reply != (*run)->reply) {
        Add("a reply is whole", attempt.reply);
      }
      return;
    }
    for (size_t i = 0; i < attempt.events.size(); ++i) {
      if (attempt.events[i] != i + 1) {
        Add("events stand in order",
            fmt::format("event {} in place {}", attempt.events[i], i + 1));
        return;
      }
    }
    if (attempt.is_whole && attempt.events.size() != (*run)->last_event) {
      Add("a cut stream does not look complete",
          fmt::format("{} of {} events", attempt.events.size(),
                      (*run)->last_event));
    }
  }

  // A planned stop or a reload alone cuts nothing off.
  void CheckCut() const {
    const bool no_answer = attempt.status == 0 || !attempt.is_whole;
    const bool was_taken = !runs.empty();
    const bool upstream_broke =
        std::any_of(runs.begin(), runs.end(),
                    [](const UpstreamRun* run) { return run->broke_off; });
    const bool link_broke = std::any_of(
        oracle.harmed_links.begin(), oracle.harmed_links.end(),
        [&](const auto& harm) {
          return harm.first <= attempt.ended && harm.second >= attempt.sent;
        });
    const bool was_stopping = std::any_of(
        oracle.process_events.begin(), oracle.process_events.end(),
        [&](const ProcessEvent& event) {
          return event.gateway == attempt.gateway &&
                 event.begin <= attempt.ended && event.end >= attempt.sent &&
                 (event.fault == ProcessFault::kStop ||
                  event.fault == ProcessFault::kReload);
        });
    if (no_answer && was_taken && !attempt.left && !upstream_broke &&
        !link_broke && was_stopping &&
        !WasDisturbed(oracle, attempt.gateway, attempt.sent, attempt.ended)) {
      Add("a planned stop cuts nothing off",
          fmt::format("gateway {}, status {}", attempt.gateway,
                      attempt.status));
    }
  }
};

void CheckCalm(const Oracle& oracle, std::vector<Violation>& out) {
  if (!oracle.calm_since) {
    return;
  }
  size_t sent = 0;
  size_t served = 0;
  for (const auto& [id, attempt] : oracle.attempts) {
    if (attempt.sent >= *oracle.calm_since && !attempt.left) {
      ++sent;
      served += attempt.status == 200 && attempt.is_whole ? 1 : 0;
    }
  }
  if (sent < kMinCalmRequests ||
      static_cast<double>(served) <
          kServedWhenCalm * static_cast<double>(sent)) {
    out.push_back({"serves again once faults are over", "",
                   fmt::format("{} of {} requests", served, sent)});
  }
}

}  // namespace

bool MayRunAgain(RequestKind kind) {
  return kind == RequestKind::kCheck || kind == RequestKind::kDraft;
}

bool IsStream(RequestKind kind) {
  return kind == RequestKind::kAsk || kind == RequestKind::kDraft;
}

std::vector<Violation> Check(const Oracle& oracle) {
  std::vector<Violation> out = oracle.violations;
  for (const auto& [id, attempt] : oracle.attempts) {
    Runs runs;
    const auto [begin, end] = oracle.runs.equal_range(id);
    for (auto run = begin; run != end; ++run) {
      runs.push_back(&run->second);
    }
    const Checker checker{oracle, out, id, attempt, runs};
    checker.CheckRuns();
    checker.CheckRefusal();
    checker.CheckReply();
    checker.CheckCut();
  }
  for (const auto& [id, run] : oracle.runs) {
    if (!oracle.attempts.contains(id)) {
      out.push_back({"nothing runs that nobody asked for", id, run.upstream});
    }
  }
  CheckCalm(oracle, out);
  return out;
}

}  // namespace pomeloring::soak
