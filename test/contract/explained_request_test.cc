#include <doctest/doctest.h>

#include <sstream>

#include "ctl/log_report.h"

namespace pomeloring {
namespace {

// Two instances, not in order, with what a log collector puts before a line.
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

TEST_CASE("A request's story has its lines and what changed before its end") {
  const std::string story = ExplainRequest(Lines(), "r1");
  const size_t ready = story.find("state=ready");
  const size_t lost = story.find("store-lost");
  const size_t placed = story.find("* 2026-12-03T10:00:02.000Z");
  const size_t ended = story.find("reason=overloaded");
  CHECK(ready < lost);
  CHECK(lost < placed);
  CHECK(placed < ended);
  CHECK(ended != std::string::npos);
  // Of another upstream, of another instance, and after the end.
  CHECK(story.find("e2") == std::string::npos);
  CHECK(story.find("10:00:01.700Z") == std::string::npos);
  CHECK(story.find("state=gone") == std::string::npos);
}

TEST_CASE("A request that no line names has no story") {
  CHECK(ExplainRequest(Lines(), "r9").empty());
}

TEST_CASE("Ends are counted by second, outcome and reason") {
  CHECK(SummarizeOutcomes(Lines()) ==
        "2026-12-03T10:00:02  503/overloaded=1  served=1\n");
}

}  // namespace
}  // namespace pomeloring
