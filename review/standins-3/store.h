// A stand-in for the platform: its store, which is a log, and the API that
// takes reports of usage. The case itself plays the operator and the replicas.

#ifndef POMELORING_REVIEW_STANDINS_3_STORE_H_
#define POMELORING_REVIEW_STANDINS_3_STORE_H_

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "http.h"

namespace review {

struct UsageCall {
  std::chrono::steady_clock::time_point at;
  std::string holder;
  std::string token;
  std::string window;
  std::string counts;  // The JSON text.
};

class Store {
 public:
  // Serves until the process ends.
  void Start(const std::string& address);
  // Writes a record of a keyed topic. An empty value drops the key.
  void Put(const std::string& topic,
           const std::string& key,
           const std::string& value);
  // A drill: is away for `away`, and comes back from a copy that is `age` old.
  void Restore(std::chrono::milliseconds away, std::chrono::milliseconds age);
  std::vector<UsageCall> UsageCalls();

 private:
  struct Record {
    std::string bytes;
    std::chrono::steady_clock::time_point at;
  };
  struct Newest {
    uint64_t offset = 0;
    std::string value;
  };
  struct Topic {
    uint64_t first = 0;           // Of those that are still read.
    std::vector<Record> records;  // All that were written.
    std::map<std::string, Newest> newest;
    uint64_t End() const { return records.size(); }
  };

  bool Handle(int socket, const Request& request);
  bool HandleAppend(int socket, const Request& request);
  bool HandleRead(int socket, const Request& request);
  bool HandleNewest(int socket, const Request& request);
  bool HandleUsage(int socket, const Request& request);
  bool Answer(int socket,
              int status,
              const std::string& type,
              const std::string& body);
  void Add(const std::string& name, const std::string& record);
  void UpdateNewest(const std::string& name, Topic& topic, uint64_t offset);
  void Expire(Topic& topic);

  std::mutex m_mutex;
  std::condition_variable m_appended;
  std::map<std::string, Topic> m_topics;
  std::vector<UsageCall> m_usage;
  std::atomic<int> m_era{0};
  std::atomic<bool> m_is_away{false};
};

}  // namespace review

#endif  // POMELORING_REVIEW_STANDINS_3_STORE_H_
