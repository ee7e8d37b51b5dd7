#include "soak/oracle.h"

#include <fmt/format.h>

#include <algorithm>

namespace pomeloring::soak {
namespace {

constexpr size_t kMaxAttempts = 2;  // `max_attempts` of every route.
// How long after a caller's disconnect its request may still reach an upstream.
constexpr std::chrono::milliseconds kDisconnectSlack{1000};
// The fraction of requests that must succeed once all faults are over. Stricter
// than the quarter that the users' platform requires after a full restart.
constexpr double kMinServedFraction = 0.9;
constexpr size_t kMinRequestsAfterFaults = 20;
// How long after an upstream has said that it leaves callers' new requests may
// still reach it.
constexpr std::chrono::milliseconds kLeavingSlack{2000};
// When a pause and a limit begin to count after they were named.
constexpr std::chrono::milliseconds kPauseSlack{500};
constexpr std::chrono::milliseconds kLimitSlack{3000};
constexpr size_t kMaxArrivalsInPause = 2;
constexpr std::chrono::seconds kLimitWindow{4};
// From when on a gateway that is cut off must serve.
constexpr std::chrono::seconds kCutSlack{3};

using Attempts = std::vector<const UpstreamAttempt*>;

// Whether the gateway's process was killed or paused in that interval.
bool WasDisturbed(const Oracle& oracle,
                  int gateway,
                  Instant from,
                  Instant until) {
  return std::any_of(oracle.process_events.begin(), oracle.process_events.end(),
                     [&](const ProcessEvent& event) {
                       const bool is_disturbance =
                           event.fault == ProcessFault::kKill ||
                           event.fault == ProcessFault::kPause;
                       return is_disturbance && event.gateway == gateway &&
                              event.begin <= until && event.end >= from;
                     });
}

// Whether the process of the gateway that ran at `from` had been stopped and
// replaced by a new one before `until`.
bool WasRestarted(const Oracle& oracle,
                  int gateway,
                  Instant from,
                  Instant until) {
  return std::any_of(oracle.process_events.begin(), oracle.process_events.end(),
                     [&](const ProcessEvent& event) {
                       return event.gateway == gateway && event.restarted_at &&
                              *event.restarted_at >= from &&
                              *event.restarted_at <= until;
                     });
}

// Checks that gateways did what upstreams asked of them.
struct SignalChecker {
  const Oracle& oracle;
  std::vector<Violation>& out;

  int GatewayOf(const std::string& request) const {
    const auto record = oracle.requests.find(request);
    return record == oracle.requests.end() ? -1 : record->second.gateway;
  }

  // Whether the gateway told by `told` may not know or act on it at `at`.
  bool IsExcused(const SignalRecord& told, Instant at) const {
    const int gateway = GatewayOf(told.request);
    return WasDisturbed(oracle, gateway, told.sent, at) ||
           WasRestarted(oracle, gateway, told.sent, at);
  }

  bool IsOfSameGateway(const SignalRecord& told, const Arrival& arrival) const {
    return arrival.upstream == told.upstream &&
           GatewayOf(arrival.request) == GatewayOf(told.request);
  }

  void CheckLeaving(const SignalRecord& told) const {
    for (const Arrival& arrival : oracle.arrivals) {
      if (IsOfSameGateway(told, arrival) &&
          oracle.requests.at(arrival.request).sent >
              told.sent + kLeavingSlack &&
          !IsExcused(told, arrival.at)) {
        out.push_back(
            {"a leaving upstream is left", arrival.request, arrival.upstream});
      }
    }
  }

  void CheckPause(const SignalRecord& told) const {
    const Instant end =
        told.sent +
        std::chrono::milliseconds(static_cast<int64_t>(told.value * 1000));
    const auto count = std::count_if(
        oracle.arrivals.begin(), oracle.arrivals.end(),
        [&](const Arrival& arrival) {
          return IsOfSameGateway(told, arrival) &&
                 arrival.at > told.sent + kPauseSlack && arrival.at < end;
        });
    if (count > static_cast<long>(kMaxArrivalsInPause) &&
        !IsExcused(told, end)) {
      out.push_back({"a pause is kept", told.request,
                     fmt::format("{} at {}", count, told.upstream)});
    }
  }

  // Counts in the window that ends with `last` what gateways sent that had been
  // told. Those that were disturbed since do not count.
  void CheckLimit(const Arrival& last) const {
    // Of the limit that is in force at `last`: since when, and its last value.
    std::optional<Instant> named_at;
    double limit = 0;
    for (const SignalRecord& told : oracle.signals) {
      if (told.signal == Signal::kLimit && told.upstream == last.upstream &&
          told.sent < last.at) {
        limit = told.value;
        named_at = limit <= 0 ? std::nullopt
                   : named_at ? named_at
                              : std::optional(told.sent);
      }
    }
    if (!named_at || last.at - kLimitWindow < *named_at + kLimitSlack) {
      return;
    }
    size_t count = 0;
    for (const Arrival& arrival : oracle.arrivals) {
      const bool is_in_window = arrival.upstream == last.upstream &&
                                arrival.at <= last.at &&
                                arrival.at > last.at - kLimitWindow;
      count += is_in_window && WasToldBefore(arrival) ? 1 : 0;
    }
    const double allowed = 1.5 * limit * 4 + 5;
    if (static_cast<double>(count) > allowed) {
      out.push_back(
          {"a limit is kept", last.request,
           fmt::format("{} at {}, allowed {}", count, last.upstream, allowed)});
    }
  }

  bool WasToldBefore(const Arrival& arrival) const {
    return std::any_of(oracle.signals.begin(), oracle.signals.end(),
                       [&](const SignalRecord& told) {
                         return told.signal == Signal::kLimit &&
                                IsOfSameGateway(told, arrival) &&
                                told.sent + kPauseSlack < arrival.at &&
                                !IsExcused(told, arrival.at);
                       });
  }

  void Check() const {
    for (const SignalRecord& told : oracle.signals) {
      if (told.signal == Signal::kLeaving) {
        CheckLeaving(told);
      } else if (told.signal == Signal::kPause) {
        CheckPause(told);
      }
    }
    for (const Arrival& arrival : oracle.arrivals) {
      CheckLimit(arrival);
    }
  }
};

// Checks one request against the attempts that upstreams observed for it.
struct Checker {
  const Oracle& oracle;
  std::vector<Violation>& out;
  const std::string& id;
  const RequestRecord& record;
  const Attempts& attempts;

  void Add(const std::string& promise, const std::string& detail) const {
    out.push_back({promise, id, detail});
  }

  void CheckAttempts() const {
    if (!IsRetryable(record.kind) && attempts.size() > 1) {
      Add("runs at most once", fmt::format("ran {} times", attempts.size()));
    }
    if (attempts.size() > kMaxAttempts) {
      Add("attempts are bounded", fmt::format("ran {} times", attempts.size()));
    }
    for (const UpstreamAttempt* attempt : attempts) {
      if (attempt->path != record.path ||
          (attempt->body != record.body && !attempt->is_early)) {
        Add("passed as it came", attempt->path + " at " + attempt->upstream);
      }
      if (attempt->has_key || attempt->account != "one") {
        Add("the account in place of the key", attempt->account);
      }
      if (record.disconnected &&
          attempt->arrived > record.ended + kDisconnectSlack &&
          !WasDisturbed(oracle, record.gateway, record.sent,
                        attempt->arrived)) {
        const std::chrono::duration<double> late =
            attempt->arrived - record.ended;
        Add("nothing runs for a caller that left",
            fmt::format("{} after {:.3f} s", attempt->upstream, late.count()));
      }
    }
  }

  void CheckRefusal() const {
    if (!StatesNotExecuted(record.status)) {
      return;
    }
    for (const UpstreamAttempt* attempt : attempts) {
      const bool served = attempt->status == 200 && attempt->is_fully_sent;
      if (!IsRetryable(record.kind) || served) {
        Add("a refused request has not run",
            fmt::format("{} after it ran at {}", record.status,
                        attempt->upstream));
      }
    }
  }

  // A copy of a reply to another request, or to an earlier one with this id.
  void CheckOrigin() const {
    const bool has_own_seal = std::any_of(attempts.begin(), attempts.end(),
                                          [&](const UpstreamAttempt* attempt) {
                                            return attempt->seal == record.seal;
                                          });
    if (!record.seal.empty() && !has_own_seal) {
      Add("a reply is the request's own", record.seal);
    }
    if (record.is_complete && record.reply.starts_with(RefusalBody("")) &&
        record.reply != RefusalBody(id)) {
      Add("a reply is the request's own", record.reply);
    }
  }

  void CheckReply() const {
    if (record.is_complete && record.status < 200) {
      Add("a reply has a final status", fmt::format("{:03}", record.status));
    }
    if (record.status != 200) {
      return;
    }
    const auto attempt = std::find_if(attempts.begin(), attempts.end(),
                                      [&](const UpstreamAttempt* candidate) {
                                        return candidate->status == 200 &&
                                               candidate->seal == record.seal;
                                      });
    if (attempt == attempts.end()) {
      Add("a success is an upstream's",
          "no upstream attempt has the seal " + record.seal);
      return;
    }
    if (!IsStream(record.kind)) {
      if (record.is_complete && record.reply != (*attempt)->reply) {
        Add("a reply is whole", record.reply);
      }
      return;
    }
    for (size_t i = 0; i < record.events.size(); ++i) {
      if (record.events[i] != i + 1) {
        Add("events stand in order",
            fmt::format("event {} in place {}", record.events[i], i + 1));
        return;
      }
    }
    if (record.is_complete && record.events.size() != (*attempt)->last_event) {
      Add("a cut stream does not look complete",
          fmt::format("{} of {} events", record.events.size(),
                      (*attempt)->last_event));
    }
  }

  // A graceful shutdown or a reload, without other faults, must not cut off a
  // reply.
  void CheckGracefulShutdown() const {
    const bool is_incomplete = record.status == 0 || !record.is_complete;
    const bool was_executed = !attempts.empty();
    const bool upstream_aborted = std::any_of(
        attempts.begin(), attempts.end(),
        [](const UpstreamAttempt* attempt) { return attempt->aborted; });
    const bool link_was_faulty =
        std::any_of(oracle.link_faults.begin(), oracle.link_faults.end(),
                    [&](const auto& link_fault) {
                      return link_fault.first <= record.ended &&
                             link_fault.second >= record.sent;
                    });
    const bool was_stopping = std::any_of(
        oracle.process_events.begin(), oracle.process_events.end(),
        [&](const ProcessEvent& event) {
          return event.gateway == record.gateway &&
                 event.begin <= record.ended && event.end >= record.sent &&
                 (event.fault == ProcessFault::kStop ||
                  event.fault == ProcessFault::kReload);
        });
    if (is_incomplete && was_executed && !record.disconnected &&
        !upstream_aborted && !link_was_faulty && was_stopping &&
        !WasDisturbed(oracle, record.gateway, record.sent, record.ended)) {
      Add("a planned stop cuts nothing off",
          fmt::format("gateway {}, status {}", record.gateway, record.status));
    }
  }
};

// Callers repeat a request only after replies that state that it has not run
// and never will.
void CheckRepeats(const Oracle& oracle, std::vector<Violation>& out) {
  std::map<std::string, size_t> runs;  // By the first request.
  for (const auto& [id, attempt] : oracle.attempts) {
    const auto record = oracle.requests.find(id);
    if (record != oracle.requests.end() && !record->second.first.empty() &&
        !IsRetryable(record->second.kind)) {
      ++runs[record->second.first];
    }
  }
  for (const auto& [first, count] : runs) {
    if (count > 1) {
      out.push_back({"runs at most once, however often it is sent", first,
                     fmt::format("ran {} times", count)});
    }
  }
}

void CheckServiceAfterFaults(const Oracle& oracle,
                             std::vector<Violation>& out) {
  if (!oracle.faults_ended_at) {
    return;
  }
  size_t sent = 0;
  size_t served = 0;
  for (const auto& [id, record] : oracle.requests) {
    if (record.sent >= *oracle.faults_ended_at && !record.disconnected) {
      ++sent;
      served += record.status == 200 && record.is_complete ? 1 : 0;
    }
  }
  if (sent < kMinRequestsAfterFaults ||
      static_cast<double>(served) <
          kMinServedFraction * static_cast<double>(sent)) {
    out.push_back({"serves again once faults are over", "",
                   fmt::format("{} of {} requests", served, sent)});
  }
}

// Requests that were sent during a cut, and those that were served.
struct ServedCount {
  size_t sent = 0;
  size_t served = 0;
};

// Whether an upstream of the service that the request needs had asked its
// gateway for a pause. It then has fewer upstreams than the others, cut off or
// not.
bool IsInPause(const Oracle& oracle, const RequestRecord& record) {
  return std::any_of(
      oracle.signals.begin(), oracle.signals.end(),
      [&](const SignalRecord& told) {
        const auto by = oracle.requests.find(told.request);
        return told.signal == Signal::kPause && by != oracle.requests.end() &&
               by->second.gateway == record.gateway &&
               IsStream(by->second.kind) == IsStream(record.kind) &&
               told.sent <= record.ended &&
               record.sent <
                   told.sent + std::chrono::milliseconds(
                                   static_cast<int64_t>(told.value * 1000));
      });
}

// Counts those at the gateway that was cut off, or those at the others, without
// the requests that a fault of the gateway's process may have touched and those
// beside a pause.
ServedCount CountDuringCut(const Oracle& oracle,
                           const CutRecord& cut,
                           bool at_cut_gateway) {
  ServedCount count;
  for (const auto& [id, record] : oracle.requests) {
    const bool is_at_cut = record.gateway == cut.gateway;
    const bool is_of_cut =
        record.sent >= cut.begin + kCutSlack && record.sent < cut.end;
    const bool was_restarted =
        std::any_of(oracle.process_events.begin(), oracle.process_events.end(),
                    [&](const ProcessEvent& event) {
                      return event.gateway == record.gateway &&
                             event.begin <= record.ended &&
                             event.end + kCutSlack >= record.sent;
                    });
    if (is_of_cut && is_at_cut == at_cut_gateway && !record.disconnected &&
        !was_restarted && !IsInPause(oracle, record)) {
      ++count.sent;
      count.served += record.status == 200 && record.is_complete ? 1 : 0;
    }
  }
  return count;
}

// The users' rule for first tries at instances that are cut off.
void CheckServiceDuringCut(const Oracle& oracle,
                           const CutRecord& cut,
                           std::vector<Violation>& out) {
  const ServedCount at_cut = CountDuringCut(oracle, cut, true);
  const ServedCount elsewhere = CountDuringCut(oracle, cut, false);
  const size_t failed = at_cut.sent - at_cut.served;
  if (failed > 10 + at_cut.sent / 50 &&
      3 * at_cut.served * elsewhere.sent < 2 * elsewhere.served * at_cut.sent) {
    out.push_back({"an instance that is cut off serves", "",
                   fmt::format("g{}: {} of {}, elsewhere {} of {}", cut.gateway,
                               at_cut.served, at_cut.sent, elsewhere.served,
                               elsewhere.sent)});
  }
}

}  // namespace

bool IsRetryable(RequestKind kind) {
  return kind == RequestKind::kCheck || kind == RequestKind::kDraft;
}

bool IsStream(RequestKind kind) {
  return kind == RequestKind::kAsk || kind == RequestKind::kDraft;
}

bool StatesNotExecuted(unsigned status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

std::string RefusalBody(const std::string& key) {
  return "refused: " + key;
}

std::vector<Violation> CheckPromises(const Oracle& oracle) {
  std::vector<Violation> out = oracle.violations;
  for (const auto& [id, record] : oracle.requests) {
    Attempts attempts;
    const auto [begin, end] = oracle.attempts.equal_range(id);
    for (auto attempt = begin; attempt != end; ++attempt) {
      attempts.push_back(&attempt->second);
    }
    const Checker checker{oracle, out, id, record, attempts};
    checker.CheckAttempts();
    checker.CheckRefusal();
    checker.CheckOrigin();
    checker.CheckReply();
    checker.CheckGracefulShutdown();
  }
  for (const auto& [id, attempt] : oracle.attempts) {
    if (!oracle.requests.contains(id)) {
      out.push_back(
          {"nothing runs that nobody asked for", id, attempt.upstream});
    }
  }
  CheckRepeats(oracle, out);
  SignalChecker{oracle, out}.Check();
  for (const CutRecord& cut : oracle.cuts) {
    CheckServiceDuringCut(oracle, cut, out);
  }
  CheckServiceAfterFaults(oracle, out);
  return out;
}

}  // namespace pomeloring::soak
