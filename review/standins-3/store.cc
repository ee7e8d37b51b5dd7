#include "store.h"

#include <algorithm>
#include <cstdlib>
#include <thread>

namespace review {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

// As on the sheets: 20 s of history, and 4 ms an answer.
constexpr seconds kKept{20};
constexpr milliseconds kAppendTime{4};
constexpr size_t kMaxItems = 500;

std::string BigEndian(uint64_t number, int bytes) {
  std::string out;
  for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) {
    out += static_cast<char>(number >> shift & 0xFF);
  }
  return out;
}

std::string Base64(const std::string& bytes) {
  static const char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (size_t at = 0; at < bytes.size(); at += 3) {
    uint32_t group = 0;
    for (size_t i = 0; i < 3; ++i) {
      const uint8_t byte =
          at + i < bytes.size() ? static_cast<uint8_t>(bytes[at + i]) : 0;
      group = group << 8 | byte;
    }
    for (size_t i = 0; i < 4; ++i) {
      out += at + i > bytes.size() ? '=' : kDigits[group >> (18 - 6 * i) & 63];
    }
  }
  return out;
}

uint64_t ToNumber(const std::string& text) {
  return std::strtoull(text.c_str(), nullptr, 10);
}

std::string JsonText(const std::string& text) {
  std::string out = "\"";
  for (const char c : text) {
    if (c == '"' || c == '\\') {
      out += '\\';
    }
    out += c;
  }
  return out + "\"";
}

constexpr char kJson[] = "application/json";

}  // namespace

void Store::Start(const std::string& address) {
  Serve(address, [this](int socket, const Request& request) {
    return Handle(socket, request);
  });
}

bool Store::Handle(int socket, const Request& request) {
  const std::string path = request.Path();
  if (path == "/usage") {
    return HandleUsage(socket, request);
  }
  if (m_is_away) {
    return Answer(socket, 503, kJson, "{}");
  }
  if (path == "/api/log-append") {
    return HandleAppend(socket, request);
  }
  if (path == "/api/log-read") {
    return HandleRead(socket, request);
  }
  if (path == "/api/log-newest") {
    return HandleNewest(socket, request);
  }
  return Answer(socket, 404, kJson, "{}");
}

bool Store::Answer(int socket,
                   int status,
                   const std::string& type,
                   const std::string& body) {
  return SendReply(socket, status,
                   "Content-Type: " + type +
                       "\r\nStore-Era: " + std::to_string(m_era) + "\r\n",
                   body);
}

void Store::Expire(Topic& topic) {
  const auto now = steady_clock::now();
  while (topic.first < topic.End() &&
         now - topic.records[topic.first].at > kKept) {
    ++topic.first;
  }
}

void Store::UpdateNewest(const std::string& name,
                         Topic& topic,
                         uint64_t offset) {
  const std::string& record = topic.records[offset].bytes;
  if (name.rfind("keyed.", 0) != 0 || record.empty()) {
    return;
  }
  const auto length = static_cast<uint8_t>(record[0]);
  const std::string key = record.substr(1, length);
  const std::string value = record.substr(1 + size_t{length});
  if (value.empty()) {
    topic.newest.erase(key);
  } else {
    topic.newest[key] = {offset, value};
  }
}

void Store::Add(const std::string& name, const std::string& record) {
  Topic& topic = m_topics[name];
  topic.records.push_back({record, steady_clock::now()});
  UpdateNewest(name, topic, topic.End() - 1);
  m_appended.notify_all();
}

void Store::Put(const std::string& topic,
                const std::string& key,
                const std::string& value) {
  const std::lock_guard lock(m_mutex);
  Add(topic, static_cast<char>(key.size()) + key + value);
}

void Store::Restore(milliseconds away, milliseconds age) {
  m_is_away = true;
  std::this_thread::sleep_for(away);
  const std::lock_guard lock(m_mutex);
  const auto copied_at = steady_clock::now() - away - age;
  for (auto& [name, topic] : m_topics) {
    while (!topic.records.empty() && topic.records.back().at > copied_at) {
      topic.records.pop_back();
    }
    topic.first = std::min(topic.first, topic.End());
    topic.newest.clear();
    for (uint64_t offset = 0; offset < topic.End(); ++offset) {
      UpdateNewest(name, topic, offset);
    }
  }
  ++m_era;
  m_is_away = false;
}

std::vector<UsageCall> Store::UsageCalls() {
  const std::lock_guard lock(m_mutex);
  return m_usage;
}

bool Store::HandleAppend(int socket, const Request& request) {
  std::this_thread::sleep_for(kAppendTime);
  uint64_t offset = 0;
  uint64_t end = 0;
  {
    const std::lock_guard lock(m_mutex);
    const std::string name = request.Parameter("topic");
    Topic& topic = m_topics[name];
    offset = topic.End();
    const std::string at = request.Parameter("at");
    if (!at.empty() && ToNumber(at) != offset) {
      end = offset;
      return Answer(socket, 412, kJson,
                    "{\"end\":" + std::to_string(end) + "}");
    }
    const std::string& body = request.body;
    size_t next = 0;
    while (next + 4 <= body.size()) {
      size_t length = 0;
      for (size_t i = 0; i < 4; ++i) {
        length = length << 8 | static_cast<uint8_t>(body[next + i]);
      }
      Add(name, body.substr(next + 4, length));
      next += 4 + length;
    }
    end = topic.End();
  }
  return Answer(socket, 200, kJson,
                "{\"offset\":" + std::to_string(offset) +
                    ",\"end\":" + std::to_string(end) + "}");
}

bool Store::HandleRead(int socket, const Request& request) {
  const uint64_t from = ToNumber(request.Parameter("from"));
  const auto deadline = steady_clock::now() +
                        milliseconds(ToNumber(request.Parameter("wait_ms")));
  std::string body;
  {
    std::unique_lock lock(m_mutex);
    Topic& topic = m_topics[request.Parameter("topic")];
    while (from == topic.End() && steady_clock::now() < deadline) {
      m_appended.wait_until(lock, deadline);
    }
    Expire(topic);
    if (from < topic.first || from > topic.End()) {
      const std::string first = std::to_string(topic.first);
      lock.unlock();
      return Answer(socket, 410, kJson, "{\"first\":" + first + "}");
    }
    body = BigEndian(topic.End(), 8) + BigEndian(topic.first, 8);
    for (uint64_t at = from; at < topic.End() && body.size() < 1'000'000;
         ++at) {
      const std::string& record = topic.records[at].bytes;
      body += BigEndian(record.size(), 4) + record;
    }
  }
  return Answer(socket, 200, "application/octet-stream", body);
}

bool Store::HandleNewest(int socket, const Request& request) {
  std::string body = "{\"items\":[";
  {
    const std::lock_guard lock(m_mutex);
    const Topic& topic = m_topics[request.Parameter("topic")];
    const std::string after = request.Parameter("after");
    size_t count = 0;
    auto at = topic.newest.upper_bound(after);
    for (; at != topic.newest.end() && count < kMaxItems; ++at, ++count) {
      body += (count == 0 ? "{\"key\":" : ",{\"key\":") + JsonText(at->first) +
              ",\"value\":\"" + Base64(at->second.value) +
              "\",\"offset\":" + std::to_string(at->second.offset) + "}";
    }
    body += std::string("],\"more\":") +
            (at == topic.newest.end() ? "false" : "true") +
            ",\"end\":" + std::to_string(topic.End()) + "}";
  }
  return Answer(socket, 200, kJson, body);
}

bool Store::HandleUsage(int socket, const Request& request) {
  const std::string& body = request.body;
  const size_t window = body.find("\"window_id\":");
  const size_t counts = body.find("\"counts\":");
  if (window == std::string::npos || counts == std::string::npos) {
    return Answer(socket, 400, kJson, "{}");
  }
  {
    const std::lock_guard lock(m_mutex);
    m_usage.push_back(
        {steady_clock::now(), request.Field("x-duty-holder"),
         request.Field("x-fencing-token"),
         std::to_string(ToNumber(body.substr(window + 12))),
         body.substr(counts + 9, body.find('}', counts) - counts - 8)});
  }
  return Answer(socket, 200, kJson, "{}");
}

}  // namespace review
