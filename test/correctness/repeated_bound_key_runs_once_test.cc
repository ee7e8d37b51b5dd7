#include <doctest/doctest.h>

#include "support/virtual_site.h"

namespace pomeloring::test {
namespace {

SiteOptions Options() {
  SiteOptions options;
  options.config_text = SmallConfig(2, 1, 8);
  return options;
}

bool IsAnswered(const CallerRecord& record) {
  return record.outcome && std::holds_alternative<Answered>(*record.outcome);
}

template <typename T>
bool Is(const CallerRecord& record) {
  return record.outcome && std::holds_alternative<T>(*record.outcome);
}

int RunsOf(const VirtualSite& site, const std::string& body) {
  int executions = 0;
  for (const auto& [name, upstream] : site.upstreams) {
    const auto it = upstream.executions.find(body);
    executions += it == upstream.executions.end() ? 0 : it->second;
  }
  return executions;
}

TEST_CASE(
    "a repeated key replays the answer at the same and at another instance") {
  VirtualSite site(Options());
  site.RunFor(seconds(3));
  const std::string key = site.BoundKey(0, "a");
  const size_t first = site.Submit(0, "stamp", "b1", key);
  site.RunFor(seconds(1));
  const size_t same = site.Submit(0, "stamp", "b1", key);
  const size_t other = site.Submit(1, "stamp", "b1", key);
  site.RunFor(seconds(1));
  CHECK(IsAnswered(site.callers[first]));
  CHECK(Is<Replayed>(site.callers[same]));
  CHECK(Is<Replayed>(site.callers[other]));
  CHECK(RunsOf(site, "b1") == 1);
}

TEST_CASE("a key repeated while its request runs is reported as in progress") {
  VirtualSite site(Options());
  site.RunFor(seconds(3));
  const std::string key = site.BoundKey(0, "a");
  site.Submit(0, "stamp", "b1", key);
  site.RunFor(milliseconds(20));
  const size_t other = site.Submit(1, "stamp", "b1", key);
  site.RunFor(seconds(1));
  CHECK(Is<KeyInProgress>(site.callers[other]));
  CHECK(RunsOf(site, "b1") == 1);
}

TEST_CASE(
    "a key repeated after the upstream's reply was lost ends as unknown") {
  VirtualSite site(Options());
  site.RunFor(seconds(3));
  site.upstreams[{"ledger-1"}].lose_replies = 1;
  const std::string key = site.BoundKey(0, "a");
  const size_t first = site.Submit(0, "stamp", "b1", key);
  site.RunFor(seconds(1));
  const size_t again = site.Submit(2, "stamp", "b1", key);
  site.RunFor(seconds(1));
  CHECK(Is<OutcomeUnknown>(site.callers[first]));
  CHECK(Is<OutcomeUnknown>(site.callers[again]));
  CHECK(RunsOf(site, "b1") == 1);
}

TEST_CASE(
    "a key repeated after a restart under the same address ends as unknown") {
  VirtualSite site(Options());
  site.RunFor(seconds(3));
  const std::string key = site.BoundKey(0, "a");
  site.Submit(0, "stamp", "b1", key);
  site.RunFor(seconds(1));
  site.Restart(0);
  site.RunFor(seconds(5));
  const size_t at_new = site.Submit(0, "stamp", "b1", key);
  const size_t at_other = site.Submit(1, "stamp", "b1", key);
  site.RunFor(seconds(1));
  CHECK(Is<OutcomeUnknown>(site.callers[at_new]));
  CHECK(Is<OutcomeUnknown>(site.callers[at_other]));
  CHECK(RunsOf(site, "b1") == 1);
}

TEST_CASE("a key repeated while its instance is paused runs at most once") {
  VirtualSite site(Options());
  site.RunFor(seconds(3));
  const std::string key = site.BoundKey(0, "a");
  const size_t first = site.Submit(0, "stamp", "b1", key);
  site.Pause(0);
  const size_t again = site.Submit(1, "stamp", "b1", key);
  site.RunFor(seconds(20));
  CHECK(RunsOf(site, "b1") == 0);
  site.Resume(0);
  site.RunFor(seconds(20));
  CHECK(RunsOf(site, "b1") <= 1);
  CHECK(site.callers[first].outcome);
  CHECK(site.callers[again].outcome);
}

TEST_CASE("a key repeated with a different body is refused") {
  VirtualSite site(Options());
  site.RunFor(seconds(3));
  const std::string key = site.BoundKey(0, "a");
  site.Submit(0, "stamp", "b1", key);
  site.RunFor(seconds(1));
  const size_t other = site.Submit(1, "stamp", "b2", key);
  site.RunFor(seconds(1));
  CHECK(Is<KeyReused>(site.callers[other]));
  CHECK(RunsOf(site, "b2") == 0);
}

TEST_CASE(
    "a request that an upstream provably did not start is retried elsewhere") {
  SiteOptions options = Options();
  options.config_text = SmallConfig(2, 2, 8);
  VirtualSite site(options);
  site.RunFor(seconds(3));
  site.upstreams[{"ledger-1"}].is_down = true;
  for (int i = 0; i < 4; ++i) {
    const std::string body = "b" + std::to_string(i);
    const size_t caller = site.Submit(0, "stamp", body, site.BoundKey(0, body));
    site.RunFor(seconds(1));
    CHECK(IsAnswered(site.callers[caller]));
    CHECK(RunsOf(site, body) == 1);
  }
}

}  // namespace
}  // namespace pomeloring::test
