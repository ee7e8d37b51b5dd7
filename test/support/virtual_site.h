// Defines VirtualSite: several core instances in virtual time, connected by a
// network that can lose, duplicate and delay messages, with fake upstreams and
// a fake log.

#ifndef POMELORING_TEST_SUPPORT_VIRTUAL_SITE_H_
#define POMELORING_TEST_SUPPORT_VIRTUAL_SITE_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "pomeloring/core.h"
#include "support/small_config.h"

namespace pomeloring::test {

struct SiteOptions {
  size_t instances = 3;
  uint64_t seed = 1;
  std::string config_text;
  Duration tick = milliseconds(10);
  Duration link_delay = milliseconds(1);
  Duration service_time = milliseconds(40);  // Per request, at an upstream.
  uint32_t tokens_per_reply = 10;            // In a complete reply.
  size_t timeline_capacity = 256;
};

// One request of a caller, and its outcome.
struct CallerRecord {
  RequestId id;
  size_t host = 0;
  ClassName request_class;
  std::string key;
  std::string body;
  Time sent;
  std::optional<Outcome> outcome;
  Time answered;
  int answers = 0;         // Final outcomes; more than one is a fault.
  int executions = 0;      // Executions at upstreams under this id.
  bool host_lost = false;  // The instance crashed before it answered.
  std::optional<size_t> forwarded_as;  // Index of the record at the owner.
};

// A simulated upstream, with the faults that tests set and what it observed.
struct FakeUpstream {
  Upstream upstream;
  bool is_down = false;  // Refuses connections.
  int lose_replies = 0;  // The next requests to execute but leave unanswered.
  int refuse = 0;        // The next requests to refuse before execution.
  double slow_factor = 1;
  std::map<std::string, int> executions;  // Executions, by request body.
  int running = 0;
  int max_running = 0;
  // Orders. All orders with the same fencing number must have the same state,
  // whichever instance sends them; a violation sets has_conflicting_orders.
  EngineState state;
  LogOffset fencing;
  std::map<LogOffset, EngineState> state_by_fencing;
  bool has_conflicting_orders = false;
  int orders = 0;
};

// The platform's log, shared by all instances.
struct FakeLog {
  std::map<LogStream, std::vector<std::string>> records;
  std::map<LogStream, uint64_t> first;  // The first retained offset.
  bool is_down = false;
  int lose_replies = 0;  // The next appends to store but report as failed.
};

// One instance and the state of its simulated process.
struct Host {
  std::unique_ptr<Instance> instance;
  InstanceName name;
  // Changes at each start and crash; events of earlier generations are dropped.
  uint64_t generation = 0;
  bool is_up = false;
  bool is_paused = false;
  bool is_stopping = false;
  std::deque<std::function<void()>> deferred;  // Events since the pause.
  std::map<LogStream, bool> reading;
};

class VirtualSite {
 public:
  explicit VirtualSite(SiteOptions options);

  // Advances virtual time, and calls `after_step` after every event.
  void RunFor(Duration duration);
  // Advances virtual time until `done` returns true, by at most `limit`.
  // Returns the last result of `done`.
  bool RunUntil(const std::function<bool()>& done, Duration limit);
  std::function<void()> after_step;
  // Schedules `run` at the time `at`, or now if that has passed.
  void ScheduleAt(Time at, std::function<void()> run);

  // `on_start` replaces the fake upstreams: the test must end each attempt that
  // is started, by ReportAttemptEnded().
  std::function<void(size_t host, const StartUpstreamAttempt&)> on_start;
  // Called when an instance cancels an attempt.
  std::function<void(const CancelUpstreamAttempt&)> on_cancel;
  // Called when an instance has answered a caller's request.
  std::function<void(size_t caller)> on_answer;
  void ReportFirstToken(size_t host, const AttemptId& attempt);
  void ReportAttemptEnded(size_t host,
                          const AttemptId& attempt,
                          uint32_t tokens,
                          const AttemptOutcome& outcome);
  // Returns the index into `callers` of the request with this id.
  std::optional<size_t> CallerOf(const RequestId& id) const;

  // Callers. Submit() returns an index into `callers`. The part of the body
  // before a '|' is the prompt prefix.
  size_t Submit(size_t host,
                std::string request_class,
                std::string body,
                std::string key = {},
                std::string account = "one");
  void CallerDisconnected(size_t caller);

  // Faults.
  void Crash(size_t host);
  void Restart(size_t host);
  void Pause(size_t host);
  void Resume(size_t host);
  void Stop(size_t host);                          // A graceful shutdown.
  void CutLink(size_t from, size_t to, bool cut);  // One way.
  double drop_rate = 0;                            // Fraction of messages lost.
  double duplicate_rate = 0;                       // Fraction delivered twice.
  Duration extra_delay{0};  // Max random delay; reorders messages.

  // Operators.
  // Publishes a configuration on top of the revision `base`. Returns the
  // publish id.
  std::string Publish(Revision base, const std::string& text);
  void Mark(const std::string& target, MarkState state);
  // Holds back orders to engines until ReleaseOrders(). Their senders see them
  // time out meanwhile.
  bool hold_orders = false;
  void ReleaseOrders();
  // Clears the ordered state of the engine, as a restart of it does.
  void ResetEngine(const std::string& upstream);
  // Makes earlier records unavailable, as the retention of the log does.
  void DropRecordsBefore(LogStream stream, uint64_t offset);

  // An idempotency key that is bound to the running process of the host.
  std::string BoundKey(size_t host, const std::string& rest) const;
  Time Now() const { return m_now; }
  uint64_t Random() { return NextRandom(m_random); }
  bool Chance(double rate);
  // Returns the instance that schedules the service, or 0 if none does.
  size_t SchedulerOf(const std::string& service) const;
  // An instance that is neither the scheduler nor its successor. The site must
  // have at least three instances.
  size_t BystanderOf(const std::string& service) const;

  std::vector<Host> hosts;
  std::vector<CallerRecord> callers;
  std::map<UpstreamName, FakeUpstream> upstreams;
  FakeLog log;
  // One attempt that an instance has started at an upstream.
  struct Start {
    AttemptId attempt;
    UpstreamName upstream;
    Time at;
    uint32_t resume_from = 0;
    uint32_t delivered = 0;  // Tokens delivered to the caller before.
  };
  std::vector<Start> starts;  // In order of time.
  std::set<std::pair<RequestId, uint32_t>> cancelled;

 private:
  struct Event {
    Time at;
    uint64_t order;
    std::function<void()> run;
    bool operator>(const Event& other) const {
      return std::tie(at, order) > std::tie(other.at, other.order);
    }
  };

  // Schedules `run` on a host. It is dropped if the host crashes before, and
  // deferred while the host is paused.
  void ScheduleOnHost(size_t host, Time at, std::function<void()> run);
  void Boot(size_t host);
  void PerformAll(size_t host, Actions actions);
  void Perform(size_t host, const SendSlotMessage& action);
  void Perform(size_t host, const SendDatagram& action);
  void Perform(size_t host, const StartUpstreamAttempt& action);
  void Perform(size_t host, const CancelUpstreamAttempt& action);
  void Perform(size_t host, const FinishRequest& action);
  void Perform(size_t host, const ForwardRequest& action);
  void Perform(size_t host, const AppendRecord& action);
  void Perform(size_t host, const FetchConfiguration& action);
  void Perform(size_t host, const CallEngine& action);
  void Perform(size_t host, const StopSuperseded& action);
  OrderOutcome ApplyOrder(const EngineOrder& order);
  void ReportOrderEnded(size_t host,
                        Time at,
                        const EngineOrder& order,
                        const OrderOutcome& outcome);
  void Tick(size_t host);
  void ReadLog(size_t host, LogStream stream);
  void ReportFakeAttemptEnd(size_t host,
                            const StartUpstreamAttempt& start,
                            uint32_t tokens,
                            AttemptOutcome outcome);
  void Transmit(size_t from, size_t to, std::function<void()> deliver);
  Duration Delay();
  std::optional<size_t> HostAt(const std::string& address) const;
  CallerRecord* FindRecord(const RequestId& id);
  void RecordOutcome(CallerRecord& record, const Outcome& outcome);
  // Gives the caller of a forwarded request the outcome that the instance that
  // owns its key returned.
  void ReturnOutcome(size_t owner_record, size_t origin_record);

  const SiteOptions m_options;
  Time m_now{seconds(1000)};
  uint64_t m_next_sequence = 0;
  uint64_t m_random;
  uint64_t m_next_generation = 1;
  uint64_t m_next_publish = 1;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
  std::set<std::pair<size_t, size_t>> m_cut_links;
  std::map<RequestId, size_t> m_record_index;
  // The records of forwarded requests, by the record at the key's owner.
  std::multimap<size_t, size_t> m_origin_records;
  std::map<RequestId, uint32_t> m_delivered_tokens;
  std::vector<std::function<void()>> m_held_orders;
};

}  // namespace pomeloring::test

#endif  // POMELORING_TEST_SUPPORT_VIRTUAL_SITE_H_
