// A small deployment: the project's instances as processes, model replicas and
// clients as stand-ins.

#ifndef POMELORING_REVIEW_SITE_H_
#define POMELORING_REVIEW_SITE_H_

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>

#include <cstdarg>
#include <fstream>
#include <sstream>

#include "net.h"
#include "store.h"

namespace review {

// --- Record ------------------------------------------------------------------

inline std::mutex g_record_mutex;
inline std::FILE* g_record = nullptr;

__attribute__((format(printf, 1, 2))) inline void Record(const char* format,
                                                         ...) {
  const std::lock_guard lock(g_record_mutex);
  va_list arguments;
  va_start(arguments, format);
  std::fprintf(g_record, "%8.3f ", Seconds());
  std::vfprintf(g_record, format, arguments);
  std::fputc('\n', g_record);
  std::fflush(g_record);
  va_end(arguments);
}

// --- Instances ---------------------------------------------------------------

inline std::string ReplaceAll(std::string text,
                              const std::string& from,
                              const std::string& to) {
  for (size_t at = 0; (at = text.find(from, at)) != std::string::npos;
       at += to.size()) {
    text.replace(at, from.size(), to);
  }
  return text;
}

// Removes a section of the template that has no value in this deployment.
inline std::string DropSection(std::string text, const std::string& name) {
  const std::string begin = "{{#" + name + "}}";
  const std::string end = "{{/" + name + "}}";
  const size_t from = text.find(begin);
  const size_t to = text.find(end, from);
  if (from != std::string::npos && to != std::string::npos) {
    text.erase(from, to + end.size() - from);
  }
  return text;
}

// One process of the deploy file's role.
struct Instance {
  std::string name;
  std::string zone;
  int front = 0;
  int directory = 0;
  int ready = 0;
  int peer = 0;
  int metrics = 0;
  int store = 0;
  pid_t pid = 0;
  double started_at = 0;
};

class Site {
 public:
  Site() {
    char folder[] = "/tmp/pomeloring-review-XXXXXX";
    m_folder = mkdtemp(folder);
    const char* record = std::getenv("RECORD");
    g_record = std::fopen(record ? record : "record.txt", "w");
  }

  // Ends all processes that this one started, and this one.
  [[noreturn]] void Finish(int code) {
    for (auto& instance : m_instances) {
      Kill(*instance, SIGKILL);
    }
    const std::string command = "rm -rf " + m_folder;
    if (std::getenv("KEEP") == nullptr && std::system(command.c_str()) != 0) {
      std::perror("rm");
    }
    std::fflush(nullptr);
    _exit(code);
  }

  Store& GetStore() { return m_store; }
  const std::string& Folder() const { return m_folder; }

  // The peer port is one of all machines of a deployment; on loopback addresses
  // each instance has another one, so that the seeds name peer addresses.
  Instance& AddInstance(const std::string& name, const std::string& zone) {
    auto instance = std::make_unique<Instance>();
    instance->name = name;
    instance->zone = zone;
    for (int* port : {&instance->front, &instance->directory, &instance->ready,
                      &instance->metrics}) {
      *port = FreePort();
    }
    instance->store = m_store.AddPort();
    m_instances.push_back(std::move(instance));
    return *m_instances.back();
  }

  std::vector<std::unique_ptr<Instance>>& Instances() { return m_instances; }

  // Loopback addresses 127.0.0.2, 127.0.0.3 and so on stand for machines.
  std::string AddressOf(const Instance& instance) const {
    for (size_t i = 0; i < m_instances.size(); ++i) {
      if (m_instances[i].get() == &instance) {
        return "127.0.0." + std::to_string(i + 2);
      }
    }
    return "127.0.0.1";
  }

  void Start(Instance& instance, bool is_first_start = true) {
    if (m_peer_port == 0) {
      m_peer_port = FreePort();
    }
    std::string seeds;
    for (size_t i = 0; i < std::min<size_t>(3, m_instances.size()); ++i) {
      seeds += std::string(seeds.empty() ? "" : ",") + "\"" +
               AddressOf(*m_instances[i]) + ":9\"";
    }
    std::ifstream file("deploy/gateway.json.tmpl");
    std::stringstream read;
    read << file.rdbuf();
    std::string text = read.str();
    const size_t from = text.find("\"seeds\":");
    text.replace(from, text.find('\n', from) - from,
                 "\"seeds\": [" + seeds + "],");
    text = DropSection(text, "cloud.address");
    const auto local = [](int port) {
      return "127.0.0.1:" + std::to_string(port);
    };
    const std::map<std::string, std::string> values = {
        {"{{node_name}}", instance.name},
        {"{{zone}}", instance.zone},
        {"{{region}}", "primorska"},
        {"{{listen_addrs.front}}", local(instance.front)},
        {"{{listen_addrs.directory}}", local(instance.directory)},
        {"{{listen_addrs.ready}}", local(instance.ready)},
        {"{{ip}}:{{internal_ports.0}}",
         AddressOf(instance) + ":" + std::to_string(m_peer_port)},
        {"{{ip}}:7343", local(instance.metrics)},
        {"{{platform.address}}", local(instance.store)},
        {"{{limits.link_mbps|json}}", "1000.0"},
        {"{{bootstrap|json}}", is_first_start ? "true" : "false"},
        {"{{policy_params.drain_ms|json}}", "2000"},
        {"{{policy_params.budget_ratio|json}}", "0.2"},
        {"{{policy_params.retry_slack|json}}", "52"},
        {"{{policy_params.budget_window_s|json}}", "10"},
        {"{{policy_params.grace_s|json}}", "8"}};
    for (const auto& [name, value] : values) {
      text = ReplaceAll(text, name, value);
    }
    const std::string path = m_folder + "/" + instance.name + ".json";
    std::ofstream(path) << text;
    const std::string log = m_folder + "/" + instance.name + ".log";
    const pid_t pid = fork();
    if (pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(out, 1);
      dup2(out, 2);
      for (int fd = 3; fd < 4096; ++fd) {
        close(fd);
      }
      execl("target/bin/pomeloring-gateway", "pomeloring-gateway", "--settings",
            path.c_str(), static_cast<char*>(nullptr));
      _exit(127);
    }
    instance.pid = pid;
    instance.started_at = Seconds();
    Record("instance %s: started", instance.name.c_str());
  }

  void Kill(Instance& instance, int signal) {
    if (instance.pid == 0) {
      return;
    }
    kill(instance.pid, signal);
    if (signal == SIGKILL) {
      waitpid(instance.pid, nullptr, 0);
      instance.pid = 0;
    }
  }

  // Sends SIGTERM and, after the grace of 8 s, SIGKILL.
  void Stop(Instance& instance) {
    const double began_at = Seconds();
    kill(instance.pid, SIGTERM);
    while (Seconds() - began_at < 8) {
      if (waitpid(instance.pid, nullptr, WNOHANG) == instance.pid) {
        instance.pid = 0;
        return;
      }
      Sleep(0.02);
    }
    Kill(instance, SIGKILL);
  }

  // Whether the process has ended by itself.
  bool HasEnded(Instance& instance) {
    return instance.pid != 0 &&
           waitpid(instance.pid, nullptr, WNOHANG) == instance.pid;
  }

  static bool IsReady(const Instance& instance) {
    const int socket = Connect(instance.ready);
    if (socket < 0) {
      return false;
    }
    std::string buffer;
    Message answer;
    const bool ready =
        SendAll(socket, "GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n") &&
        ReadHead(socket, buffer, answer, 1) && answer.Status() == 200;
    close(socket);
    return ready;
  }

  // Exits with 2 if an instance isn't ready in time.
  void AwaitReady(const Instance& instance, double timeout_s = 15) {
    const double deadline = Seconds() + timeout_s;
    while (!IsReady(instance)) {
      if (Seconds() > deadline) {
        Record("instance %s: not ready", instance.name.c_str());
        Finish(2);
      }
      Sleep(0.05);
    }
  }

 private:
  std::string m_folder;
  int m_peer_port = 0;
  Store m_store;
  std::vector<std::unique_ptr<Instance>> m_instances;
};

// --- Replicas ----------------------------------------------------------------

struct Run {
  std::string replica;
  std::string version;
  std::string request;
  std::string resumes;
  uint64_t after = 0;  // Last-Event-Id.
  double began_at = 0;
};

inline std::mutex g_runs_mutex;
inline std::vector<Run> g_runs;

struct ReplicaSettings {
  std::string id;
  std::string service;
  std::string zone;
  std::string version = "v1";
  int slots = 64;
  uint64_t events = 40;  // Of a stream.
  double event_interval_s = 0.1;
  double work_s = 0.015;  // Of a request without a stream.
};

// A model replica: streams events, or answers after some work. It stops when
// the connection closes, and answers 421 where another replica is expected.
class Replica {
 public:
  Replica(Store& store, ReplicaSettings settings)
      : m_store(store), m_settings(std::move(settings)), m_port(FreePort()) {
    m_server = std::make_unique<Server>(
        m_port, [this](int socket, const Message& request) {
          return Handle(socket, request);
        });
    m_born_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                    std::chrono::system_clock::now().time_since_epoch())
                    .count();
    Register();
    m_heartbeat = std::thread([this] {
      double next = Seconds() + 1.2;
      while (!m_ended) {
        Sleep(0.02);
        if (!m_ended && Seconds() >= next) {
          next += 1.2;
          Register();
        }
      }
    });
  }
  ~Replica() {
    m_ended = true;
    m_heartbeat.join();
  }

  const std::string& Id() const { return m_settings.id; }
  int Port() const { return m_port; }
  void Drain() {
    m_state = "draining";
    Register();
    Record("replica %s: draining", m_settings.id.c_str());
  }
  void SetMute(bool is_mute) { m_is_mute = is_mute; }

 private:
  void Register() {
    if (m_is_mute) {
      return;
    }
    m_store.Put("keyed.servers", m_settings.id,
                "{\"service\":\"" + m_settings.service +
                    "\",\"address\":\"127.0.0.1:" + std::to_string(m_port) +
                    "\",\"zone\":\"" + m_settings.zone + "\",\"version\":\"" +
                    m_settings.version + "\",\"slots\":" +
                    std::to_string(m_settings.slots) + ",\"state\":\"" +
                    m_state + "\",\"born\":" + std::to_string(m_born_ms) +
                    ",\"cold_remaining_ms\":0," +
                    "\"sequence\":" + std::to_string(++m_sequence) + "}");
  }

  bool Handle(int socket, const Message& request) {
    const std::string id = request.Field("x-request-id");
    if (request.Field("x-expect-instance") != m_settings.id) {
      return SendAll(
          socket, Answer(421, "X-Instance-Id: " + m_settings.id + "\r\n", ""));
    }
    if (request.Target().rfind("/health", 0) == 0) {
      return SendAll(
          socket,
          Answer(200, "X-Instance-Id: " + m_settings.id + "\r\n", "ok"));
    }
    const std::string after = request.Field("last-event-id");
    const Run run{m_settings.id,
                  m_settings.version,
                  id,
                  request.Field("resumes"),
                  after.empty() ? 0 : std::stoull(after),
                  Seconds()};
    {
      const std::lock_guard lock(g_runs_mutex);
      g_runs.push_back(run);
    }
    Record("replica %s (%s): runs %s after event %llu", m_settings.id.c_str(),
           m_settings.version.c_str(), id.c_str(),
           static_cast<unsigned long long>(run.after));
    const std::string seal = "X-Request-Id: " + id +
                             "\r\nX-Response-Seal: " + m_settings.id + "." +
                             id + "\r\n";
    if (request.Target().rfind("/stream/", 0) != 0) {
      Sleep(m_settings.work_s);
      return SendAll(socket, Answer(200, seal, m_settings.id + " " + id));
    }
    if (!SendAll(socket, "HTTP/1.1 200 OK\r\n" + seal +
                             "Content-Type: text/event-stream\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n")) {
      return false;
    }
    for (uint64_t event = run.after + 1; event <= m_settings.events; ++event) {
      Sleep(m_settings.event_interval_s);
      const std::string text = "id: " + std::to_string(event) +
                               "\ndata: " + m_settings.version + " " +
                               std::to_string(event) + "\n\n";
      char size[32];
      std::snprintf(size, sizeof size, "%zx\r\n", text.size());
      if (IsClosed(socket) || !SendAll(socket, size + text + "\r\n")) {
        return false;
      }
    }
    return SendAll(socket, "0\r\n\r\n");
  }

  Store& m_store;
  const ReplicaSettings m_settings;
  const int m_port;
  int64_t m_born_ms = 0;
  std::atomic<uint64_t> m_sequence{0};
  std::string m_state = "ready";
  std::atomic<bool> m_ended{false};
  std::atomic<bool> m_is_mute{false};
  std::unique_ptr<Server> m_server;
  std::thread m_heartbeat;
};

// --- Clients -----------------------------------------------------------------

struct Request {
  std::string id;
  std::string path = "/stream/a";
  std::string fields;  // More header lines.
  std::string body = "{}";
  double deadline_s = 15;
};

// One client attempt at one instance. Of a stream, `events` are the data lines
// by id, in the order in which they came.
struct Attempt {
  int status = 0;  // 0: no answer.
  bool is_whole = false;
  bool is_sealed = false;
  std::string body;
  std::vector<std::pair<uint64_t, std::string>> events;
};

inline std::string Serialize(const Request& request) {
  return "POST " + request.path + " HTTP/1.1\r\nHost: site.example\r\n" +
         "X-Request-Id: " + request.id + "\r\nX-Key: key-1\r\n" +
         "X-Deadline-Ms: " +
         std::to_string(static_cast<int>(request.deadline_s * 1000)) + "\r\n" +
         request.fields +
         "Content-Length: " + std::to_string(request.body.size()) + "\r\n\r\n" +
         request.body;
}

inline void TakeEvents(Attempt& attempt, std::string& text) {
  size_t end = 0;
  while ((end = text.find("\n\n")) != std::string::npos) {
    const std::string event = text.substr(0, end);
    text.erase(0, end + 2);
    const size_t id = event.find("id: ");
    const size_t data = event.find("data: ");
    if (id != std::string::npos && data != std::string::npos) {
      attempt.events.emplace_back(std::stoull(event.substr(id + 4)),
                                  event.substr(data + 6));
    }
  }
}

// Reads the answer on an open connection. A client waits for the first byte for
// `unread_s` at most if the request may be repeated.
inline Attempt ReadAnswer(int socket, double timeout_s) {
  Attempt attempt;
  std::string buffer;
  Message answer;
  const double deadline = Seconds() + timeout_s;
  if (!ReadHead(socket, buffer, answer, timeout_s)) {
    return attempt;
  }
  attempt.status = answer.Status();
  attempt.is_sealed = !answer.Field("x-response-seal").empty();
  if (answer.Field("transfer-encoding") != "chunked") {
    attempt.is_whole = ReadBody(socket, buffer, answer, deadline - Seconds());
    attempt.body = answer.body;
    return attempt;
  }
  std::string text;
  for (;;) {
    const size_t line = buffer.find("\r\n");
    if (line != std::string::npos) {
      const size_t size =
          std::stoull("0" + buffer.substr(0, line), nullptr, 16);
      if (buffer.size() >= line + 2 + size + 2) {
        text += buffer.substr(line + 2, size);
        buffer.erase(0, line + 2 + size + 2);
        TakeEvents(attempt, text);
        if (size == 0) {
          attempt.is_whole = true;
          return attempt;
        }
        continue;
      }
    }
    if (!ReadMore(socket, buffer, deadline - Seconds())) {
      return attempt;
    }
  }
}

inline Attempt Send(const Instance& instance, const Request& request) {
  const int socket = Connect(instance.front);
  if (socket < 0) {
    return {};
  }
  Attempt attempt;
  if (SendAll(socket, Serialize(request))) {
    attempt = ReadAnswer(socket, request.deadline_s);
  }
  close(socket);
  return attempt;
}

inline std::string EngineConfig(const std::string& service) {
  return "{\"name\":\"" + service +
         "\",\"health_path\":\"/health\",\"max_connections\":360,"
         "\"engine\":{\"slots\":64,\"kv_capacity\":463972,\"stride\":6}}";
}

inline std::string StreamRoute(const std::string& name,
                               const std::string& prefix,
                               const std::string& service) {
  return "{\"name\":\"" + name + "\",\"host\":\"site.example\"," +
         "\"path_prefix\":\"" + prefix + "\",\"type\":\"streaming\"," +
         "\"timeout_ms\":15000,\"target_latency_ms\":2500,\"priority\":2," +
         "\"service\":\"" + service + "\",\"max_attempts\":2," +
         "\"allow_anonymous\":false,\"session_affinity\":true," +
         "\"stream_resume\":true,\"gap_target_ms\":1200}";
}

inline std::string PlainRoute(const std::string& name,
                              const std::string& prefix,
                              const std::string& type,
                              const std::string& service,
                              int max_attempts) {
  return "{\"name\":\"" + name + "\",\"host\":\"site.example\"," +
         "\"path_prefix\":\"" + prefix + "\",\"type\":\"" + type +
         "\",\"timeout_ms\":1500,\"target_latency_ms\":100,\"priority\":2," +
         "\"service\":\"" + service +
         "\",\"max_attempts\":" + std::to_string(max_attempts) +
         ",\"allow_anonymous\":false}";
}

inline std::string PlainService(const std::string& service) {
  return "{\"name\":\"" + service +
         "\",\"health_path\":\"/health\",\"max_connections\":96}";
}

inline std::string Config(int version,
                          const std::string& routes,
                          const std::string& services) {
  return "{\"version\":" + std::to_string(version) + ",\"routes\":[" + routes +
         "],\"services\":[" + services +
         "],\"limits\":{\"header_bytes\":16384,\"body_bytes\":4194304," +
         "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}," +
         "\"tenants\":[{\"name\":\"tenant-1\",\"priority\":0," +
         "\"api_keys\":[\"key-1\"]}]}";
}

inline bool WithTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

}  // namespace review

#endif  // POMELORING_REVIEW_SITE_H_
