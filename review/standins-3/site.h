// A small deployment on loopback addresses: the gateways, as separate
// processes, and the stand-ins around them.

#ifndef POMELORING_REVIEW_STANDINS_3_SITE_H_
#define POMELORING_REVIEW_STANDINS_3_SITE_H_

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <cstdio>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "store.h"

namespace review {

enum class Verdict { kHeld = 0, kBroken = 1, kCouldNotRun = 2 };

// What was sent, answered and run; a line each, with the time since the start.
class RecordFile {
 public:
  explicit RecordFile(const std::string& path);
  ~RecordFile();
  void Write(const std::string& line);
  // In seconds since the start.
  std::string TimeOf(std::chrono::steady_clock::time_point time) const;

 private:
  std::mutex m_mutex;
  std::FILE* m_file;
  const std::chrono::steady_clock::time_point m_start =
      std::chrono::steady_clock::now();
};

struct SiteOptions {
  size_t gateways = 3;
  bool has_duties = false;
  // Descriptors that a gateway may open.
  size_t max_fds = 4100;
};

class Site {
 public:
  // `folder` is for settings and output.
  Site(const SiteOptions& options, std::string folder, RecordFile& record);
  ~Site();

  review::Store& Store() { return m_store; }
  // Writes the configuration that the operator has; `routes` and `services`
  // are JSON lists.
  void Configure(const std::string& routes, const std::string& services);
  void StartGateway(size_t index, bool is_first_start);
  // Waits until the gateways are ready. Ends the process with 2 if they are
  // not within 20 s.
  void AwaitReady(const std::vector<size_t>& indices);
  bool IsReady(size_t index) const;
  void Signal(size_t index, int signal);
  // Sends the signal and waits for the process to end.
  void Stop(size_t index, int signal);
  size_t Count() const { return m_gateways.size(); }
  std::string Name(size_t index) const;
  std::string Front(size_t index) const { return Address(index, 0); }
  // An address that no process of the site uses.
  std::string FreeAddress(size_t index) const;

 private:
  struct Gateway {
    pid_t pid = -1;
  };

  std::string Address(size_t index, int port) const;
  std::string WriteSettings(size_t index, bool is_first_start) const;

  const SiteOptions m_options;
  const std::string m_folder;
  RecordFile& m_record;
  int m_base_port = 0;
  review::Store m_store;
  std::vector<Gateway> m_gateways;
};

// Returns the text of a request as clients send it.
std::string ClientRequest(const std::string& method,
                          const std::string& target,
                          const std::string& id,
                          int deadline_ms,
                          const std::string& more_fields = "");

// A replica of a service: registers itself in the store, and answers plain
// requests or streams.
class Replica {
 public:
  struct Settings {
    std::string id;
    std::string service;
    std::string address;
    std::string version;
    bool streams = false;
    int work_ms = 15;
    int events = 50;
    int event_ms = 100;
  };

  Replica(Settings settings, Store& store, RecordFile& record);
  // Writes the entry of the replica; call it at least once a second.
  void Beat();
  // Runs requests, and answers them, only after so long.
  void FallSilentFor(std::chrono::milliseconds silence);

 private:
  bool Handle(int socket, const Request& request);
  bool SendStream(int socket, const Request& request);

  const Settings m_settings;
  review::Store& m_store;
  RecordFile& m_record;
  int64_t m_born = 0;
  std::atomic<int64_t> m_sequence{0};
  std::atomic<int64_t> m_silent_until_ms{0};
};

}  // namespace review

#endif  // POMELORING_REVIEW_STANDINS_3_SITE_H_
