#include <doctest/doctest.h>

#include <csignal>

#include "support/running_site.h"

namespace pomeloring::test {
namespace {

int RunsOf(const RunningSite& site, const std::string& body) {
  const std::string counts = site.FetchCounts(site.LedgerAddress(0));
  const std::string field = "\"" + body + "\":";
  const size_t at = counts.find(field);
  return at == std::string::npos ? 0 : counts[at + field.size()] - '0';
}

TEST_CASE("sent again through other instances, whatever happens meanwhile") {
  RunningSite site({});
  site.PublishAndWait();
  const std::string prefix = site.KeyPrefix(0);
  SUBCASE("the upstream's reply is lost after it ran") {
    site.PostControl(site.LedgerAddress(0), R"({"lose_replies":1})");
    const HttpResponse first = site.PostStamp(0, "bottle", prefix + "a");
    CHECK(first.status == 502);
    CHECK(first.body.find("\"outcome\":\"unknown\"") != std::string::npos);
    CHECK(site.PostStamp(1, "bottle", prefix + "a").status == 502);
  }
  SUBCASE("the instance is killed after it ran, and replaced") {
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
  SUBCASE("the instance is paused with the request in hand, and wakes") {
    site.PostControl(site.LedgerAddress(0), R"({"delay_ms":500})");
    auto first = std::async(std::launch::async, [&] {
      return site.PostStamp(0, "bottle", prefix + "a");
    });
    RunningSite::WaitUntil([&] { return RunsOf(site, "bottle") == 1; });
    site.nodes[0]->Signal(SIGSTOP);
    auto second = std::async(std::launch::async, [&] {
      return site.PostStamp(1, "bottle", prefix + "a");
    });
    RunningSite::WaitUntil([&] { return site.ListsEntries(2, 2); });
    site.nodes[0]->Signal(SIGCONT);
    first.get();
    second.get();
  }
  SUBCASE("an opaque key, at two instances at once") {
    auto a = std::async(std::launch::async,
                        [&] { return site.PostStamp(0, "bottle", "opaque"); });
    auto b = std::async(std::launch::async,
                        [&] { return site.PostStamp(1, "bottle", "opaque"); });
    const unsigned first = a.get().status;
    const unsigned second = b.get().status;
    CHECK((first == 200 || second == 200));
  }
  SUBCASE("an opaque key whose claim took effect unheard") {
    site.PostControl(site.PlatformAddress(), R"({"lose_replies":1})");
    CHECK(site.PostStamp(0, "bottle", "opaque").status == 200);
    const HttpResponse again = site.PostStamp(1, "bottle", "opaque");
    CHECK(again.status == 200);
    CHECK(again.headers.contains("pomeloring-replayed"));
  }
  CHECK(RunsOf(site, "bottle") == 1);
}

TEST_CASE("an opaque key while the platform is out") {
  RunningSite site({.instances = 1});
  site.PublishAndWait();
  site.PostControl(site.PlatformAddress(), R"({"down":1})");
  const HttpResponse refused = site.PostStamp(0, "bottle", "opaque");
  CHECK(refused.status == 503);
  CHECK(refused.body.find("\"outcome\":\"not-run\"") != std::string::npos);
  CHECK(refused.headers.contains("retry-after"));
  CHECK(RunsOf(site, "bottle") == 0);
  // A key bound to the instance needs no log.
  CHECK(site.PostStamp(0, "bottle", site.KeyPrefix(0) + "b").status == 200);
}

}  // namespace
}  // namespace pomeloring::test
