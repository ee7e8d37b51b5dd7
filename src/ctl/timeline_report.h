// Merges the timelines of all instances; writes them as text, JSON lines or in
// the Chrome trace format.

#ifndef POMELORING_CTL_TIMELINE_REPORT_H_
#define POMELORING_CTL_TIMELINE_REPORT_H_

#include <boost/json/value.hpp>
#include <chrono>

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace pomeloring {

// An event as the admin API returns it.
struct ReportedEvent {
  int64_t micros = 0;   // Hybrid logical clock: microseconds since the epoch.
  int64_t counter = 0;  // Orders events with the same `micros`.
  std::string instance;
  std::string kind;
  std::string request;
  std::string subject;
  std::string detail;
};

// Appends the events in one instance's reply. Unless `request` is empty, only
// events of that request. Ignores a reply or an event of the wrong type.
void AddEvents(std::vector<ReportedEvent>& events,
               const boost::json::value& reply,
               std::string_view request);

// Sorts by the hybrid logical clock, so that no event comes before its cause.
void SortCausally(std::vector<ReportedEvent>& events);

// Keeps events of requests that were accepted in this class.
void FilterByClass(std::vector<ReportedEvent>& events,
                   std::string_view request_class);

// Keeps events that are at most `max_age` older than the newest event.
void FilterByAge(std::vector<ReportedEvent>& events,
                 std::chrono::seconds max_age);

// Keeps events of one kind, or all events if `kind` is empty.
void FilterByKind(std::vector<ReportedEvent>& events, std::string_view kind);

// One event per line.
std::string FormatText(std::span<const ReportedEvent> events);
std::string FormatJsonLines(std::span<const ReportedEvent> events);
// A process per instance and a thread per request.
std::string FormatChromeTrace(std::span<const ReportedEvent> events);

}  // namespace pomeloring

#endif  // POMELORING_CTL_TIMELINE_REPORT_H_
