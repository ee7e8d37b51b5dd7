// Defines RunningSite: the real programs and stand-ins as processes on
// loopback.

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
  unsigned status = 0;                         // Zero: no whole answer came.
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

HttpResponse Call(const HttpCall& call);

// Sends bytes as they are and returns what comes back until the peer closes.
std::string SendRaw(const std::string& address, const std::string& bytes);

struct RunningSiteOptions {
  size_t instances = 3;
  size_t engines = 2;
  size_t ledgers = 1;
  std::string step_ms = "3";
};

class RunningSite {
 public:
  explicit RunningSite(RunningSiteOptions options);
  ~RunningSite();

  // Waits until `done`; fails the test after a long time.
  static void WaitUntil(
      const std::function<bool()>& done,
      std::source_location where = std::source_location::current());
  // Publishes the configuration and waits until all are ready and know all.
  void PublishAndWait();

  std::string CallerAddress(size_t instance) const;
  std::string AdminAddress(size_t instance) const;
  std::string EngineAddress(size_t engine) const;
  std::string LedgerAddress(size_t ledger) const;
  std::string PlatformAddress() const;
  std::string ConfigPath() const { return m_folder + "/config.json"; }

  HttpResponse AskQuestion(size_t instance,
                           const std::string& question,
                           int tokens,
                           bool stream = true) const;
  HttpResponse PostStamp(size_t instance,
                         const std::string& body,
                         const std::string& key) const;
  std::string KeyPrefix(size_t instance) const;
  void PostControl(const std::string& address,
                   const std::string& control) const;
  std::string FetchCounts(const std::string& address) const;
  // Returns one number of the counts, or -1.
  int64_t FetchCount(const std::string& address,
                     const std::string& field) const;
  // Which instance schedules the service; it must have had a request.
  std::optional<size_t> SchedulerOf(const std::string& service) const;
  bool ListsEntries(size_t instance, size_t count) const;

  // Publishes the configuration with this adapter; returns the exit code.
  int PublishAdapter(const std::string& adapter, const std::string& base);
  // Whether `text` stands in what the engine says that it was ordered.
  bool OrdersContain(size_t engine, const std::string& text) const;
  // Engines with even numbers check fencing numbers; the others ignore them.
  static bool ChecksFencing(size_t engine) { return engine % 2 == 0; }

  void StartInstance(size_t instance);

  std::vector<std::unique_ptr<Process>> nodes;
  std::vector<std::unique_ptr<Process>> engines;
  std::vector<std::unique_ptr<Process>> ledgers;
  std::unique_ptr<Process> platform;

 private:
  std::string Address(int offset) const;
  void WriteConfig() const;

  const RunningSiteOptions m_options;
  const int m_base_port;
  const std::string m_folder;
  std::string m_adapter = "karst";
};

// Returns the text of a stream's token events, and whether it ended whole.
struct StreamContent {
  std::string text;
  bool is_complete = false;
};
StreamContent ParseStream(const std::string& body);

}  // namespace pomeloring::test

#endif  // POMELORING_TEST_SUPPORT_RUNNING_SITE_H_
