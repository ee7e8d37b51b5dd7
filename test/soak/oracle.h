// Defines Oracle: what callers and upstreams of a soak have seen, and which
// promises of the system that breaks.

#ifndef POMELORING_TEST_SOAK_ORACLE_H_
#define POMELORING_TEST_SOAK_ORACLE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pomeloring::soak {

using Clock = std::chrono::steady_clock;
using Instant = Clock::time_point;

enum class RequestKind { kStamp, kCheck, kAsk, kDraft };

// Stamps and asks may run once at most.
bool IsRetryable(RequestKind kind);
bool IsStream(RequestKind kind);

// One request as its caller saw it.
struct RequestRecord {
  RequestKind kind = RequestKind::kStamp;
  std::string path;
  std::string body;
  int gateway = 0;
  int incarnation = 0;  // Of the gateway's process.
  Instant sent;
  Instant ended;
  bool is_fresh = true;       // On a connection of its own.
  bool disconnected = false;  // The caller went away before the end.
  unsigned status = 0;        // 0: no reply.
  bool is_complete = false;   // The reply has ended as its framing says.
  std::string seal;
  std::string reply;             // Of a reply with a length.
  std::vector<uint64_t> events;  // Of a stream.
};

// One request as an upstream saw it.
struct UpstreamAttempt {
  std::string upstream;
  std::string path;
  std::string body;
  std::string account;
  bool has_key = false;
  Instant arrived;
  std::string seal;
  unsigned status = 0;  // 0: broken off.
  std::string reply;
  uint64_t last_event = 0;     // The last of the stream.
  bool aborted = false;        // The upstream itself ended it early.
  bool is_fully_sent = false;  // All of its reply has left.
};

// What is done to a gateway's process, and when.
enum class ProcessFault { kKill, kPause, kStop, kReload };
struct ProcessEvent {
  int gateway = 0;
  ProcessFault fault = ProcessFault::kKill;
  Instant begin;
  Instant end;  // Runs again.
};

struct Violation {
  std::string promise;
  std::string request;
  std::string detail;
};

struct Oracle {
  std::map<std::string, RequestRecord> requests;  // By request id.
  std::multimap<std::string, UpstreamAttempt> attempts;
  std::vector<ProcessEvent> process_events;
  // When some upstream's link was silent, cut or reset.
  std::vector<std::pair<Instant, Instant>> link_faults;
  std::vector<Violation> violations;       // Found while it runs.
  std::optional<Instant> faults_ended_at;  // No fault any more.
};

// All violations, with those that were found before.
std::vector<Violation> CheckPromises(const Oracle& oracle);

}  // namespace pomeloring::soak

#endif  // POMELORING_TEST_SOAK_ORACLE_H_
