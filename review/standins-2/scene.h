// Defines the stand-ins of the second review: the platform's store, replicas
// and clients in this process, and gateways that are started as processes of
// their own. All addresses are loopback addresses.

#ifndef POMELORING_REVIEW_STANDINS_2_SCENE_H_
#define POMELORING_REVIEW_STANDINS_2_SCENE_H_

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace review {

// The case could not run.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kNotRun = 2;

// Why a call has no answer.
inline constexpr char kNoConnection[] = "no connection";

double Seconds();  // Since the start of this process.
void SleepMs(int ms);

// Writes a line to the record, with the time.
void Record(const std::string& line);
void OpenRecord(const std::string& path);
[[noreturn]] void GiveUp(const std::string& why);

struct Address {
  std::string ip;
  uint16_t port = 0;
};
std::string Text(const Address& address);

// A socket that listens at a free port of `ip`.
struct Listener {
  int socket = -1;
  Address address;
};
// With `receive_buffer`, its connections have a small window.
Listener ListenAt(const std::string& ip, int receive_buffer = 0);
// A port that is free at `ip` now.
uint16_t FreePort(const std::string& ip);
// Returns a connected socket, or -1.
int ConnectTo(const Address& address, int timeout_ms, int receive_buffer = 0);

struct HttpMessage {
  std::string first_line;
  std::map<std::string, std::string> fields;  // Names in lowercase.
  std::string body;
};
// Reads one message with a Content-Length, chunks or no body. `pending` keeps
// the bytes that follow. Returns nothing if the connection ends or times out.
std::optional<HttpMessage> ReadMessage(int socket, std::string& pending);
bool SendAll(int socket, const std::string& bytes);

// --- The platform's store ----------------------------------------------------

// Serves the calls of PROTOCOL.md that gateways make to a store that is up.
class Store {
 public:
  Store();
  const Address& At() const { return m_listener.address; }
  void Put(const std::string& topic,
           const std::string& key,
           const std::string& value);

 private:
  struct Topic {
    std::vector<std::string> records;
    std::map<std::string, std::pair<uint64_t, std::string>> newest;
  };
  void Serve(int socket);
  std::string Answer(const HttpMessage& request);

  std::mutex m_mutex;
  std::map<std::string, Topic> m_topics;
  Listener m_listener;
};

// --- Replicas ----------------------------------------------------------------

// Runs each request at once, and answers it with a seal and 800 bytes.
class Replica {
 public:
  using OnRun = std::function<void(const HttpMessage& request)>;
  // Serves a connection in another way; the replica closes it afterwards.
  using ServeConnection =
      std::function<void(int socket, const std::string& id)>;
  Replica(std::string id, OnRun on_run);
  Replica(std::string id, ServeConnection serve, int receive_buffer);
  const std::string& Id() const { return m_id; }
  const Address& At() const { return m_listener.address; }

 private:
  void Serve(int socket);

  const std::string m_id;
  const OnRun m_on_run;
  Listener m_listener;
};

// --- Gateways ----------------------------------------------------------------

struct Gateway {
  pid_t pid = -1;
  Address caller;
  Address directory;
  Address ready;
};

// Starts target/bin/pomeloring-gateway with the settings of the deploy file's
// template for a machine of Sodarna Kras, and with at most `max_files`
// descriptors.
Gateway StartGateway(const std::string& ip,
                     const Store& store,
                     size_t max_files,
                     const std::string& more_settings);
bool IsRunning(const Gateway& gateway);
size_t CountDescriptors(const Gateway& gateway);
uint64_t PeakKilobytes(const Gateway& gateway);
// Waits until the gateway is ready and serves `path`.
void AwaitServing(const Gateway& gateway, const std::string& path);
// Ends all processes that were started.
void StopAll();
// Descriptors that a process started here may have, at most `wanted`.
size_t PermittedFiles(size_t wanted);

// --- Clients -----------------------------------------------------------------

struct Call {
  std::string method = "GET";
  std::string path;
  std::string key;  // Empty: no X-Key.
  std::string body;
  std::string more_fields;  // Each with its line end.
  int deadline_ms = 1500;
};
struct Reply {
  int status = 0;  // 0: none.
  std::string seal;
  size_t body_bytes = 0;
  bool is_complete = false;  // By its framing.
  std::string failure;
  double began_at = 0;
  double took_s = 0;
};
std::string WriteCall(const Call& call, const std::string& id);
// Sends a request over a new connection, and waits until its deadline.
Reply Send(const Address& to, const Call& call, const std::string& id);

// Clients in processes of their own, which a case starts and ends. Each opens
// `per_process` connections, and does what `act` says with each of them.
using CrowdAct = std::function<void(std::vector<int>& sockets)>;
std::vector<pid_t> StartCrowd(size_t connections,
                              size_t per_process,
                              const Address& to,
                              int receive_buffer,
                              const CrowdAct& act);
void EndCrowd(const std::vector<pid_t>& crowd);

// The configuration of these cases: the service `ledger-app` with the routes
// /check/ (safe), /stamp/ (unsafe) and /open/ (safe, allow_anonymous), the
// service `ledger-long` with /long/ (safe), and one tenant with the key
// `key-1`.
std::string ConfigText();
std::string EntryOf(const Replica& replica,
                    const std::string& service = "ledger-app");

}  // namespace review

#endif  // POMELORING_REVIEW_STANDINS_2_SCENE_H_
