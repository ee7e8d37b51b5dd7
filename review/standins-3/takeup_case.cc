// Case: the system is started for the first time before replicas that have been
// registered for longer than the store's history goes back. One gateway is
// stopped as planned and cuts its long streams. Do they go on at the others,
// which are in touch?
//
// TROUBLE=0: without the stop. TROUBLE=whole: the history goes back to the
// beginning. TROUBLE=drill: so does it, but the store has had a drill.

#include <csignal>
#include <cstdlib>
#include <thread>

#include "site.h"

namespace {

using namespace review;
using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

constexpr size_t kGateways = 3;
constexpr size_t kStreams = 40;
constexpr size_t kNewStreams = 20;
constexpr int kEvents = 135;
constexpr int kEventMs = 100;
constexpr int kReplicas = 4;
constexpr milliseconds kAway{500};
constexpr milliseconds kCopyAge{1500};
// Until the system is started. The store keeps 20 s of history.
constexpr seconds kRegistered{27};
constexpr seconds kRegisteredWhole{10};
// From the start on, as on the sheet: "Traffic starts 10 s after the machines".
constexpr seconds kBefore{10};
constexpr milliseconds kStopAfter{500};
constexpr int kDeadlineMs = 15000;

struct Stream {
  std::string first_id;  // Of the attempt with the first event.
  int last_event = 0;
  size_t attempts = 0;
  bool was_taken_up = false;
  bool goes_on = false;  // Then.
};

class Client {
 public:
  Client(Site& site, RecordFile& record, std::string name, size_t gateway)
      : m_site(site),
        m_record(record),
        m_name(std::move(name)),
        m_gateway(gateway) {}

  // Reads the stream until the deadline, and takes it up again as a client
  // does, at the other gateways in turn.
  void Read() {
    const auto deadline = steady_clock::now() + milliseconds(kDeadlineMs);
    while (steady_clock::now() < deadline) {
      const std::string id = m_name + "-" + std::to_string(++m_stream.attempts);
      const auto left = std::chrono::duration_cast<milliseconds>(
          deadline - steady_clock::now());
      const int before = m_stream.last_event;
      const size_t gateway = m_gateway;
      const Reply reply =
          Exchange(m_site.Front(gateway), RequestText(id, left.count()), 2500,
                   [&](const std::string& bytes) { return Take(bytes, id); });
      m_record.Write("client " + id + " at " + m_site.Name(gateway) +
                     (before > 0 ? " takes up after " + std::to_string(before)
                                 : std::string(" begins")) +
                     ": " + std::to_string(reply.status) + ", last event " +
                     std::to_string(m_stream.last_event));
      if (before > 0) {
        m_stream.was_taken_up = true;
        m_stream.goes_on |= m_stream.last_event > before;
      }
      if (reply.status == 200 && reply.is_whole) {
        return;
      }
      m_gateway = m_gateway == 1 ? 2 : 1;
      std::this_thread::sleep_for(milliseconds(300));
    }
  }

  const Stream& Result() const { return m_stream; }

 private:
  std::string RequestText(const std::string& id, int64_t left_ms) const {
    std::string fields =
        "X-Model: m\r\nX-Token-Counts: 628,900\r\nX-Prompt-Prefix: 5c1e07a2:"
        "119," +
        std::to_string(100000 + m_number) + ":509\r\n";
    if (m_stream.last_event > 0) {
      fields += "Last-Event-Id: " + std::to_string(m_stream.last_event) +
                "\r\nResumes: " + m_stream.first_id + "\r\n";
    }
    return ClientRequest("POST", "/gono990/2f", id, static_cast<int>(left_ms),
                         fields);
  }

  bool Take(const std::string& bytes, const std::string& id) {
    m_unread += bytes;
    size_t end = 0;
    while ((end = m_unread.find("\n\n")) != std::string::npos) {
      if (m_unread.rfind("id: ", 0) == 0) {
        m_stream.last_event = std::atoi(m_unread.c_str() + 4);
        m_stream.first_id = m_stream.first_id.empty() ? id : m_stream.first_id;
      }
      m_unread.erase(0, end + 2);
    }
    return true;
  }

  Site& m_site;
  RecordFile& m_record;
  const std::string m_name;
  const size_t m_number = std::hash<std::string>()(m_name) % 10000;
  size_t m_gateway;
  Stream m_stream;
  std::string m_unread;
};

}  // namespace

int main(int argc, char** argv) {
  if (argc != 4) {
    return 2;
  }
  const std::string troubles = argv[3];
  RecordFile record(argv[1]);
  Site site({.gateways = kGateways}, argv[2], record);
  const auto configure = [&] {
    site.Configure(
        R"([{"name":"weekly-synopsis","host":"ficu95.example",)"
        R"("path_prefix":"/gono990/","type":"streaming","service":"dele69a",)"
        R"("timeout_ms":15000,"target_latency_ms":2000,"gap_target_ms":1000,)"
        R"("max_attempts":2,"priority":2,"allow_anonymous":false,)"
        R"("session_affinity":true,"stream_resume":true}])",
        R"([{"name":"dele69a","max_connections":310,"health_path":"/health",)"
        R"("engine":{"slots":48,"kv_capacity":570401,"stride":5}}])");
  };
  configure();
  std::vector<std::unique_ptr<Replica>> replicas;
  for (size_t i = 1; i <= kReplicas; ++i) {
    replicas.push_back(std::make_unique<Replica>(
        Replica::Settings{.id = "i-" + std::to_string(i),
                          .service = "dele69a",
                          .address = site.FreeAddress(i),
                          .version = "v1",
                          .streams = true,
                          .events = kEvents,
                          .event_ms = kEventMs},
        site.Store(), record));
  }
  std::atomic<bool> stops{false};
  std::thread beats([&] {
    while (!stops) {
      for (auto& replica : replicas) {
        replica->Beat();
      }
      std::this_thread::sleep_for(milliseconds(1200));
    }
  });
  if (troubles == "drill") {
    std::this_thread::sleep_for(seconds(2));
    record.Write("a drill begins");
    site.Store().Restore(kAway, kCopyAge);
    // What the operator and the replicas wrote is written again.
    configure();
    record.Write("the store is back from a copy");
  }
  std::this_thread::sleep_for(troubles == "drill" || troubles == "whole"
                                  ? kRegisteredWhole
                                  : kRegistered);
  std::vector<size_t> all;
  for (size_t i = 0; i < kGateways; ++i) {
    site.StartGateway(i, true);
    all.push_back(i);
  }
  site.AwaitReady(all);
  std::this_thread::sleep_for(kBefore);
  std::vector<std::unique_ptr<Client>> clients;
  std::vector<std::thread> threads;
  const auto add_client = [&](const std::string& name, size_t gateway) {
    clients.push_back(std::make_unique<Client>(site, record, name, gateway));
    threads.emplace_back([client = clients.back().get()] { client->Read(); });
    std::this_thread::sleep_for(milliseconds(10));
  };
  for (size_t i = 0; i < kStreams; ++i) {
    add_client("s" + std::to_string(i), 0);
  }
  std::this_thread::sleep_for(kStopAfter);
  if (troubles != "0") {
    site.Stop(0, SIGTERM);
    record.Write(site.Name(0) + " has ended");
    site.StartGateway(0, false);
  }
  for (size_t i = 0; i < kNewStreams; ++i) {
    add_client("n" + std::to_string(i), 1 + i % 2);
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  size_t taken_up = 0;
  size_t go_on = 0;
  size_t begun = 0;
  size_t complete = 0;
  for (size_t i = 0; i < clients.size(); ++i) {
    const Stream& stream = clients[i]->Result();
    if (i >= kStreams) {
      begun += stream.last_event > 0 ? 1 : 0;
      continue;
    }
    taken_up += stream.was_taken_up ? 1 : 0;
    go_on += stream.goes_on ? 1 : 0;
    complete += stream.last_event == kEvents ? 1 : 0;
  }
  record.Write(std::to_string(go_on) + " of " + std::to_string(taken_up) +
               " streams taken up go on, " + std::to_string(begun) + " of " +
               std::to_string(kNewStreams) + " new ones begin; " +
               std::to_string(complete) + " complete");
  const bool is_broken =
      taken_up >= 12 && 2 * go_on * kNewStreams < begun * taken_up;
  const Verdict verdict = is_broken                     ? Verdict::kBroken
                          : begun == 0 || complete == 0 ? Verdict::kCouldNotRun
                                                        : Verdict::kHeld;
  record.Write("verdict " + std::to_string(static_cast<int>(verdict)));
  for (const size_t i : all) {
    site.Stop(i, SIGKILL);
  }
  stops = true;
  beats.join();
  // The threads of the stand-ins never end.
  std::_Exit(static_cast<int>(verdict));
}
