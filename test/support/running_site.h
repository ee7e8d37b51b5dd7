// Defines RunningSite: the real programs and stand-in back ends, as processes
// on the loopback interface.

#ifndef POMELORING_TEST_SUPPORT_RUNNING_SITE_H_
#define POMELORING_TEST_SUPPORT_RUNNING_SITE_H_

#include <functional>
#include <future>
#include <map>
#include <memory>
#include <optional>
#include <source_location>
#include <string>
#include <vector>

#include "support/process.h"

namespace pomeloring::test {

struct HttpResponse {
  unsigned status = 0;  // Zero: no complete reply arrived.
  std::map<std::string, std::string> headers;  // Names in lower case.
  std::string body;
};

struct HttpCall {
  std::string address;
  std::string method = "GET";
  std::string target;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
};

// Sends one request over a new connection and waits for the reply.
HttpResponse Call(const HttpCall& call);

// Sends `bytes` unchanged and returns everything received until the peer closes
// the connection.
std::string SendRaw(const std::string& address, const std::string& bytes);

struct RunningSiteOptions {
  size_t instances = 3;
  size_t engines = 2;
  size_t ledgers = 1;
  std::string step_ms = "3";  // Time of one decoding step of an engine.
};

class RunningSite {
 public:
  explicit RunningSite(RunningSiteOptions options);
  ~RunningSite();

  // Polls until `done` returns true. Throws std::runtime_error, naming the
  // caller's source line, after 60 s.
  static void WaitUntil(
      const std::function<bool()>& done,
      std::source_location where = std::source_location::current());
  // Publishes the configuration and waits until all instances are ready and
  // list each other, and all engines and ledgers answer health checks. Throws
  // std::runtime_error at once if a process exits or the publication fails.
  void PublishAndWait();

  std::string CallerAddress(size_t instance) const;
  std::string AdminAddress(size_t instance) const;
  std::string EngineAddress(size_t engine) const;
  std::string LedgerAddress(size_t ledger) const;
  std::string PlatformAddress() const;
  std::string ConfigPath() const { return m_folder + "/config.json"; }

  // Sends a chat completion request of the class "question".
  HttpResponse SendQuestion(size_t instance,
                            const std::string& question,
                            int tokens,
                            bool stream = true) const;
  // Sends a request of the class "stamp", with the idempotency key `key` if it
  // is not empty.
  HttpResponse PostStamp(size_t instance,
                         const std::string& body,
                         const std::string& key) const;
  // The prefix of idempotency keys that are bound to this instance; empty if
  // its list of entries does not contain it.
  std::string KeyPrefix(size_t instance) const;
  // Changes the behaviour of the stand-in at `address`.
  void PostControl(const std::string& address,
                   const std::string& control) const;
  // Returns the counters of the stand-in at `address`, as JSON.
  std::string FetchCounts(const std::string& address) const;
  // Returns one of these counters, or -1 if there is no such number.
  int64_t FetchCount(const std::string& address,
                     const std::string& field) const;
  // Returns the instance that schedules the service, or nullopt if there is
  // none: a cell has a scheduler only once it has had a request.
  std::optional<size_t> SchedulerOf(const std::string& service) const;
  // Whether the instance lists exactly `count` entries.
  bool ListsEntries(size_t instance, size_t count) const;

  // Publishes the configuration with this adapter on top of the revision
  // `base`. Returns the exit code of pomeloring-ctl.
  int PublishAdapter(const std::string& adapter, const std::string& base);
  // Whether the state that the engine reports as ordered contains `text`.
  bool OrdersContain(size_t engine, const std::string& text) const;
  // Even-numbered engines check fencing numbers; odd-numbered ones ignore them.
  static bool ChecksFencing(size_t engine) { return engine % 2 == 0; }

  void StartInstance(size_t instance);

  std::vector<std::unique_ptr<Process>> nodes;
  std::vector<std::unique_ptr<Process>> engines;
  std::vector<std::unique_ptr<Process>> ledgers;
  std::unique_ptr<Process> platform;

 private:
  std::string Address(int offset) const;
  void WriteConfig() const;
  // Throws std::runtime_error, naming it, if a process has exited.
  void CheckRunning() const;

  const RunningSiteOptions m_options;
  const int m_base_port;
  const std::string m_folder;
  std::string m_adapter = "karst";
};

// The concatenated token text of an event stream, and whether the stream ended
// with its [DONE] event.
struct StreamContent {
  std::string text;
  bool is_complete = false;
};
StreamContent ParseStream(const std::string& body);

}  // namespace pomeloring::test

#endif  // POMELORING_TEST_SUPPORT_RUNNING_SITE_H_
