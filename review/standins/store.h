// A stand-in for the platform's store: a log with topics, some of them keyed.
// Each machine calls it at a port of its own, so that its path can be cut.

#ifndef POMELORING_REVIEW_STORE_H_
#define POMELORING_REVIEW_STORE_H_

#include <deque>
#include <utility>

#include "net.h"

namespace review {

inline std::string Base64(const std::string& bytes) {
  static const char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (size_t i = 0; i < bytes.size(); i += 3) {
    uint32_t word = 0;
    for (size_t k = 0; k < 3; ++k) {
      word = word << 8 |
             (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k])
                                   : 0U);
    }
    for (size_t k = 0; k < 4; ++k) {
      out += i + k > bytes.size() ? '=' : kDigits[word >> (18 - 6 * k) & 63];
    }
  }
  return out;
}

inline std::string BigEndian(uint64_t number, int bytes) {
  std::string out;
  for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) {
    out += static_cast<char>(number >> shift & 0xFF);
  }
  return out;
}

inline std::string Query(const std::string& target, const std::string& name) {
  size_t at = target.find('?');
  while (at != std::string::npos) {
    const size_t end = target.find('&', at + 1);
    const std::string field =
        target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
    if (field.rfind(name + "=", 0) == 0) {
      return field.substr(name.size() + 1);
    }
    at = end;
  }
  return "";
}

class Store {
 public:
  // Opens a port for one machine.
  int AddPort() {
    const int port = FreePort();
    auto path = std::make_shared<std::atomic<bool>>(false);
    m_cut[port] = path;
    m_servers.push_back(std::make_unique<Server>(
        port, [this, path](int socket, const Message& request) {
          return Handle(socket, request, *path);
        }));
    return port;
  }
  // While the path is cut, calls get no answer.
  void Cut(int port, bool is_cut) { *m_cut.at(port) = is_cut; }
  // Answers 503 to every call: nothing is done.
  void SetDown(bool is_down) { m_is_down = is_down; }
  // Resets the connection of every call: nothing is done.
  void SetResetting(bool is_resetting) { m_is_resetting = is_resetting; }

  // Writes a keyed record; without a value, drops the key.
  void Put(const std::string& topic,
           const std::string& key,
           const std::string& value) {
    const std::lock_guard lock(m_mutex);
    Add(m_topics[topic],
        std::string(1, static_cast<char>(key.size())) + key + value,
        topic.rfind("keyed.", 0) == 0);
  }

  // Deletes the records before the newest ones. The newest of each key stay.
  void Compact(const std::string& topic) {
    const std::lock_guard lock(m_mutex);
    Topic& kept = m_topics[topic];
    kept.first += kept.records.size();
    kept.records.clear();
  }

  // Keyed topics keep the records of the last `keep_s` only.
  void SetHistory(double keep_s) { m_keep_s = keep_s; }

  // Comes back from a copy that is `age_s` old.
  void Restore(double age_s) {
    const std::lock_guard lock(m_mutex);
    const double as_of = Seconds() - age_s;
    ++m_era;
    for (auto& [name, topic] : m_topics) {
      std::deque<Record> records;
      records.swap(topic.records);
      topic.newest.clear();
      for (Record& record : records) {
        if (record.at <= as_of) {
          topic.records.push_back(std::move(record));
        }
      }
      for (size_t i = 0; i < topic.records.size(); ++i) {
        if (name.rfind("keyed.", 0) == 0) {
          Index(topic, topic.records[i].bytes, topic.first + i);
        }
      }
    }
  }

  uint64_t Era() const { return m_era; }

 private:
  struct Record {
    std::string bytes;
    double at = 0;
  };
  struct Topic {
    uint64_t first = 0;
    std::deque<Record> records;
    std::map<std::string, std::pair<std::string, uint64_t>> newest;
  };

  static uint64_t End(const Topic& topic) {
    return topic.first + topic.records.size();
  }

  static void Index(Topic& topic, const std::string& bytes, uint64_t offset) {
    const size_t length = static_cast<unsigned char>(bytes[0]);
    const std::string key = bytes.substr(1, length);
    const std::string value = bytes.substr(1 + length);
    if (value.empty()) {
      topic.newest.erase(key);
    } else {
      topic.newest[key] = {value, offset};
    }
  }

  void Add(Topic& topic, std::string bytes, bool is_keyed) {
    const double now = Seconds();
    if (is_keyed) {
      Index(topic, bytes, End(topic));
      while (!topic.records.empty() &&
             now - topic.records.front().at > m_keep_s) {
        topic.records.pop_front();
        ++topic.first;
      }
    }
    topic.records.push_back({std::move(bytes), now});
  }

  bool Handle(int socket, const Message& request, std::atomic<bool>& is_cut) {
    if (is_cut) {
      while (is_cut && !IsClosed(socket)) {
        Sleep(0.05);
      }
      return false;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(4));
    if (m_is_resetting) {
      const linger reset{.l_onoff = 1, .l_linger = 0};
      setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
      return false;
    }
    if (m_is_down) {
      return Reply(socket, 503, "{}");
    }
    const std::string target = request.Target();
    const std::string path = target.substr(0, target.find('?'));
    const std::string topic = Query(target, "topic");
    if (path == "/api/log-append") {
      return Append(socket, topic, target, request.body);
    }
    if (path == "/api/log-read") {
      return Read(socket, topic, target);
    }
    if (path == "/api/log-newest") {
      return List(socket, topic, Query(target, "after"));
    }
    return Reply(socket, 404, "{}");
  }

  bool Reply(int socket, int status, const std::string& body) {
    return SendAll(
        socket,
        Answer(status, "Store-Era: " + std::to_string(m_era) + "\r\n", body));
  }

  bool Append(int socket,
              const std::string& name,
              const std::string& target,
              const std::string& body) {
    std::unique_lock lock(m_mutex);
    Topic& topic = m_topics[name];
    const uint64_t offset = End(topic);
    const std::string at = Query(target, "at");
    if (!at.empty() && std::stoull(at) != offset) {
      lock.unlock();
      return Reply(socket, 412, "{\"end\":" + std::to_string(offset) + "}");
    }
    for (size_t i = 0; i + 4 <= body.size();) {
      uint64_t length = 0;
      for (size_t k = 0; k < 4; ++k) {
        length = length << 8 | static_cast<unsigned char>(body[i + k]);
      }
      Add(topic, body.substr(i + 4, length), name.rfind("keyed.", 0) == 0);
      i += 4 + length;
    }
    const uint64_t end = End(topic);
    lock.unlock();
    return Reply(socket, 200,
                 "{\"offset\":" + std::to_string(offset) +
                     ",\"end\":" + std::to_string(end) + "}");
  }

  bool Read(int socket, const std::string& name, const std::string& target) {
    const uint64_t from = std::stoull("0" + Query(target, "from"));
    const double deadline =
        Seconds() + std::stod("0" + Query(target, "wait_ms")) / 1000;
    const uint64_t era = m_era;
    std::unique_lock lock(m_mutex);
    while (m_topics[name].first <= from && End(m_topics[name]) <= from &&
           Seconds() < deadline && era == m_era) {
      lock.unlock();
      Sleep(0.005);
      lock.lock();
    }
    const Topic& topic = m_topics[name];
    if (from < topic.first || from > End(topic)) {
      const std::string first = std::to_string(topic.first);
      lock.unlock();
      return Reply(socket, 410, "{\"first\":" + first + "}");
    }
    std::string body = BigEndian(End(topic), 8) + BigEndian(topic.first, 8);
    for (uint64_t at = from; at < End(topic) && body.size() < 1000000; ++at) {
      const std::string& bytes = topic.records[at - topic.first].bytes;
      body += BigEndian(bytes.size(), 4) + bytes;
    }
    lock.unlock();
    return Reply(socket, 200, body);
  }

  bool List(int socket, const std::string& name, const std::string& after) {
    std::unique_lock lock(m_mutex);
    const Topic& topic = m_topics[name];
    std::string items;
    for (auto it = topic.newest.upper_bound(after); it != topic.newest.end();
         ++it) {
      items += std::string(items.empty() ? "" : ",") + "{\"key\":\"" +
               it->first + "\",\"value\":\"" + Base64(it->second.first) +
               "\",\"offset\":" + std::to_string(it->second.second) + "}";
    }
    const std::string end = std::to_string(End(topic));
    lock.unlock();
    return Reply(
        socket, 200,
        "{\"items\":[" + items + "],\"more\":false,\"end\":" + end + "}");
  }

  std::mutex m_mutex;
  std::map<std::string, Topic> m_topics;
  std::atomic<double> m_keep_s{300};
  std::atomic<uint64_t> m_era{0};
  std::atomic<bool> m_is_down{false};
  std::atomic<bool> m_is_resetting{false};
  std::map<int, std::shared_ptr<std::atomic<bool>>> m_cut;
  std::vector<std::unique_ptr<Server>> m_servers;
};

}  // namespace review

#endif  // POMELORING_REVIEW_STORE_H_
