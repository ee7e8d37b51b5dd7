#include <doctest/doctest.h>

#include <boost/json.hpp>

#include "ctl/timeline_report.h"

namespace pomeloring::test {
namespace {

namespace json = boost::json;

// What two instances reply, each in its own order.
constexpr char kFirst[] = R"({"events":[
  {"micros":1000000,"counter":0,"instance":"a","kind":"request-accepted",
   "request":"1-1","subject":"stamp","detail":"one"},
  {"micros":9000000,"counter":0,"instance":"a","kind":"request-finished",
   "request":"1-1","subject":"stamp","detail":"answered"},
  {"micros":9000000,"counter":1,"instance":"a","kind":"member-changed",
   "request":"","subject":"b","detail":"dead"}]})";
constexpr char kSecond[] = R"({"events":[
  {"micros":1000000,"counter":1,"instance":"b","kind":"granted",
   "request":"1-1","subject":"ledger-1","detail":"ledger//0"},
  {"micros":5000000,"counter":0,"instance":"b","kind":"request-accepted",
   "request":"2-1","subject":"question","detail":"one"}]})";

std::vector<ReportedEvent> Merged(std::string_view request = {}) {
  std::vector<ReportedEvent> events;
  AddEvents(events, json::parse(kFirst), request);
  AddEvents(events, json::parse(kSecond), request);
  SortCausally(events);
  return events;
}

std::vector<std::string> KindsOf(const std::vector<ReportedEvent>& events) {
  std::vector<std::string> kinds;
  for (const ReportedEvent& event : events) {
    kinds.push_back(event.kind);
  }
  return kinds;
}

using Kinds = std::vector<std::string>;

TEST_CASE("events of all instances stand in causal order") {
  CHECK(KindsOf(Merged()) == Kinds{"request-accepted", "granted",
                                   "request-accepted", "request-finished",
                                   "member-changed"});
}

TEST_CASE("one request is shown over all instances") {
  CHECK(KindsOf(Merged("1-1")) ==
        Kinds{"request-accepted", "granted", "request-finished"});
}

TEST_CASE("a class shows all events of its requests") {
  auto events = Merged();
  FilterByClass(events, "stamp");
  CHECK(KindsOf(events) ==
        Kinds{"request-accepted", "granted", "request-finished"});
}

TEST_CASE("the last seconds count back from the newest event") {
  auto events = Merged();
  FilterByAge(events, std::chrono::seconds(4));
  CHECK(KindsOf(events) ==
        Kinds{"request-accepted", "request-finished", "member-changed"});
  FilterByKind(events, "member-changed");
  CHECK(events.size() == 1);
}

TEST_CASE("a reply that is no list of events adds nothing") {
  for (const char* reply :
       {"{}", "[]", R"({"events":{}})", R"({"events":[1,"two",null]})"}) {
    CAPTURE(reply);
    std::vector<ReportedEvent> events;
    AddEvents(events, json::parse(reply), {});
    CHECK(events.empty());
  }
}

}  // namespace
}  // namespace pomeloring::test
