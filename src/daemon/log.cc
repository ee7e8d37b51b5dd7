#include "daemon/log.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <boost/json.hpp>

namespace pomeloring {
namespace {

constexpr std::string_view kLevelNames[] = {"debug", "info", "warning",
                                            "error"};
// Limit for each event. A request logs at least two lines, of different events:
// this is enough for the busiest instance of a small site and caps the total
// output at about 2 MB/s.
constexpr int kMaxLinesPerSecond = 200;
// A writable pipe accepts this many bytes without blocking (PIPE_BUF).
constexpr size_t kMaxLineBytes = 4096;

// Returns whether a line can be written without waiting for its reader.
bool IsWritable(int file) {
  pollfd poll_file{file, POLLOUT, 0};
  return poll(&poll_file, 1, 0) == 1 && (poll_file.revents & POLLOUT) != 0;
}

std::string FormatTime(std::chrono::system_clock::time_point time) {
  const auto whole = std::chrono::floor<std::chrono::seconds>(time);
  const auto ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(time - whole);
  return fmt::format("{:%FT%T}.{:03}Z", whole, ms.count());
}

}  // namespace

Log::Log(std::string instance, LogLevel min_level)
    : m_instance(std::move(instance)), m_min_level(min_level) {}

void Log::Write(LogLevel level,
                std::string_view event,
                std::initializer_list<LogField> fields) {
  if (level < m_min_level) {
    return;
  }
  int dropped = 0;
  {
    const std::lock_guard lock(m_mutex);
    EventRate& rate = m_rates[std::string(event)];
    const auto now = std::chrono::steady_clock::now();
    if (now - rate.window_start >= std::chrono::seconds(1)) {
      dropped = rate.dropped;
      rate = {now, 0, 0};
    }
    if (++rate.lines > kMaxLinesPerSecond) {
      ++rate.dropped;
      return;
    }
  }
  boost::json::object line{
      {"time", FormatTime(std::chrono::system_clock::now())},
      {"level", kLevelNames[static_cast<size_t>(level)]},
      {"instance", m_instance},
      {"event", event}};
  for (const LogField& field : fields) {
    if (!field.name.empty()) {
      line[field.name] = field.value;
    }
  }
  if (dropped > 0) {
    line["left_out"] = dropped;
  }
  const std::lock_guard lock(m_mutex);
  if (m_blocked_lines > 0) {
    line["left_out_unread"] = m_blocked_lines;
  }
  std::string text = boost::json::serialize(line);
  text.resize(std::min(text.size(), kMaxLineBytes - 1));
  text += '\n';
  if (IsWritable(STDOUT_FILENO) &&
      write(STDOUT_FILENO, text.data(), text.size()) ==
          static_cast<ssize_t>(text.size())) {
    m_blocked_lines = 0;
  } else {
    ++m_blocked_lines;
  }
}

LogLevel ParseLogLevel(std::string_view text) {
  for (size_t i = 0; i < std::size(kLevelNames); ++i) {
    if (kLevelNames[i] == text) {
      return static_cast<LogLevel>(i);
    }
  }
  return LogLevel::kInfo;
}

}  // namespace pomeloring
