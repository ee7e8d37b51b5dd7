// Defines the reports that are made of the logs of all instances: the story of
// one request, and a summary by second.

#ifndef POMELORING_CTL_LOG_REPORT_H_
#define POMELORING_CTL_LOG_REPORT_H_

#include <boost/json/object.hpp>
#include <istream>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace pomeloring {

// One structured line; `time` sorts as text.
struct LogLine {
  std::string time;
  std::string instance;
  std::string event;
  boost::json::object fields;  // All others.
};

// Reads the lines of any number of instances, in any order. What stands before
// the object of a line, and lines without one, are passed over.
std::vector<LogLine> ReadLogLines(std::istream& in);

// Returns the lines of the request in the order of their times, with those that
// changed what its instances believed of the upstreams that it was sent to.
// Empty where no line names the request.
std::string ExplainRequest(std::span<const LogLine> lines,
                           std::string_view request);

// Returns the ends of requests by second, outcome and reason.
std::string SummarizeOutcomes(std::span<const LogLine> lines);

}  // namespace pomeloring

#endif  // POMELORING_CTL_LOG_REPORT_H_
