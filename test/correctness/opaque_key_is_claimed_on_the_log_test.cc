#include <doctest/doctest.h>

#include "support/virtual_site.h"

namespace pomeloring::test {
namespace {

SiteOptions Options() {
  SiteOptions options;
  options.config_text = SmallConfig(2, 1, 8);
  return options;
}

int RunsOf(const VirtualSite& site, const std::string& body) {
  const auto& executions = site.upstreams.at({"ledger-1"}).executions;
  const auto it = executions.find(body);
  return it == executions.end() ? 0 : it->second;
}

TEST_CASE(
    "of two instances that get a key at the same time, one runs the request") {
  VirtualSite site(Options());
  site.RunFor(seconds(3));
  const size_t a = site.Submit(0, "stamp", "b1", "opaque-1");
  const size_t b = site.Submit(1, "stamp", "b1", "opaque-1");
  site.RunFor(seconds(5));
  CHECK(site.callers[a].outcome);
  CHECK(site.callers[b].outcome);
  CHECK(RunsOf(site, "b1") == 1);
}

TEST_CASE("a claim is valid even if the reply to its append was lost") {
  VirtualSite site(Options());
  site.RunFor(seconds(3));
  site.log.lose_replies = 1;
  const size_t a = site.Submit(0, "stamp", "b1", "opaque-1");
  site.RunFor(seconds(5));
  const size_t b = site.Submit(1, "stamp", "b1", "opaque-1");
  site.RunFor(seconds(5));
  CHECK(std::holds_alternative<Answered>(*site.callers[a].outcome));
  CHECK(std::holds_alternative<Replayed>(*site.callers[b].outcome));
  CHECK(RunsOf(site, "b1") == 1);
}

TEST_CASE(
    "a request is not run while the log is down, and runs once afterwards") {
  VirtualSite site(Options());
  site.RunFor(seconds(3));
  site.log.is_down = true;
  const size_t a = site.Submit(0, "stamp", "b1", "opaque-1");
  site.RunFor(seconds(5));
  REQUIRE(site.callers[a].outcome);
  const auto* not_run = std::get_if<NotRun>(&*site.callers[a].outcome);
  REQUIRE(not_run != nullptr);
  CHECK(not_run->reason == DeclineReason::kLogUnavailable);
  CHECK(not_run->retry_after > Duration{0});
  site.log.is_down = false;
  site.RunFor(seconds(5));
  CHECK(RunsOf(site, "b1") == 0);
  const size_t b = site.Submit(1, "stamp", "b1", "opaque-1");
  site.RunFor(seconds(5));
  CHECK(std::holds_alternative<Answered>(*site.callers[b].outcome));
  CHECK(RunsOf(site, "b1") == 1);
}

TEST_CASE("a key claimed by an earlier incarnation is not run again") {
  VirtualSite site(Options());
  site.RunFor(seconds(3));
  site.Submit(0, "stamp", "b1", "opaque-1");
  site.RunFor(seconds(2));
  site.Restart(0);
  site.RunFor(seconds(5));
  const size_t again = site.Submit(0, "stamp", "b1", "opaque-1");
  site.RunFor(seconds(5));
  CHECK(std::holds_alternative<OutcomeUnknown>(*site.callers[again].outcome));
  CHECK(RunsOf(site, "b1") == 1);
}

TEST_CASE("concurrent claims are batched into few records") {
  VirtualSite site(Options());
  site.RunFor(seconds(3));
  for (int i = 0; i < 50; ++i) {
    const std::string n = std::to_string(i);
    site.Submit(0, "stamp", "b" + n, "opaque-" + n);
  }
  site.RunFor(seconds(5));
  CHECK(site.log.records[LogStream::kClaims].size() <= 2);
  for (const CallerRecord& caller : site.callers) {
    CHECK(std::holds_alternative<Answered>(*caller.outcome));
  }
}

}  // namespace
}  // namespace pomeloring::test
