#include "http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <thread>

namespace review {
namespace {

std::string LowerCase(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return text;
}

sockaddr_in ParseAddress(const std::string& address) {
  const size_t colon = address.find(':');
  sockaddr_in out{};
  out.sin_family = AF_INET;
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &out.sin_addr);
  out.sin_port = htons(
      static_cast<uint16_t>(std::atoi(address.substr(colon + 1).c_str())));
  return out;
}

// Reads into `buffer` until it holds `text`. Returns its position, or npos.
size_t ReadUntil(int socket, std::string& buffer, const std::string& text) {
  while (true) {
    const size_t at = buffer.find(text);
    if (at != std::string::npos) {
      return at;
    }
    char chunk[8192];
    const ssize_t size = recv(socket, chunk, sizeof(chunk), 0);
    if (size <= 0) {
      return std::string::npos;
    }
    buffer.append(chunk, static_cast<size_t>(size));
  }
}

bool ReadSize(int socket, std::string& buffer, size_t size) {
  while (buffer.size() < size) {
    char chunk[8192];
    const ssize_t got = recv(socket, chunk, sizeof(chunk), 0);
    if (got <= 0) {
      return false;
    }
    buffer.append(chunk, static_cast<size_t>(got));
  }
  return true;
}

// Parses the lines after the first one of `head`.
std::map<std::string, std::string> ParseFields(const std::string& head) {
  std::map<std::string, std::string> fields;
  size_t at = head.find("\r\n");
  while (at != std::string::npos && at + 2 < head.size()) {
    const size_t end = std::min(head.find("\r\n", at + 2), head.size());
    const std::string line = head.substr(at + 2, end - at - 2);
    const size_t colon = line.find(':');
    if (colon != std::string::npos) {
      const size_t value = line.find_first_not_of(' ', colon + 1);
      fields[LowerCase(line.substr(0, colon))] =
          value == std::string::npos ? "" : line.substr(value);
    }
    at = end;
  }
  return fields;
}

void ServeConnection(int socket, const Handler& handler) {
  std::string buffer;
  while (true) {
    const size_t end = ReadUntil(socket, buffer, "\r\n\r\n");
    if (end == std::string::npos) {
      break;
    }
    const std::string head = buffer.substr(0, end);
    buffer.erase(0, end + 4);
    Request request;
    const std::string line = head.substr(0, head.find("\r\n"));
    const size_t first = line.find(' ');
    const size_t second = line.find(' ', first + 1);
    if (first == std::string::npos || second == std::string::npos) {
      break;
    }
    request.method = line.substr(0, first);
    request.target = line.substr(first + 1, second - first - 1);
    request.fields = ParseFields(head);
    const auto size = static_cast<size_t>(
        std::atoll(request.Field("content-length").c_str()));
    if (!ReadSize(socket, buffer, size)) {
      break;
    }
    request.body = buffer.substr(0, size);
    buffer.erase(0, size);
    const bool closes = request.Field("connection") == "close";
    if (!handler(socket, request) || closes) {
      break;
    }
  }
  close(socket);
}

// Returns a connected socket, or -1. Reads time out after `timeout_ms`.
int Connect(const std::string& address, int timeout_ms) {
  const int connected = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const timeval timeout{timeout_ms / 1000, timeout_ms % 1000 * 1000};
  setsockopt(connected, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
  setsockopt(connected, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
  const sockaddr_in to = ParseAddress(address);
  if (connect(connected, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) !=
      0) {
    close(connected);
    return -1;
  }
  const int on = 1;
  setsockopt(connected, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return connected;
}

}  // namespace

std::string Request::Field(const std::string& name) const {
  const auto found = fields.find(name);
  return found == fields.end() ? "" : found->second;
}

std::string Request::Parameter(const std::string& name) const {
  size_t at = target.find('?');
  while (at != std::string::npos) {
    const size_t end = std::min(target.find('&', at + 1), target.size());
    const std::string field = target.substr(at + 1, end - at - 1);
    if (field.rfind(name + "=", 0) == 0) {
      return field.substr(name.size() + 1);
    }
    at = end < target.size() ? end : std::string::npos;
  }
  return "";
}

std::string Request::Path() const {
  return target.substr(0, target.find('?'));
}

void Serve(const std::string& address, Handler handler) {
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in bound = ParseAddress(address);
  if (bind(listener, reinterpret_cast<const sockaddr*>(&bound),
           sizeof(bound)) != 0 ||
      listen(listener, 1024) != 0) {
    std::fprintf(stderr, "can't listen on %s\n", address.c_str());
    std::_Exit(2);
  }
  std::thread([listener, handler = std::move(handler)] {
    while (true) {
      const int connected = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (connected < 0) {
        continue;
      }
      const int no_delay = 1;
      setsockopt(connected, IPPROTO_TCP, TCP_NODELAY, &no_delay,
                 sizeof(no_delay));
      std::thread(ServeConnection, connected, handler).detach();
    }
  }).detach();
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

bool SendReply(int socket,
               int status,
               const std::string& more_fields,
               const std::string& body) {
  return SendAll(socket, "HTTP/1.1 " + std::to_string(status) + " Reply\r\n" +
                             more_fields + "Content-Length: " +
                             std::to_string(body.size()) + "\r\n\r\n" + body);
}

Reply Exchange(const std::string& address,
               const std::string& request,
               int timeout_ms,
               const std::function<bool(const std::string& bytes)>& on_bytes) {
  Reply reply;
  const int socket = Connect(address, timeout_ms);
  if (socket < 0) {
    return reply;
  }
  std::string buffer;
  size_t end = std::string::npos;
  if (SendAll(socket, request)) {
    end = ReadUntil(socket, buffer, "\r\n\r\n");
  }
  if (end == std::string::npos) {
    close(socket);
    return reply;
  }
  const std::string head = buffer.substr(0, end);
  buffer.erase(0, end + 4);
  reply.status = std::atoi(head.substr(head.find(' ') + 1).c_str());
  reply.fields = ParseFields(head);
  const auto add = [&](const std::string& bytes) {
    reply.body += bytes;
    return !on_bytes || on_bytes(bytes);
  };
  if (reply.fields.contains("transfer-encoding")) {
    while (true) {
      const size_t line = ReadUntil(socket, buffer, "\r\n");
      if (line == std::string::npos) {
        break;
      }
      const size_t size = std::strtoull(buffer.c_str(), nullptr, 16);
      if (!ReadSize(socket, buffer, line + 2 + size + 2)) {
        break;
      }
      const std::string bytes = buffer.substr(line + 2, size);
      buffer.erase(0, line + 2 + size + 2);
      if (size == 0) {
        reply.is_whole = true;
        break;
      }
      if (!add(bytes)) {
        break;
      }
    }
  } else {
    const auto size =
        static_cast<size_t>(std::atoll(reply.fields["content-length"].c_str()));
    reply.is_whole = ReadSize(socket, buffer, size);
    add(buffer.substr(0, size));
  }
  close(socket);
  return reply;
}

}  // namespace review
