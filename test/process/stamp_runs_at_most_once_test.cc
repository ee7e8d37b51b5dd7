// A non-idempotent request (here a ledger stamp) with an idempotency key is
// executed at most once, however often and wherever it is sent.

#include <doctest/doctest.h>

#include <csignal>

#include "support/running_site.h"

namespace pomeloring::test {
namespace {

int ExecutionCount(const RunningSite& site, const std::string& body) {
  const std::string counts = site.FetchCounts(site.LedgerAddress(0));
  const std::string field = "\"" + body + "\":";
  const size_t at = counts.find(field);
  return at == std::string::npos ? 0 : counts[at + field.size()] - '0';
}

TEST_CASE(
    "a request that is resent through another instance is executed once") {
  RunningSite site({});
  site.PublishAndWait();
  const std::string prefix = site.KeyPrefix(0);
  SUBCASE("the upstream executes it and its reply is lost") {
    site.PostControl(site.LedgerAddress(0), R"({"lose_replies":1})");
    const HttpResponse first = site.PostStamp(0, "bottle", prefix + "a");
    CHECK(first.status == 502);
    CHECK(first.body.find("\"outcome\":\"unknown\"") != std::string::npos);
    CHECK(site.PostStamp(1, "bottle", prefix + "a").status == 502);
  }
  SUBCASE("the instance is killed after the execution and restarted") {
    CHECK(site.PostStamp(0, "bottle", prefix + "a").status == 200);
    site.nodes[0]->Signal(SIGKILL);
    site.nodes[0]->Wait();
    CHECK(site.PostStamp(1, "bottle", prefix + "a").status == 502);
    site.StartInstance(0);
    RunningSite::WaitUntil([&] { return site.ListsEntries(1, 3); });
    RunningSite::WaitUntil([&] {
      return Call({.address = site.AdminAddress(0), .target = "/readyz"})
                 .status == 200;
    });
    CHECK(site.PostStamp(0, "bottle", prefix + "a").status == 502);
  }
  SUBCASE("the instance is suspended during the execution and resumes") {
    site.PostControl(site.LedgerAddress(0), R"({"delay_ms":500})");
    auto first = std::async(std::launch::async, [&] {
      return site.PostStamp(0, "bottle", prefix + "a");
    });
    RunningSite::WaitUntil([&] { return ExecutionCount(site, "bottle") == 1; });
    site.nodes[0]->Signal(SIGSTOP);
    auto second = std::async(std::launch::async, [&] {
      return site.PostStamp(1, "bottle", prefix + "a");
    });
    RunningSite::WaitUntil([&] { return site.ListsEntries(2, 2); });
    site.nodes[0]->Signal(SIGCONT);
    first.get();
    second.get();
  }
  SUBCASE("two instances receive the same opaque key concurrently") {
    auto a = std::async(std::launch::async,
                        [&] { return site.PostStamp(0, "bottle", "opaque"); });
    auto b = std::async(std::launch::async,
                        [&] { return site.PostStamp(1, "bottle", "opaque"); });
    const unsigned first = a.get().status;
    const unsigned second = b.get().status;
    CHECK((first == 200 || second == 200));
  }
  SUBCASE("the reply to the claim of an opaque key is lost") {
    site.PostControl(site.PlatformAddress(), R"({"lose_replies":1})");
    CHECK(site.PostStamp(0, "bottle", "opaque").status == 200);
    const HttpResponse again = site.PostStamp(1, "bottle", "opaque");
    CHECK(again.status == 200);
    CHECK(again.headers.contains("pomeloring-replayed"));
  }
  CHECK(ExecutionCount(site, "bottle") == 1);
}

TEST_CASE("an opaque key is refused while the platform is down") {
  RunningSite site({.instances = 1});
  site.PublishAndWait();
  site.PostControl(site.PlatformAddress(), R"({"down":1})");
  const HttpResponse refused = site.PostStamp(0, "bottle", "opaque");
  CHECK(refused.status == 503);
  CHECK(refused.body.find("\"outcome\":\"not-run\"") != std::string::npos);
  CHECK(refused.headers.contains("retry-after"));
  CHECK(ExecutionCount(site, "bottle") == 0);
  // A key that is bound to the instance needs no claim on the log.
  CHECK(site.PostStamp(0, "bottle", site.KeyPrefix(0) + "b").status == 200);
}

}  // namespace
}  // namespace pomeloring::test
