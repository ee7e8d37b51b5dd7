// Case: clients read their streams slowly; their gateway has sent them whole.
// Replicas of a new version join, and half of the gateway's connections are
// reset. Do the streams go on at the version that began them?

#include <sys/socket.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <set>
#include <thread>

#include "site.h"

namespace {

using namespace review;
using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

constexpr size_t kGateways = 3;
constexpr size_t kStreams = 36;
constexpr int kEvents = 38;
constexpr int kEventMs = 60;
// A client reads one event in this time.
constexpr milliseconds kReadTime{250};
constexpr seconds kBefore{5};
// After the last stream began.
constexpr milliseconds kJoinAfter{2800};
constexpr milliseconds kResetAfter{2000};  // From then on.
constexpr int kDeadlineMs = 12000;

struct Stream {
  std::string first_id;  // Of the attempt with the first event.
  int last_event = 0;
  std::set<std::string> versions;
  bool is_complete = false;
  size_t attempts = 0;
};

class Client {
 public:
  Client(Site& site, RecordFile& record, size_t number)
      : m_site(site), m_record(record), m_number(number) {}

  // Reads the stream and takes it up again as a client does.
  void Read() {
    const auto deadline = steady_clock::now() + milliseconds(kDeadlineMs);
    while (!m_stream.is_complete && steady_clock::now() < deadline) {
      const size_t gateway =
          m_stream.attempts == 0
              ? 0
              : 1 + (m_number + m_stream.attempts) % (m_site.Count() - 1);
      const std::string id = "s" + std::to_string(m_number) + "-" +
                             std::to_string(++m_stream.attempts);
      const auto left = std::chrono::duration_cast<milliseconds>(
          deadline - steady_clock::now());
      const Reply reply =
          Exchange(m_site.Front(gateway), RequestText(id, left.count()), 3000,
                   [&](const std::string& bytes) { return Take(bytes, id); });
      m_stream.is_complete = reply.status == 200 && reply.is_whole;
      LogAttempt(id, m_site.Name(gateway), reply);
      if (!m_stream.is_complete) {
        std::this_thread::sleep_for(milliseconds(200));
      }
    }
  }

  // What the client has not read of its present reply is lost.
  void Reset() { m_is_reset = true; }
  const Stream& Result() const { return m_stream; }

 private:
  std::string RequestText(const std::string& id, int64_t left_ms) const {
    std::string fields =
        "X-Model: m\r\nX-Token-Counts: 628,300\r\nX-Prompt-Prefix: 5c1e07a2:"
        "119," +
        std::to_string(1000 + m_number) + ":509\r\n";
    if (m_stream.last_event > 0) {
      fields += "Last-Event-Id: " + std::to_string(m_stream.last_event) +
                "\r\nResumes: " + m_stream.first_id + "\r\n";
    }
    return ClientRequest("POST", "/gono990/2f", id, static_cast<int>(left_ms),
                         fields);
  }

  // Takes a chunk of the reply, one event or more.
  bool Take(const std::string& bytes, const std::string& id) {
    m_unread += bytes;
    size_t end = 0;
    while ((end = m_unread.find("\n\n")) != std::string::npos) {
      const bool reads_slowly = m_stream.attempts == 1;
      if (reads_slowly) {
        std::this_thread::sleep_for(kReadTime);
      }
      if (m_is_reset.exchange(false)) {
        m_unread.clear();
        return false;
      }
      const std::string event = m_unread.substr(0, end);
      m_unread.erase(0, end + 2);
      const size_t data = event.find("data: ");
      if (event.rfind("id: ", 0) != 0 || data == std::string::npos) {
        continue;
      }
      m_stream.last_event = std::atoi(event.c_str() + 4);
      m_stream.versions.insert(event.substr(data + 6));
      if (m_stream.first_id.empty()) {
        m_stream.first_id = id;
      }
    }
    return true;
  }

  void LogAttempt(const std::string& id,
                  const std::string& gateway,
                  const Reply& reply) {
    std::string versions;
    for (const std::string& version : m_stream.versions) {
      versions += " " + version;
    }
    m_record.Write("client " + id + " at " + gateway + " gets " +
                   std::to_string(reply.status) +
                   (reply.is_whole ? " whole" : " cut") + ", last event " +
                   std::to_string(m_stream.last_event) + ", versions" +
                   versions);
  }

  Site& m_site;
  RecordFile& m_record;
  const size_t m_number;
  Stream m_stream;
  std::string m_unread;
  std::atomic<bool> m_is_reset{false};
};

}  // namespace

int main(int argc, char** argv) {
  if (argc != 4) {
    return 2;
  }
  const bool has_trouble = std::string(argv[3]) != "0";
  RecordFile record(argv[1]);
  Site site({.gateways = kGateways}, argv[2], record);
  site.Configure(
      R"([{"name":"property-lookup","host":"ficu95.example",)"
      R"("path_prefix":"/gono990/","type":"streaming","service":"dele69a",)"
      R"("timeout_ms":12000,"target_latency_ms":300,"gap_target_ms":250,)"
      R"("max_attempts":2,"priority":0,"allow_anonymous":false,)"
      R"("session_affinity":true,"stream_resume":true}])",
      R"([{"name":"dele69a","max_connections":620,"health_path":"/health",)"
      R"("engine":{"slots":12,"kv_capacity":531768,"stride":10}}])");
  std::mutex mutex;
  std::vector<std::unique_ptr<Replica>> replicas;
  const auto start_replicas = [&](const std::string& version) {
    const std::lock_guard lock(mutex);
    for (int i = 0; i < 3; ++i) {
      const size_t number = replicas.size() + 1;
      replicas.push_back(std::make_unique<Replica>(
          Replica::Settings{.id = "i-" + std::to_string(number),
                            .service = "dele69a",
                            .address = site.FreeAddress(number),
                            .version = version,
                            .streams = true,
                            .events = kEvents,
                            .event_ms = kEventMs},
          site.Store(), record));
    }
  };
  start_replicas("v1");
  std::atomic<bool> stops{false};
  std::thread beats([&] {
    while (!stops) {
      {
        const std::lock_guard lock(mutex);
        for (auto& replica : replicas) {
          replica->Beat();
        }
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
  std::this_thread::sleep_for(kBefore);
  std::vector<std::unique_ptr<Client>> clients;
  std::vector<std::thread> threads;
  for (size_t i = 0; i < kStreams; ++i) {
    clients.push_back(std::make_unique<Client>(site, record, i));
    threads.emplace_back([client = clients.back().get()] { client->Read(); });
    std::this_thread::sleep_for(milliseconds(20));
  }
  std::this_thread::sleep_for(kJoinAfter);
  record.Write("replicas of v2 join");
  start_replicas("v2");
  std::this_thread::sleep_for(kResetAfter);
  if (has_trouble) {
    record.Write("half of the connections of " + site.Name(0) + " are reset");
    for (size_t i = 0; i < kStreams; i += 2) {
      clients[i]->Reset();
    }
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  size_t mixed = 0;
  size_t complete = 0;
  for (size_t i = 0; i < kStreams; ++i) {
    complete += clients[i]->Result().is_complete ? 1 : 0;
    if (clients[i]->Result().versions.size() > 1) {
      ++mixed;
      record.Write("stream s" + std::to_string(i) +
                   " holds events of two versions");
    }
  }
  record.Write(std::to_string(mixed) + " streams of two versions, " +
               std::to_string(complete) + " complete");
  // ORDER: more than two streams.
  const Verdict verdict = mixed > 2       ? Verdict::kBroken
                          : complete == 0 ? Verdict::kCouldNotRun
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
