// Case: a replica falls silent for a second around the end of a window, and a
// drill brings back a copy of the store that is some seconds old. Is the window
// reported once more, with other counts?

#include <csignal>
#include <cstdlib>
#include <map>
#include <set>
#include <thread>

#include "site.h"

namespace {

using namespace review;
using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;
using std::chrono::system_clock;

constexpr seconds kBefore{22};
constexpr seconds kAfter{20};
constexpr seconds kWindow{5};
// Of the replica, from so long before the end of a window on.
constexpr milliseconds kSilentBefore{500};
constexpr milliseconds kSilence{1400};
// After the end of the window.
constexpr milliseconds kDrillAfter{2000};
constexpr milliseconds kAway{500};
constexpr milliseconds kCopyAge{6000};
constexpr size_t kReplicas = 2;
constexpr size_t kGateways = 3;
constexpr size_t kClients = 24;

// Clients that send a request about each 400 ms, to all gateways in turn.
class Traffic {
 public:
  Traffic(Site& site, RecordFile& record) : m_site(site), m_record(record) {
    for (size_t i = 0; i < kClients; ++i) {
      m_threads.emplace_back([this, i] { Run(i); });
    }
  }
  void Stop() {
    m_stops = true;
    for (std::thread& thread : m_threads) {
      thread.join();
    }
  }

 private:
  void Run(size_t client) {
    for (size_t i = 0; !m_stops; ++i) {
      const size_t gateway = (client + i) % m_site.Count();
      const std::string id =
          "c" + std::to_string(client) + "-" + std::to_string(i);
      const Reply reply = Exchange(m_site.Front(gateway),
                                   ClientRequest("POST", "/puxa403/2f", id,
                                                 1000, "Content-Length: 0\r\n"),
                                   1500);
      m_record.Write("client " + id + " at " + m_site.Name(gateway) + " gets " +
                     std::to_string(reply.status));
      std::this_thread::sleep_for(milliseconds(380 + client));
    }
  }

  Site& m_site;
  RecordFile& m_record;
  std::atomic<bool> m_stops{false};
  std::vector<std::thread> m_threads;
};

// Returns the end of the window at `time`.
system_clock::time_point WindowEnd(system_clock::time_point time) {
  const auto windows = time.time_since_epoch() / kWindow;
  return system_clock::time_point(kWindow * (windows + 1));
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 4) {
    return 2;
  }
  const bool has_trouble = std::string(argv[3]) != "0";
  RecordFile record(argv[1]);
  Site site({.gateways = kGateways, .has_duties = true}, argv[2], record);
  const auto configure = [&] {
    site.Configure(
        R"([{"name":"memory-commit","host":"ficu95.example",)"
        R"("path_prefix":"/puxa403/","type":"unsafe","service":"xano55b",)"
        R"("timeout_ms":1000,"target_latency_ms":120,"max_attempts":1,)"
        R"("priority":2,"allow_anonymous":false,"stream_resume":false}])",
        R"([{"name":"xano55b","max_connections":510,)"
        R"("health_path":"/health"}])");
  };
  configure();
  std::vector<std::unique_ptr<Replica>> replicas;
  for (size_t i = 0; i < kReplicas; ++i) {
    replicas.push_back(std::make_unique<Replica>(
        Replica::Settings{.id = "i-" + std::to_string(i),
                          .service = "xano55b",
                          .address = site.FreeAddress(i + 1),
                          .version = "v1"},
        site.Store(), record));
  }
  std::atomic<bool> stops{false};
  std::thread beats([&] {
    while (!stops) {
      for (auto& replica : replicas) {
        replica->Beat();
      }
      std::this_thread::sleep_for(milliseconds(900));
    }
  });
  std::vector<size_t> all;
  for (size_t i = 0; i < kGateways; ++i) {
    site.StartGateway(i, true);
    all.push_back(i);
  }
  site.AwaitReady(all);
  Traffic traffic(site, record);
  std::this_thread::sleep_for(kBefore);
  const auto end = WindowEnd(system_clock::now() + seconds(1));
  std::this_thread::sleep_until(end - kSilentBefore);
  record.Write("a replica falls silent");
  replicas[0]->FallSilentFor(kSilence);
  std::this_thread::sleep_until(end + kDrillAfter);
  if (has_trouble) {
    record.Write("a drill begins");
    site.Store().Restore(kAway, kCopyAge);
    // What the operator and the replicas wrote is written again.
    configure();
    record.Write("the store is back from a copy");
  }
  std::this_thread::sleep_for(kAfter);
  traffic.Stop();
  stops = true;
  beats.join();
  std::map<std::string, std::set<std::string>> reports;
  for (const UsageCall& call : site.Store().UsageCalls()) {
    record.Write("at " + record.TimeOf(call.at) + " usage of window " +
                 call.window + " by " + call.holder + " token " + call.token +
                 ": " + call.counts);
    reports[call.window].insert(call.counts);
  }
  size_t broken = 0;
  for (const auto& [window, counts] : reports) {
    if (counts.size() > 1) {
      ++broken;
      record.Write("window " + window + " was accepted with " +
                   std::to_string(counts.size()) + " different counts");
    }
  }
  const Verdict verdict = reports.size() < 5 ? Verdict::kCouldNotRun
                          : broken > 0       ? Verdict::kBroken
                                             : Verdict::kHeld;
  record.Write("verdict " + std::to_string(static_cast<int>(verdict)));
  for (const size_t i : all) {
    site.Stop(i, SIGKILL);
  }
  // The threads of the stand-ins never end.
  std::_Exit(static_cast<int>(verdict));
}
