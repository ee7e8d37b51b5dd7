// A stream that broke off within an event resumes at another upstream. The
// bytes of the partial event must not precede the events of the second attempt.

#include <doctest/doctest.h>

#include "routing/event_splitter.h"

namespace pomeloring {
namespace {

TEST_CASE(
    "The partial event of a lost attempt is not joined with the next one") {
  EventSplitter events(std::nullopt);
  CHECK(events.Feed("id: 1\ndata: a\n\nid: 2\nda").bytes ==
        "id: 1\ndata: a\n\n");
  events.DiscardPartialEvent();
  CHECK(events.LastId() == 1);
  const CompleteEvents resumed = events.Feed("id: 2\ndata: b\n\n");
  CHECK(resumed.bytes == "id: 2\ndata: b\n\n");
  CHECK_FALSE(resumed.out_of_order);
  CHECK_FALSE(events.HasPartialEvent());
}

TEST_CASE("An event that was received before is out of order") {
  EventSplitter events(uint64_t{4});
  CHECK(events.Feed("id: 4\ndata: a\n\n").out_of_order);
}

TEST_CASE("Events end at an empty line, with or without carriage returns") {
  EventSplitter events(std::nullopt);
  CHECK(events.Feed("id: 1\r\ndata: a\r\n\r\n").count == 1);
  CHECK(events.Feed("id: 2\ndata: b\n").bytes.empty());
  CHECK(events.HasPartialEvent());
  CHECK(events.Feed("\n").count == 1);
  CHECK(events.LastId() == 2);
}

TEST_CASE("A block without a field of an event is none") {
  for (const std::string block :
       {"failed\n\n", "{\"status\": 500}\n\n",
        "HTTP/1.1 500 No\r\nContent-Length: 2\r\n\r\n", "x-other: 1\n\n"}) {
    CAPTURE(block);
    EventSplitter events(std::nullopt);
    const CompleteEvents got = events.Feed("id: 1\ndata: a\n\n" + block);
    CHECK(got.is_malformed);
    CHECK(got.bytes == "id: 1\ndata: a\n\n");
  }
}

TEST_CASE("Heartbeats and events with other fields are events") {
  const std::string text =
      ": ping\n\n\n\ndata\n\nretry: 9\r\n\r\nevent: end\n\n"
      "x-other: 1\nid: 1\ndata: a\n\n";
  EventSplitter events(std::nullopt);
  const CompleteEvents got = events.Feed(text);
  CHECK_FALSE(got.is_malformed);
  CHECK(got.bytes == text);
}

}  // namespace
}  // namespace pomeloring
