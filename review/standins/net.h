// Blocking HTTP/1.1 over POSIX sockets, for the stand-ins of the review.

#ifndef POMELORING_REVIEW_NET_H_
#define POMELORING_REVIEW_NET_H_

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;

inline Clock::time_point g_start = Clock::now();

inline double Seconds() {
  return std::chrono::duration<double>(Clock::now() - g_start).count();
}

inline void Sleep(double seconds) {
  std::this_thread::sleep_for(
      std::chrono::duration<double>(std::max(0.0, seconds)));
}

inline void SleepUntil(double at) {
  Sleep(at - Seconds());
}

inline sockaddr_in LoopbackAddress(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

// Returns a port that is free for TCP and UDP now.
inline int FreePort() {
  static std::mutex mutex;
  static std::map<int, bool> used;
  const std::lock_guard lock(mutex);
  for (;;) {
    const int tcp = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address = LoopbackAddress(0);
    socklen_t size = sizeof address;
    bind(tcp, reinterpret_cast<sockaddr*>(&address), size);
    getsockname(tcp, reinterpret_cast<sockaddr*>(&address), &size);
    const int port = ntohs(address.sin_port);
    const int udp = socket(AF_INET, SOCK_DGRAM, 0);
    address = LoopbackAddress(port);
    const bool free =
        bind(udp, reinterpret_cast<sockaddr*>(&address), size) == 0;
    close(udp);
    close(tcp);
    if (free && !used[port]) {
      used[port] = true;
      return port;
    }
  }
}

inline bool SendAll(int socket, const std::string& bytes) {
  size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t n =
        send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    sent += static_cast<size_t>(n);
  }
  return true;
}

// Whether the peer has closed the connection.
inline bool IsClosed(int socket) {
  char byte = 0;
  const ssize_t n = recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

// Reads more bytes. Returns false at the end, after an error or a timeout.
inline bool ReadMore(int socket, std::string& buffer, double timeout_s) {
  pollfd entry{socket, POLLIN, 0};
  if (poll(&entry, 1, std::max(0, static_cast<int>(timeout_s * 1000))) <= 0) {
    return false;
  }
  char chunk[16384];
  const ssize_t n = recv(socket, chunk, sizeof chunk, 0);
  if (n <= 0) {
    return false;
  }
  buffer.append(chunk, static_cast<size_t>(n));
  return true;
}

inline void Reset(int socket) {
  const linger option{1, 0};
  setsockopt(socket, SOL_SOCKET, SO_LINGER, &option, sizeof option);
  close(socket);
}

inline int Connect(int port, double timeout_s = 1) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  timeval limit{static_cast<time_t>(timeout_s), 0};
  setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  sockaddr_in address = LoopbackAddress(port);
  if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
    close(fd);
    return -1;
  }
  const int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  return fd;
}

struct Message {
  std::string first_line;
  std::map<std::string, std::string> fields;  // Names in lower case.
  std::string body;

  std::string Field(const std::string& name) const {
    const auto found = fields.find(name);
    return found == fields.end() ? "" : found->second;
  }
  int Status() const {
    return first_line.size() < 12 ? 0 : std::atoi(first_line.c_str() + 9);
  }
  std::string Method() const {
    return first_line.substr(0, first_line.find(' '));
  }
  std::string Target() const {
    const size_t at = first_line.find(' ') + 1;
    return first_line.substr(at, first_line.find(' ', at) - at);
  }
};

inline bool ReadHead(int socket,
                     std::string& buffer,
                     Message& message,
                     double timeout_s) {
  const double deadline = Seconds() + timeout_s;
  size_t end = 0;
  while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
    if (!ReadMore(socket, buffer, deadline - Seconds())) {
      return false;
    }
  }
  message = {};
  size_t at = buffer.find("\r\n");
  message.first_line = buffer.substr(0, at);
  while (at < end) {
    const size_t begin = at + 2;
    at = buffer.find("\r\n", begin);
    const std::string line = buffer.substr(begin, at - begin);
    const size_t colon = line.find(':');
    std::string name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(), [](char c) {
      return static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    });
    const size_t value = line.find_first_not_of(' ', colon + 1);
    message.fields[name] = value == std::string::npos ? "" : line.substr(value);
  }
  buffer.erase(0, end + 4);
  return true;
}

// Reads a body with a length.
inline bool ReadBody(int socket,
                     std::string& buffer,
                     Message& message,
                     double timeout_s) {
  const double deadline = Seconds() + timeout_s;
  const size_t length =
      static_cast<size_t>(std::atoll(message.Field("content-length").c_str()));
  while (buffer.size() < length) {
    if (!ReadMore(socket, buffer, deadline - Seconds())) {
      return false;
    }
  }
  message.body = buffer.substr(0, length);
  buffer.erase(0, length);
  return true;
}

inline std::string Answer(int status,
                          const std::string& fields,
                          const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Serves connections, each in a thread of its own. The handler returns false
// if the connection must be closed; it may write the answer by itself.
class Server {
 public:
  using Handler = std::function<bool(int socket, const Message& request)>;

  Server(int port, Handler handler) : m_handler(std::move(handler)) {
    m_socket = socket(AF_INET, SOCK_STREAM, 0);
    const int one = 1;
    setsockopt(m_socket, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    sockaddr_in address = LoopbackAddress(port);
    if (bind(m_socket, reinterpret_cast<sockaddr*>(&address), sizeof address) !=
        0) {
      std::perror("bind");
      std::exit(2);
    }
    listen(m_socket, 512);
    std::thread([this] { Accept(); }).detach();
  }

  // Refuses new connections and resets the open ones, as a crash does.
  void Crash() {
    m_crashed = true;
    shutdown(m_socket, SHUT_RDWR);
    close(m_socket);
    const std::lock_guard lock(m_mutex);
    for (const auto& [fd, unused] : m_open) {
      const linger option{1, 0};
      setsockopt(fd, SOL_SOCKET, SO_LINGER, &option, sizeof option);
      shutdown(fd, SHUT_RDWR);
    }
  }

 private:
  void Accept() {
    for (;;) {
      const int fd = accept(m_socket, nullptr, nullptr);
      if (fd < 0) {
        return;
      }
      const int one = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      std::thread([this, fd] { Serve(fd); }).detach();
    }
  }

  void Serve(int fd) {
    {
      const std::lock_guard lock(m_mutex);
      m_open[fd] = true;
    }
    std::string buffer;
    Message request;
    while (!m_crashed && ReadHead(fd, buffer, request, 60) &&
           ReadBody(fd, buffer, request, 10) && m_handler(fd, request)) {
    }
    const std::lock_guard lock(m_mutex);
    m_open.erase(fd);
    close(fd);
  }

  const Handler m_handler;
  int m_socket = -1;
  std::atomic<bool> m_crashed{false};
  std::mutex m_mutex;
  std::map<int, bool> m_open;
};

}  // namespace review

#endif  // POMELORING_REVIEW_NET_H_
