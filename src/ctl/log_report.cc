#include "ctl/log_report.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>
#include <map>
#include <set>

namespace pomeloring {
namespace {

namespace json = boost::json;

constexpr size_t kSecondsLength = 19;  // Of 2026-12-03T12:34:56.

std::string TextOf(const json::object& object, std::string_view name) {
  const json::value* value = object.if_contains(name);
  return value != nullptr && value->is_string()
             ? std::string(value->get_string())
             : std::string();
}

// Events of no request that change what an instance believes.
bool IsContext(const LogLine& line,
               const std::set<std::string>& instances,
               const std::set<std::string>& upstreams) {
  if (!line.fields.contains("request") &&
      upstreams.contains(TextOf(line.fields, "upstream"))) {
    return true;
  }
  static const std::set<std::string, std::less<>> kInstanceEvents = {
      "started",
      "stopping",
      "stopped",
      "reloaded",
      "store-lost",
      "store-regained",
      "configuration-taken"};
  return kInstanceEvents.contains(line.event) &&
         instances.contains(line.instance);
}

std::string WriteLine(const LogLine& line) {
  std::string out =
      fmt::format("{}  {:<22} {:<20}", line.time, line.instance, line.event);
  for (const auto& field : line.fields) {
    if (field.key() != "level" && field.key() != "request") {
      out += fmt::format(" {}={}", std::string_view(field.key()),
                         field.value().is_string()
                             ? std::string(field.value().get_string())
                             : json::serialize(field.value()));
    }
  }
  return out + "\n";
}

}  // namespace

std::vector<LogLine> ReadLogLines(std::istream& in) {
  std::vector<LogLine> lines;
  std::string text;
  while (std::getline(in, text)) {
    const size_t begin = text.find('{');
    if (begin == std::string::npos) {
      continue;
    }
    json::error_code error;
    json::value value =
        json::parse(std::string_view(text).substr(begin), error);
    if (error || !value.is_object()) {
      continue;
    }
    LogLine line;
    line.fields = std::move(value.get_object());
    line.time = TextOf(line.fields, "time");
    line.instance = TextOf(line.fields, "instance");
    line.event = TextOf(line.fields, "event");
    for (const char* name : {"time", "instance", "event"}) {
      line.fields.erase(name);
    }
    lines.push_back(std::move(line));
  }
  std::stable_sort(
      lines.begin(), lines.end(),
      [](const LogLine& a, const LogLine& b) { return a.time < b.time; });
  return lines;
}

std::string ExplainRequest(std::span<const LogLine> lines,
                           std::string_view request) {
  std::set<std::string> instances;
  std::set<std::string> upstreams;
  std::string last;
  for (const LogLine& line : lines) {
    if (TextOf(line.fields, "request") == request) {
      instances.insert(line.instance);
      upstreams.insert(TextOf(line.fields, "upstream"));
      last = line.time;
    }
  }
  upstreams.erase("");
  std::string out;
  for (const LogLine& line : lines) {
    const bool is_own = TextOf(line.fields, "request") == request;
    if (is_own ||
        (line.time <= last && IsContext(line, instances, upstreams))) {
      out += (is_own ? "* " : "  ") + WriteLine(line);
    }
  }
  return last.empty() ? std::string() : out;
}

std::string SummarizeEnds(std::span<const LogLine> lines) {
  std::map<std::string, std::map<std::string, int>> seconds;
  for (const LogLine& line : lines) {
    if (line.event == "request-ended") {
      const std::string reason = TextOf(line.fields, "reason");
      const std::string outcome = TextOf(line.fields, "outcome");
      ++seconds[line.time.substr(0, kSecondsLength)]
               [reason.empty() ? outcome
                               : fmt::format("{}/{}", outcome, reason)];
    }
  }
  std::string out;
  for (const auto& [second, counts] : seconds) {
    out += second;
    for (const auto& [end, count] : counts) {
      out += fmt::format("  {}={}", end, count);
    }
    out += "\n";
  }
  return out;
}

}  // namespace pomeloring
