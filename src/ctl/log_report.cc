#include "ctl/log_report.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>
#include <map>
#include <set>

namespace pomeloring {
namespace {

namespace json = boost::json;

constexpr size_t kSecondPrefixLength = 19;  // 2026-12-03T12:34:56

std::string StringField(const json::object& object, std::string_view name) {
  const json::value* value = object.if_contains(name);
  return value != nullptr && value->is_string()
             ? std::string(value->get_string())
             : std::string();
}

// Returns whether the line reports a state change of one of `instances`, or
// names one of `upstreams` without belonging to a request.
bool IsContextEvent(const LogLine& line,
                    const std::set<std::string>& instances,
                    const std::set<std::string>& upstreams) {
  if (!line.fields.contains("request") &&
      upstreams.contains(StringField(line.fields, "upstream"))) {
    return true;
  }
  static const std::set<std::string, std::less<>> kInstanceEvents = {
      "started",
      "stopping",
      "stopped",
      "reloaded",
      "store-lost",
      "store-regained",
      "configuration-taken",
      "duties-gained",
      "duties-lost",
      "flow-started",
      "flow-ended"};
  return kInstanceEvents.contains(line.event) &&
         instances.contains(line.instance);
}

std::string FormatLine(const LogLine& line) {
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
    line.time = StringField(line.fields, "time");
    line.instance = StringField(line.fields, "instance");
    line.event = StringField(line.fields, "event");
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
  std::string last_time;
  for (const LogLine& line : lines) {
    if (StringField(line.fields, "request") == request) {
      instances.insert(line.instance);
      upstreams.insert(StringField(line.fields, "upstream"));
      last_time = line.time;
    }
  }
  upstreams.erase("");
  std::string out;
  for (const LogLine& line : lines) {
    const bool is_of_request = StringField(line.fields, "request") == request;
    if (is_of_request || (line.time <= last_time &&
                          IsContextEvent(line, instances, upstreams))) {
      out += (is_of_request ? "* " : "  ") + FormatLine(line);
    }
  }
  return last_time.empty() ? std::string() : out;
}

std::string SummarizeOutcomes(std::span<const LogLine> lines) {
  std::map<std::string, std::map<std::string, int>> counts_by_second;
  for (const LogLine& line : lines) {
    if (line.event == "request-ended") {
      const std::string reason = StringField(line.fields, "reason");
      const std::string outcome = StringField(line.fields, "outcome");
      ++counts_by_second[line.time.substr(0, kSecondPrefixLength)]
                        [reason.empty()
                             ? outcome
                             : fmt::format("{}/{}", outcome, reason)];
    }
  }
  std::string out;
  for (const auto& [second, counts] : counts_by_second) {
    out += second;
    for (const auto& [end, count] : counts) {
      out += fmt::format("  {}={}", end, count);
    }
    out += "\n";
  }
  return out;
}

}  // namespace pomeloring
