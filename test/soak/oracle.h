// Defines Oracle: the requests of a soak as callers and upstreams observed
// them, and the check of the system's promises against these observations.

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

// Whether a request may be executed more than once. Requests of the routes
// "stamp" and "ask" may not.
bool IsRetryable(RequestKind kind);
// Whether the reply is an event stream.
bool IsStream(RequestKind kind);
// Whether a reply with this status states that its request has not run and
// never will.
bool StatesNotExecuted(unsigned status);
// The body of an upstream's refusal, by the key of its request.
std::string RefusalBody(const std::string& key);

// One request as its caller observed it.
struct RequestRecord {
  RequestKind kind = RequestKind::kStamp;
  // The first request of a caller that repeats it after refusals.
  std::string first;
  std::string path;
  std::string body;
  int gateway = 0;
  int incarnation = 0;  // Of the gateway's process; counts its starts.
  Instant sent;
  Instant ended;
  bool is_fresh = true;          // Sent on a new connection.
  bool disconnected = false;     // The caller disconnected before the end.
  unsigned status = 0;           // 0: no reply arrived.
  bool is_complete = false;      // The reply arrived whole, by its framing.
  std::string seal;              // Identifies the attempt that replied.
  std::string reply;             // The body.
  std::vector<uint64_t> events;  // Event ids of a stream, 0 if malformed.
};

// One attempt of a request as its upstream observed it.
struct UpstreamAttempt {
  std::string upstream;
  std::string path;
  std::string body;
  std::string account;
  bool has_key = false;  // The caller's API key was forwarded.
  Instant arrived;
  std::string seal;
  unsigned status = 0;  // 0: aborted before the reply.
  std::string reply;
  uint64_t last_event = 0;     // Id of the last event of a whole stream.
  bool aborted = false;        // The upstream broke off the reply.
  bool is_early = false;       // It did not read the request's body.
  bool is_fully_sent = false;  // The whole reply was sent.
};

// A fault of a gateway's process, and its duration. kStop is a graceful
// shutdown and kReload a reload of the settings.
enum class ProcessFault { kKill, kPause, kStop, kReload };
struct ProcessEvent {
  int gateway = 0;
  ProcessFault fault = ProcessFault::kKill;
  Instant begin;
  Instant end;  // The process has recovered.
  // When the next process of the gateway was started, after a planned stop.
  std::optional<Instant> restarted_at;
};

// What a reply of an upstream asked of the gateway that had sent the request.
enum class Signal { kLeaving, kPause, kLimit };
struct SignalRecord {
  Signal signal = Signal::kLeaving;
  std::string upstream;
  std::string request;
  Instant sent;
  // kPause: its length in seconds. kLimit: requests a second; 0: its end.
  double value = 0;
};

// A request that reached an upstream, whether it was executed or not.
struct Arrival {
  std::string upstream;
  std::string request;
  Instant at;
};

// A gateway that was cut off from all upstreams.
struct CutRecord {
  int gateway = 0;
  Instant begin;
  Instant end;
};

// A reply that an upstream wrote again, whole or not.
struct CopyRecord {
  std::string upstream;
  std::string request;  // The one that had arrived last on the connection.
  bool is_of_same_id = false;
  std::string place;
  std::string bytes;
};

struct Violation {
  std::string promise;  // The promise that was broken.
  std::string request;  // The request's id, or empty.
  std::string detail;
};

// Keys are request ids, followed by "#" and the number of the use if callers
// use ids more than once.
struct Oracle {
  std::map<std::string, RequestRecord> requests;
  std::multimap<std::string, UpstreamAttempt> attempts;
  std::vector<ProcessEvent> process_events;
  std::vector<SignalRecord> signals;
  std::vector<Arrival> arrivals;
  std::vector<CutRecord> cuts;
  std::vector<CopyRecord> copies;
  // Intervals in which the link of some upstream was faulty.
  std::vector<std::pair<Instant, Instant>> link_faults;
  std::vector<Violation> violations;       // Found during the soak.
  std::optional<Instant> faults_ended_at;  // No faults since.
};

// Returns all violations, including oracle.violations.
std::vector<Violation> CheckPromises(const Oracle& oracle);

}  // namespace pomeloring::soak

#endif  // POMELORING_TEST_SOAK_ORACLE_H_
