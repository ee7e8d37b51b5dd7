// Defines the merged time line over instances, in text, JSON lines and the
// Chrome trace format.

#ifndef POMELORING_CTL_TIMELINE_REPORT_H_
#define POMELORING_CTL_TIMELINE_REPORT_H_

#include <boost/json/value.hpp>
#include <span>
#include <string>
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

struct TimelineFilter {
  std::string request;  // Empty: all.
  std::string kind;     // Empty: all.
};

// Adds the events of one instance's reply that pass `filter`.
void AddEvents(std::vector<ReportedEvent>& events,
               const boost::json::value& reply,
               const TimelineFilter& filter);

// Orders by the hybrid clock: no event stands before one that caused it.
void SortCausally(std::vector<ReportedEvent>& events);

std::string WriteText(std::span<const ReportedEvent> events);
std::string WriteJsonLines(std::span<const ReportedEvent> events);
std::string WriteChromeTrace(std::span<const ReportedEvent> events);

}  // namespace pomeloring

#endif  // POMELORING_CTL_TIMELINE_REPORT_H_
