#include "daemon/log.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <boost/json.hpp>
#include <cstdio>

namespace pomeloring {
namespace {

constexpr std::string_view kLevelNames[] = {"debug", "info", "warning",
                                            "error"};
constexpr int kMostLinesPerSecond = 20;

}  // namespace

Log::Log(std::string instance, LogLevel least)
    : m_instance(std::move(instance)), m_least(least) {}

void Log::Write(LogLevel level,
                std::string_view event,
                std::initializer_list<LogField> fields) {
  if (level < m_least) {
    return;
  }
  int left_out = 0;
  {
    const std::lock_guard lock(m_mutex);
    EventRate& rate = m_rates[std::string(event)];
    const auto now = std::chrono::steady_clock::now();
    if (now - rate.window >= std::chrono::seconds(1)) {
      left_out = rate.left_out;
      rate = {now, 0, 0};
    }
    if (++rate.lines > kMostLinesPerSecond) {
      ++rate.left_out;
      return;
    }
  }
  boost::json::object line{
      {"time",
       fmt::format("{:%FT%TZ}",
                   std::chrono::time_point_cast<std::chrono::milliseconds>(
                       std::chrono::system_clock::now()))},
      {"level", kLevelNames[static_cast<size_t>(level)]},
      {"instance", m_instance},
      {"event", event}};
  for (const LogField& field : fields) {
    line[field.name] = field.value;
  }
  if (left_out > 0) {
    line["left_out"] = left_out;
  }
  fmt::print(stderr, "{}\n", boost::json::serialize(line));
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
