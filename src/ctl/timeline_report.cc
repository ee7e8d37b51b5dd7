#include "ctl/timeline_report.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>
#include <map>
#include <set>
#include <tuple>

#include "core/timeline.h"

namespace pomeloring {
namespace {

namespace json = boost::json;

std::string StringField(const json::object& event, std::string_view field) {
  const json::value* value = event.if_contains(field);
  return value != nullptr && value->is_string()
             ? std::string(value->get_string())
             : std::string();
}

int64_t IntegerField(const json::object& event, std::string_view field) {
  const json::value* value = event.if_contains(field);
  return value != nullptr && value->is_int64() ? value->get_int64() : 0;
}

json::object ToJson(const ReportedEvent& event) {
  return {{"micros", event.micros},     {"counter", event.counter},
          {"instance", event.instance}, {"kind", event.kind},
          {"request", event.request},   {"subject", event.subject},
          {"detail", event.detail}};
}

}  // namespace

void AddEvents(std::vector<ReportedEvent>& events,
               const json::value& reply,
               std::string_view request) {
  const json::object* object = reply.if_object();
  const json::value* list =
      object == nullptr ? nullptr : object->if_contains("events");
  if (list == nullptr || !list->is_array()) {
    return;
  }
  for (const json::value& value : list->get_array()) {
    if (!value.is_object()) {
      continue;
    }
    const json::object& fields = value.get_object();
    ReportedEvent event{
        IntegerField(fields, "micros"),  IntegerField(fields, "counter"),
        StringField(fields, "instance"), StringField(fields, "kind"),
        StringField(fields, "request"),  StringField(fields, "subject"),
        StringField(fields, "detail")};
    if (request.empty() || request == event.request) {
      events.push_back(std::move(event));
    }
  }
}

void SortCausally(std::vector<ReportedEvent>& events) {
  std::stable_sort(events.begin(), events.end(),
                   [](const ReportedEvent& a, const ReportedEvent& b) {
                     return std::tie(a.micros, a.counter, a.instance) <
                            std::tie(b.micros, b.counter, b.instance);
                   });
}

void FilterByClass(std::vector<ReportedEvent>& events,
                   std::string_view request_class) {
  std::set<std::string> requests;
  for (const ReportedEvent& event : events) {
    if (event.kind == ToString(EventKind::kRequestAccepted) &&
        event.subject == request_class) {
      requests.insert(event.request);
    }
  }
  std::erase_if(events, [&](const ReportedEvent& event) {
    return !requests.contains(event.request);
  });
}

void FilterByAge(std::vector<ReportedEvent>& events,
                 std::chrono::seconds max_age) {
  int64_t newest = 0;
  for (const ReportedEvent& event : events) {
    newest = std::max(newest, event.micros);
  }
  const int64_t first =
      newest - std::chrono::duration_cast<Duration>(max_age).count();
  std::erase_if(
      events, [&](const ReportedEvent& event) { return event.micros < first; });
}

void FilterByKind(std::vector<ReportedEvent>& events, std::string_view kind) {
  if (!kind.empty()) {
    std::erase_if(
        events, [&](const ReportedEvent& event) { return event.kind != kind; });
  }
}

std::string FormatText(std::span<const ReportedEvent> events) {
  std::string out;
  for (const ReportedEvent& event : events) {
    const std::chrono::sys_time<std::chrono::seconds> time{
        std::chrono::seconds{event.micros / 1'000'000}};
    out += fmt::format("{:%T}.{:06} {:<12} {:<22} {:<24} {} {}\n", time,
                       event.micros % 1'000'000, event.instance, event.kind,
                       event.request.empty() ? "-" : event.request,
                       event.subject, event.detail);
  }
  return out;
}

std::string FormatJsonLines(std::span<const ReportedEvent> events) {
  std::string out;
  for (const ReportedEvent& event : events) {
    out += json::serialize(ToJson(event)) + "\n";
  }
  return out;
}

std::string FormatChromeTrace(std::span<const ReportedEvent> events) {
  std::map<std::string, int> processes;
  std::map<std::string, int> requests;
  json::array trace;
  for (const ReportedEvent& event : events) {
    const auto [process, is_new] = processes.emplace(
        event.instance, static_cast<int>(processes.size()) + 1);
    if (is_new) {
      trace.push_back(
          json::object{{"name", "process_name"},
                       {"ph", "M"},
                       {"pid", process->second},
                       {"args", json::object{{"name", event.instance}}}});
    }
    const auto request =
        requests.emplace(event.request, static_cast<int>(requests.size()) + 1);
    trace.push_back(json::object{{"name", event.kind},
                                 {"ph", "i"},
                                 {"s", "t"},
                                 {"ts", event.micros},
                                 {"pid", process->second},
                                 {"tid", request.first->second},
                                 {"args", ToJson(event)}});
  }
  return json::serialize(json::object{{"traceEvents", trace}}) + "\n";
}

}  // namespace pomeloring
