#include <doctest/doctest.h>

#include <boost/json.hpp>

#include "ctl/timeline_report.h"

namespace pomeloring::test {
namespace {

namespace json = boost::json;

// The replies of two instances, each in its own event order.
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

TEST_CASE("events of all instances are sorted in causal order") {
  CHECK(KindsOf(Merged()) == Kinds{"request-accepted", "granted",
                                   "request-accepted", "request-finished",
                                   "member-changed"});
}

TEST_CASE("the request filter keeps events of all instances") {
  CHECK(KindsOf(Merged("1-1")) ==
        Kinds{"request-accepted", "granted", "request-finished"});
}

TEST_CASE("the class filter keeps all events of its requests") {
  auto events = Merged();
  FilterByClass(events, "stamp");
  CHECK(KindsOf(events) ==
        Kinds{"request-accepted", "granted", "request-finished"});
}

TEST_CASE("the time filter counts back from the newest event") {
  auto events = Merged();
  FilterByAge(events, std::chrono::seconds(4));
  CHECK(KindsOf(events) ==
        Kinds{"request-accepted", "request-finished", "member-changed"});
  FilterByKind(events, "member-changed");
  CHECK(events.size() == 1);
}

TEST_CASE("a reply without a list of events adds nothing") {
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
