#include <doctest/doctest.h>

#include "support/virtual_site.h"

namespace pomeloring::test {
namespace {

TEST_CASE("a grant is ordered after its slot request despite clock skew") {
  HybridTime fast = NextHybridTime({}, {}, Time{seconds(100)});
  const HybridTime received = NextHybridTime({}, fast, Time{seconds(10)});
  CHECK(received > fast);
  const HybridTime later = NextHybridTime(received, {}, Time{seconds(11)});
  CHECK(later > received);
}

TEST_CASE("the timeline keeps the newest events and lists the oldest first") {
  Timeline timeline(3);
  for (int i = 0; i < 5; ++i) {
    timeline.Record(EventKind::kSlotRequested, {}, std::to_string(i), "",
                    Time{seconds(i)});
  }
  const auto events = timeline.Events();
  REQUIRE(events.size() == 3);
  CHECK(events.front().subject == "2");
  CHECK(events.back().subject == "4");
}

TEST_CASE("the events of a request merge in causal order across instances") {
  SiteOptions options;
  options.config_text = SmallConfig(1, 1, 2);
  options.timeline_capacity = 4096;
  VirtualSite site(options);
  site.RunFor(seconds(3));
  const size_t entry = (site.SchedulerOf("model") + 1) % 3;
  const size_t caller = site.Submit(entry, "question", "q1");
  site.RunFor(seconds(1));
  std::vector<TimelineEvent> events;
  for (const Host& host : site.hosts) {
    for (const TimelineEvent& event : host.instance->EventTimeline().Events()) {
      if (event.request == site.callers[caller].id) {
        events.push_back(event);
      }
    }
  }
  std::sort(events.begin(), events.end(),
            [](const auto& a, const auto& b) { return a.time < b.time; });
  std::vector<EventKind> kinds;
  for (const TimelineEvent& event : events) {
    kinds.push_back(event.kind);
  }
  CHECK(kinds == std::vector<EventKind>{
                     EventKind::kRequestAccepted, EventKind::kSlotRequested,
                     EventKind::kGranted, EventKind::kUpstreamStarted,
                     EventKind::kFirstToken, EventKind::kUpstreamEnded,
                     EventKind::kRequestFinished});
}

}  // namespace
}  // namespace pomeloring::test
