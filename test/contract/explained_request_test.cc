#include <doctest/doctest.h>

#include <sstream>

#include "ctl/log_report.h"

namespace pomeloring {
namespace {

// Unsorted lines of two instances, one with the prefix of a log collector and
// two that are not valid.
constexpr char kLogs[] =
    R"(a: {"time":"2026-12-03T10:00:02.000Z","instance":"a","event":"placed","request":"r1","upstream":"e1"}
{"time":"2026-12-03T10:00:01.000Z","instance":"a","event":"upstream-changed","upstream":"e1","state":"ready"}
{"time":"2026-12-03T10:00:01.500Z","instance":"b","event":"upstream-changed","upstream":"e2","state":"gone"}
{"time":"2026-12-03T10:00:01.600Z","instance":"a","event":"store-lost","call":"read"}
{"time":"2026-12-03T10:00:01.700Z","instance":"b","event":"store-lost","call":"read"}
{"time":"2026-12-03T10:00:02.400Z","instance":"a","event":"request-ended","request":"r1","outcome":"503","reason":"overloaded"}
{"time":"2026-12-03T10:00:02.900Z","instance":"b","event":"request-ended","request":"r2","outcome":"served","reason":""}
not a line
{"time":"2026-12-03T10:00:03.000Z","instance":"a","event":"upstream-changed","upstream":"e1","state":"gone"}
{"time":"2026-12-03T10:00:0
)";

std::vector<LogLine> Lines() {
  std::istringstream in(kLogs);
  return ReadLogLines(in);
}

TEST_CASE(
    "a request's report has its lines and the state changes before its end") {
  const std::string report = ExplainRequest(Lines(), "r1");
  const size_t ready = report.find("state=ready");
  const size_t lost = report.find("store-lost");
  const size_t placed = report.find("* 2026-12-03T10:00:02.000Z");
  const size_t ended = report.find("reason=overloaded");
  CHECK(ready < lost);
  CHECK(lost < placed);
  CHECK(placed < ended);
  CHECK(ended != std::string::npos);
  // Left out: another upstream, another instance, and events after the end.
  CHECK(report.find("e2") == std::string::npos);
  CHECK(report.find("10:00:01.700Z") == std::string::npos);
  CHECK(report.find("state=gone") == std::string::npos);
}

TEST_CASE("a report says why a request left its failure domain") {
  std::istringstream in(
      R"({"time":"2026-12-03T10:00:01.000Z","instance":"a","event":"flow-started","service":"s","from":"d0","to":"d1"}
{"time":"2026-12-03T10:00:01.100Z","instance":"b","event":"flow-started","service":"s","from":"d2","to":"d1"}
{"time":"2026-12-03T10:00:02.000Z","instance":"a","event":"placed","request":"r1","upstream":"e1","left_domain":"flow"}
)");
  const std::string report = ExplainRequest(ReadLogLines(in), "r1");
  CHECK(report.find("left_domain=flow") != std::string::npos);
  CHECK(report.find("from=d0") != std::string::npos);
  CHECK(report.find("from=d2") == std::string::npos);
}

TEST_CASE("a request that no line mentions has an empty report") {
  CHECK(ExplainRequest(Lines(), "r9").empty());
}

TEST_CASE("finished requests are counted by second, outcome and reason") {
  CHECK(SummarizeOutcomes(Lines()) ==
        "2026-12-03T10:00:02  503/overloaded=1  served=1\n");
}

}  // namespace
}  // namespace pomeloring
