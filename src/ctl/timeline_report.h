// Defines the merged time line over instances, in text, JSON lines and the
// Chrome trace format.

#ifndef POMELORING_CTL_TIMELINE_REPORT_H_
#define POMELORING_CTL_TIMELINE_REPORT_H_

#include <boost/json/value.hpp>
#include <chrono>

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace pomeloring {

struct ReportedEvent {
  int64_t micros = 0;
  int64_t counter = 0;
  std::string instance;
  std::string kind;
  std::string request;
  std::string subject;
  std::string detail;
};

// Adds the events of one instance's reply; only those of `request` unless that
// is empty.
void AddEvents(std::vector<ReportedEvent>& events,
               const boost::json::value& reply,
               std::string_view request);

// Orders by the hybrid clock: no event stands before one that caused it.
void SortCausally(std::vector<ReportedEvent>& events);

// Keeps the events of requests that were accepted in this class.
void FilterByClass(std::vector<ReportedEvent>& events,
                   std::string_view request_class);

// Keeps what is at most `length` older than the newest event.
void FilterByAge(std::vector<ReportedEvent>& events,
                 std::chrono::seconds max_age);

// Keeps the events of one kind; all if `kind` is empty.
void FilterByKind(std::vector<ReportedEvent>& events, std::string_view kind);

std::string FormatText(std::span<const ReportedEvent> events);
std::string FormatJsonLines(std::span<const ReportedEvent> events);
std::string FormatChromeTrace(std::span<const ReportedEvent> events);

}  // namespace pomeloring

#endif  // POMELORING_CTL_TIMELINE_REPORT_H_
