#include "scene.h"

#include <arpa/inet.h>
#include <dirent.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <thread>

namespace review {
namespace {

using Clock = std::chrono::steady_clock;

const Clock::time_point kStart = Clock::now();
std::mutex g_record_mutex;
std::ofstream g_record;
std::vector<pid_t> g_processes;
std::string g_folder;  // For settings.

constexpr char kHost[] = "registers.example";

sockaddr_in SocketAddress(const Address& address) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(address.port);
  inet_pton(AF_INET, address.ip.c_str(), &out.sin_addr);
  return out;
}

void SetTimeout(int socket, int ms) {
  const timeval limit{ms / 1000, (ms % 1000) * 1000};
  setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
}

std::string LowerCase(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

bool ReadSome(int socket, std::string& pending) {
  char chunk[16384];
  const ssize_t size = recv(socket, chunk, sizeof chunk, 0);
  if (size <= 0) {
    return false;
  }
  pending.append(chunk, static_cast<size_t>(size));
  return true;
}

bool FillTo(int socket, std::string& pending, size_t size) {
  while (pending.size() < size) {
    if (!ReadSome(socket, pending)) {
      return false;
    }
  }
  return true;
}

std::string BigEndian(uint64_t number, int bytes) {
  std::string out;
  for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) {
    out += static_cast<char>(number >> shift & 0xFF);
  }
  return out;
}

std::string Base64(const std::string& text) {
  static constexpr char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (size_t at = 0; at < text.size(); at += 3) {
    uint32_t bits = 0;
    for (size_t i = 0; i < 3; ++i) {
      bits = bits << 8 |
             (at + i < text.size() ? static_cast<unsigned char>(text[at + i])
                                   : 0U);
    }
    for (int i = 0; i < 4; ++i) {
      out += at + static_cast<size_t>(i) > text.size()
                 ? '='
                 : kDigits[bits >> (18 - 6 * i) & 63];
    }
  }
  return out;
}

std::string QueryField(const std::string& target, const std::string& name) {
  size_t at = target.find('?');
  while (at != std::string::npos) {
    const size_t end = std::min(target.find('&', at + 1), target.size());
    const std::string field = target.substr(at + 1, end - at - 1);
    if (field.rfind(name + "=", 0) == 0) {
      return field.substr(name.size() + 1);
    }
    at = end < target.size() ? end : std::string::npos;
  }
  return {};
}

uint64_t QueryNumber(const std::string& target, const std::string& name) {
  const std::string text = QueryField(target, name);
  return text.empty() ? 0 : std::strtoull(text.c_str(), nullptr, 10);
}

std::string HttpAnswer(int status,
                       const std::string& type,
                       const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " x\r\nContent-Type: " + type +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

// Serves each connection in a thread of its own.
void AcceptAll(int listener, std::function<void(int)> serve) {
  std::thread([listener, serve = std::move(serve)] {
    while (true) {
      const int socket = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (socket < 0) {
        SleepMs(10);
        continue;
      }
      const int on = 1;
      setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      std::thread([socket, serve] {
        serve(socket);
        close(socket);
      }).detach();
    }
  }).detach();
}

}  // namespace

double Seconds() {
  return std::chrono::duration<double>(Clock::now() - kStart).count();
}

void SleepMs(int ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

void OpenRecord(const std::string& path) {
  g_record.open(path, std::ios::trunc);
  signal(SIGPIPE, SIG_IGN);
}

void Record(const std::string& line) {
  const std::lock_guard lock(g_record_mutex);
  char time[32];
  std::snprintf(time, sizeof time, "%8.3f  ", Seconds());
  g_record << time << line << std::endl;
}

void GiveUp(const std::string& why) {
  Record("the case could not run: " + why);
  std::fprintf(stderr, "could not run: %s\n", why.c_str());
  StopAll();
  _exit(kNotRun);
}

std::string Text(const Address& address) {
  return address.ip + ":" + std::to_string(address.port);
}

Listener ListenAt(const std::string& ip, int receive_buffer) {
  Listener out;
  out.socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  out.address.ip = ip;
  if (receive_buffer > 0) {
    setsockopt(out.socket, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
               sizeof receive_buffer);
  }
  sockaddr_in address = SocketAddress(out.address);
  socklen_t size = sizeof address;
  if (bind(out.socket, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      listen(out.socket, 1024) != 0) {
    GiveUp("can't listen at " + ip);
  }
  getsockname(out.socket, reinterpret_cast<sockaddr*>(&address), &size);
  out.address.port = ntohs(address.sin_port);
  return out;
}

uint16_t FreePort(const std::string& ip) {
  const Listener listener = ListenAt(ip);
  close(listener.socket);
  return listener.address.port;
}

int ConnectTo(const Address& address, int timeout_ms, int receive_buffer) {
  const int out = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (out < 0) {
    return -1;
  }
  if (receive_buffer > 0) {
    setsockopt(out, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
               sizeof receive_buffer);
  }
  SetTimeout(out, timeout_ms);
  const sockaddr_in to = SocketAddress(address);
  if (connect(out, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0) {
    close(out);
    return -1;
  }
  return out;
}

bool SendAll(int socket, const std::string& bytes) {
  size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t size =
        send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (size <= 0) {
      return false;
    }
    sent += static_cast<size_t>(size);
  }
  return true;
}

std::optional<HttpMessage> ReadMessage(int socket, std::string& pending) {
  size_t head_end = pending.find("\r\n\r\n");
  while (head_end == std::string::npos) {
    if (!ReadSome(socket, pending)) {
      return std::nullopt;
    }
    head_end = pending.find("\r\n\r\n");
  }
  HttpMessage message;
  size_t at = pending.find("\r\n");
  message.first_line = pending.substr(0, at);
  while (at < head_end) {
    const size_t begin = at + 2;
    at = pending.find("\r\n", begin);
    const std::string line = pending.substr(begin, at - begin);
    const size_t colon = line.find(':');
    if (colon != std::string::npos) {
      const size_t value = line.find_first_not_of(' ', colon + 1);
      message.fields[LowerCase(line.substr(0, colon))] =
          value == std::string::npos ? "" : line.substr(value);
    }
  }
  pending.erase(0, head_end + 4);
  if (message.fields["transfer-encoding"] == "chunked") {
    while (true) {
      size_t line_end = pending.find("\r\n");
      while (line_end == std::string::npos) {
        if (!ReadSome(socket, pending)) {
          return std::nullopt;
        }
        line_end = pending.find("\r\n");
      }
      const size_t size = std::strtoull(pending.c_str(), nullptr, 16);
      if (!FillTo(socket, pending, line_end + 2 + size + 2)) {
        return std::nullopt;
      }
      message.body.append(pending, line_end + 2, size);
      pending.erase(0, line_end + 2 + size + 2);
      if (size == 0) {
        return message;
      }
    }
  }
  const size_t length =
      std::strtoull(message.fields["content-length"].c_str(), nullptr, 10);
  if (!FillTo(socket, pending, length)) {
    return std::nullopt;
  }
  message.body = pending.substr(0, length);
  pending.erase(0, length);
  return message;
}

// --- The platform's store ----------------------------------------------------

Store::Store() : m_listener(ListenAt("127.0.0.1")) {
  AcceptAll(m_listener.socket, [this](int socket) { Serve(socket); });
}

void Store::Put(const std::string& topic,
                const std::string& key,
                const std::string& value) {
  const std::lock_guard lock(m_mutex);
  Topic& known = m_topics[topic];
  known.newest[key] = {known.records.size(), value};
  known.records.push_back(std::string(1, static_cast<char>(key.size())) + key +
                          value);
}

void Store::Serve(int socket) {
  std::string pending;
  while (const auto request = ReadMessage(socket, pending)) {
    if (!SendAll(socket, Answer(*request))) {
      return;
    }
  }
}

std::string Store::Answer(const HttpMessage& request) {
  const size_t begin = request.first_line.find(' ') + 1;
  const std::string target = request.first_line.substr(
      begin, request.first_line.find(' ', begin) - begin);
  const std::string path = target.substr(0, target.find('?'));
  const std::string name = QueryField(target, "topic");
  if (path == "/api/log-read") {
    const uint64_t from = QueryNumber(target, "from");
    const uint64_t wait_ms = QueryNumber(target, "wait_ms");
    const auto deadline = Clock::now() + std::chrono::milliseconds(wait_ms);
    while (true) {
      {
        const std::lock_guard lock(m_mutex);
        const auto& records = m_topics[name].records;
        if (from < records.size() || Clock::now() >= deadline) {
          std::string body = BigEndian(records.size(), 8) + BigEndian(0, 8);
          for (size_t at = from; at < records.size(); ++at) {
            body += BigEndian(records[at].size(), 4) + records[at];
          }
          return HttpAnswer(200, "application/octet-stream", body);
        }
      }
      SleepMs(4);
    }
  }
  const std::lock_guard lock(m_mutex);
  Topic& topic = m_topics[name];
  if (path == "/api/log-newest") {
    std::string items;
    for (const auto& [key, newest] : topic.newest) {
      items += std::string(items.empty() ? "" : ",") + "{\"key\":\"" + key +
               "\",\"value\":\"" + Base64(newest.second) +
               "\",\"offset\":" + std::to_string(newest.first) + "}";
    }
    return HttpAnswer(200, "application/json",
                      "{\"items\":[" + items + "],\"more\":false,\"end\":" +
                          std::to_string(topic.records.size()) + "}");
  }
  if (path == "/api/log-append") {
    const uint64_t offset = topic.records.size();
    size_t at = 0;
    while (at + 4 <= request.body.size()) {
      size_t size = 0;
      for (size_t i = 0; i < 4; ++i) {
        size = size << 8 | static_cast<unsigned char>(request.body[at + i]);
      }
      topic.records.push_back(request.body.substr(at + 4, size));
      at += 4 + size;
    }
    return HttpAnswer(200, "application/json",
                      "{\"offset\":" + std::to_string(offset) + ",\"end\":" +
                          std::to_string(topic.records.size()) + "}");
  }
  return HttpAnswer(404, "application/json", "{}");
}

// --- Replicas ----------------------------------------------------------------

Replica::Replica(std::string id, OnRun on_run)
    : m_id(std::move(id)),
      m_on_run(std::move(on_run)),
      m_listener(ListenAt("127.0.0.1")) {
  AcceptAll(m_listener.socket, [this](int socket) { Serve(socket); });
}

Replica::Replica(std::string id, ServeConnection serve, int receive_buffer)
    : m_id(std::move(id)), m_listener(ListenAt("127.0.0.1", receive_buffer)) {
  AcceptAll(m_listener.socket, [this, serve = std::move(serve)](int socket) {
    serve(socket, m_id);
  });
}

void Replica::Serve(int socket) {
  std::string pending;
  while (auto request = ReadMessage(socket, pending)) {
    const std::string echo =
        "\r\nX-Request-Id: " + request->fields["x-request-id"] + "\r\n";
    if (request->fields["x-expect-instance"] != m_id) {
      if (!SendAll(socket, "HTTP/1.1 421 Misdirected" + echo +
                               "X-Not-Executed: 1\r\nContent-Length: "
                               "0\r\n\r\n")) {
        return;
      }
      continue;
    }
    m_on_run(*request);
    SleepMs(15);
    if (!SendAll(socket, "HTTP/1.1 200 OK" + echo + "X-Response-Seal: seal-" +
                             m_id + "\r\nContent-Length: 800\r\n\r\n" +
                             std::string(800, 'r'))) {
      return;
    }
  }
}

// --- Gateways ----------------------------------------------------------------

Gateway StartGateway(const std::string& ip,
                     const Store& store,
                     size_t max_files,
                     const std::string& more_settings) {
  Gateway out;
  out.caller = {ip, FreePort(ip)};
  out.directory = {ip, FreePort(ip)};
  out.ready = {ip, FreePort(ip)};
  const Address peer{ip, FreePort(ip)};
  if (g_folder.empty()) {
    std::string pattern = "/tmp/review-XXXXXX";
    if (const char* folder = mkdtemp(pattern.data())) {
      g_folder = folder;
    } else {
      GiveUp("no temporary folder");
    }
  }
  const std::string file =
      g_folder + "/settings-" + std::to_string(out.caller.port) + ".json";
  std::ofstream(file)
      << "{\"name\":\"front-hall-sezana-" << out.caller.port
      << "\",\"failure_domain\":\"hall-sezana\",\"region\":\"primorska\","
      << "\"caller_address\":\"" << Text(out.caller)
      << "\",\"directory_address\":\"" << Text(out.directory)
      << "\",\"ready_address\":\"" << Text(out.ready)
      << "\",\"peer_address\":\"" << Text(peer) << "\",\"metrics_address\":\""
      << ip << ":" << FreePort(ip) << "\",\"platform_address\":\""
      << Text(store.At()) << "\",\"isolate_streams\":true,\"link_mbps\":1000.0,"
      << "\"first_start\":true,\"change_deadline_ms\":2000,\"seeds\":[\""
      << Text(peer) << "\"],\"retry_share\":0.2,\"retry_fixed\":52,"
      << "\"retry_window_s\":10,\"longest_drain_s\":8" << more_settings << "}";
  out.pid = fork();
  if (out.pid == 0) {
    rlimit files{max_files, max_files};
    setrlimit(RLIMIT_NOFILE, &files);
    close_range(STDERR_FILENO + 1, ~0U, 0);
    const int nowhere = open("/dev/null", O_WRONLY);
    dup2(nowhere, STDOUT_FILENO);
    dup2(nowhere, STDERR_FILENO);
    signal(SIGPIPE, SIG_DFL);
    execl("target/bin/pomeloring-gateway", "pomeloring-gateway", "--settings",
          file.c_str(), nullptr);
    _exit(127);
  }
  g_processes.push_back(out.pid);
  return out;
}

bool IsRunning(const Gateway& gateway) {
  return waitpid(gateway.pid, nullptr, WNOHANG) == 0;
}

size_t CountDescriptors(const Gateway& gateway) {
  const std::string folder = "/proc/" + std::to_string(gateway.pid) + "/fd";
  size_t count = 0;
  if (DIR* open_files = opendir(folder.c_str())) {
    while (const dirent* entry = readdir(open_files)) {
      count += entry->d_name[0] != '.' ? 1 : 0;
    }
    closedir(open_files);
  }
  return count;
}

uint64_t PeakKilobytes(const Gateway& gateway) {
  std::ifstream status("/proc/" + std::to_string(gateway.pid) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.rfind("VmHWM:", 0) == 0) {
      return std::strtoull(line.c_str() + 6, nullptr, 10);
    }
  }
  return 0;
}

void AwaitServing(const Gateway& gateway, const std::string& path) {
  Call ready;
  ready.path = "/api/ready";
  Call call;
  call.path = path;
  call.key = "key-1";
  for (int tries = 0; tries < 100; ++tries) {
    if (!IsRunning(gateway)) {
      GiveUp("the gateway has ended; is target/ built?");
    }
    if (Send(gateway.ready, ready, "ready").status == 200 &&
        Send(gateway.caller, call, "first-" + std::to_string(tries)).status ==
            200) {
      return;
    }
    SleepMs(100);
  }
  GiveUp("the gateway does not serve");
}

void StopAll() {
  for (const pid_t pid : g_processes) {
    kill(pid, SIGKILL);
    waitpid(pid, nullptr, 0);
  }
  g_processes.clear();
  if (!g_folder.empty()) {
    if (DIR* files = opendir(g_folder.c_str())) {
      while (const dirent* entry = readdir(files)) {
        if (entry->d_name[0] != '.') {
          unlink((g_folder + "/" + entry->d_name).c_str());
        }
      }
      closedir(files);
    }
    rmdir(g_folder.c_str());
  }
}

size_t PermittedFiles(size_t wanted) {
  rlimit files{};
  getrlimit(RLIMIT_NOFILE, &files);
  return std::min<size_t>(wanted, files.rlim_max);
}

// --- Clients -----------------------------------------------------------------

std::string WriteCall(const Call& call, const std::string& id) {
  std::string out = call.method + " " + call.path +
                    " HTTP/1.1\r\nHost: " + kHost + "\r\nX-Request-Id: " + id +
                    "\r\nX-Deadline-Ms: " + std::to_string(call.deadline_ms) +
                    "\r\n";
  if (!call.key.empty()) {
    out += "X-Key: " + call.key + "\r\n";
  }
  if (!call.body.empty()) {
    out += "Content-Length: " + std::to_string(call.body.size()) + "\r\n";
  }
  return out + call.more_fields + "\r\n" + call.body;
}

Reply Send(const Address& to, const Call& call, const std::string& id) {
  Reply reply;
  reply.began_at = Seconds();
  // Clients allow a new connection one second.
  const int connection = ConnectTo(to, 1000);
  if (connection < 0) {
    reply.failure = kNoConnection;
  } else {
    SetTimeout(connection, call.deadline_ms);
    std::string pending;
    if (SendAll(connection, WriteCall(call, id))) {
      if (const auto message = ReadMessage(connection, pending)) {
        reply.status = std::atoi(message->first_line.c_str() + 9);
        const auto seal = message->fields.find("x-response-seal");
        reply.seal = seal == message->fields.end() ? "" : seal->second;
        reply.body_bytes = message->body.size();
        reply.is_complete = true;
      }
    }
    if (reply.status == 0) {
      reply.failure = Seconds() - reply.began_at >= 0.9 * call.deadline_ms / 1e3
                          ? "no answer by the deadline"
                          : "connection closed without an answer";
    }
    close(connection);
  }
  reply.took_s = Seconds() - reply.began_at;
  return reply;
}

std::vector<pid_t> StartCrowd(size_t connections,
                              size_t per_process,
                              const Address& to,
                              int receive_buffer,
                              const CrowdAct& act) {
  std::vector<pid_t> crowd;
  for (size_t at = 0; at < connections; at += per_process) {
    const pid_t pid = fork();
    if (pid == 0) {
      close_range(STDERR_FILENO + 1, ~0U, 0);
      std::vector<int> sockets;
      for (size_t i = at; i < std::min(connections, at + per_process); ++i) {
        const int connection = ConnectTo(to, 1000, receive_buffer);
        if (connection >= 0) {
          sockets.push_back(connection);
        }
      }
      act(sockets);
      while (true) {
        pause();
      }
    }
    crowd.push_back(pid);
    g_processes.push_back(pid);
  }
  return crowd;
}

void EndCrowd(const std::vector<pid_t>& crowd) {
  for (const pid_t pid : crowd) {
    kill(pid, SIGKILL);
    waitpid(pid, nullptr, 0);
    std::erase(g_processes, pid);
  }
}

std::string ConfigText() {
  const auto route = [](const std::string& name, const std::string& type,
                        const std::string& service) {
    return "{\"name\":\"" + name + "\",\"host\":\"" + kHost +
           "\",\"path_prefix\":\"/" + name + "/\",\"type\":\"" + type +
           "\",\"timeout_ms\":800,\"target_latency_ms\":100,\"priority\":2,"
           "\"service\":\"" +
           service +
           "\",\"max_attempts\":1,\"allow_anonymous\":false,"
           "\"session_affinity\":false,\"stream_resume\":false}";
  };
  return "{\"version\":7,\"routes\":[" + route("check", "safe", "ledger-app") +
         "," + route("stamp", "unsafe", "ledger-app") + "," +
         route("long", "safe", "ledger-long") +
         "],\"services\":[{\"name\":\"ledger-app\",\"health_path\":\"/health\","
         "\"max_connections\":96,\"protocol\":\"h1\",\"tls\":false},"
         "{\"name\":\"ledger-long\",\"health_path\":\"/health\","
         "\"max_connections\":96,\"protocol\":\"h1\",\"tls\":false}],"
         "\"limits\":{\"header_bytes\":16384,\"body_bytes\":4194304,"
         "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
         "\"tenants\":[{\"name\":\"hule930\",\"api_keys\":[\"key-1\"],"
         "\"priority\":1}]}";
}

std::string EntryOf(const Replica& replica, const std::string& service) {
  return "{\"service\":\"" + service + "\",\"address\":\"" +
         Text(replica.At()) +
         "\",\"zone\":\"hall-sezana\",\"version\":\"v1\",\"slots\":6,"
         "\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":4,"
         "\"born\":1765000000000}";
}

}  // namespace review
