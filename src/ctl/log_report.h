// Reports from the merged logs of all instances: the log of one request with
// its context, and request outcomes per second.

#ifndef POMELORING_CTL_LOG_REPORT_H_
#define POMELORING_CTL_LOG_REPORT_H_

#include <boost/json/object.hpp>
#include <istream>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace pomeloring {

// One structured log line. `time` is ISO 8601, so text order is time order.
struct LogLine {
  std::string time;
  std::string instance;
  std::string event;
  boost::json::object fields;  // All other fields.
};

// Reads log lines of any number of instances, in any order, and sorts them by
// time. Skips text before the JSON object of a line, and lines without one.
std::vector<LogLine> ReadLogLines(std::istream& in);

// Returns the log lines of `request`, marked with `*`, and as context the lines
// before its end in which one of the instances that handled the request reports
// a change of its own state, or any instance a change of an upstream that the
// request used. Returns an empty string if no line mentions the request.
std::string ExplainRequest(std::span<const LogLine> lines,
                           std::string_view request);

// Counts the requests that ended in each second, by outcome and reason.
std::string SummarizeOutcomes(std::span<const LogLine> lines);

}  // namespace pomeloring

#endif  // POMELORING_CTL_LOG_REPORT_H_
