// Defines Log: writes structured lines to standard output, one JSON object
// each.

#ifndef POMELORING_DAEMON_LOG_H_
#define POMELORING_DAEMON_LOG_H_

#include <chrono>
#include <initializer_list>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace pomeloring {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

struct LogField {
  std::string_view name;  // A field without a name is left out.
  std::string value;
};

// Thread-safe. Writing never blocks: lines above the rate limit of their event,
// and lines for which the output is not writable, are dropped and counted.
class Log {
 public:
  Log(std::string instance, LogLevel min_level);

  void Write(LogLevel level,
             std::string_view event,
             std::initializer_list<LogField> fields);

 private:
  struct EventRate {
    std::chrono::steady_clock::time_point window_start;
    int lines = 0;
    int dropped = 0;
  };

  const std::string m_instance;
  const LogLevel m_min_level;
  std::mutex m_mutex;
  int m_blocked_lines = 0;  // Dropped since the last written line.
  std::map<std::string, EventRate, std::less<>> m_rates;
};

// Returns kInfo for an unknown name.
LogLevel ParseLogLevel(std::string_view text);

}  // namespace pomeloring

#endif  // POMELORING_DAEMON_LOG_H_
