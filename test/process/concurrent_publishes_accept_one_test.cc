// pomeloring-ctl publish reports the true outcome: accepted, conflict or
// nothing changed, with concurrent operators and with a failing platform.

#include <doctest/doctest.h>

#include "support/running_site.h"

namespace pomeloring::test {
namespace {

int Publish(const RunningSite& site, const std::string& base) {
  return RunProgram("pomeloring-ctl",
                    {"--platform", site.PlatformAddress(), "publish",
                     site.ConfigPath(), "--base", base});
}

TEST_CASE("of concurrent publishes on the same base, exactly one is accepted") {
  RunningSite site({.instances = 2});
  site.PublishAndWait();
  std::vector<std::future<int>> codes;
  for (int i = 0; i < 4; ++i) {
    codes.push_back(
        std::async(std::launch::async, [&site] { return Publish(site, "1"); }));
  }
  int accepted = 0;
  int conflicts = 0;
  for (auto& code : codes) {
    const int got = code.get();
    accepted += got == 0 ? 1 : 0;
    conflicts += got == 4 ? 1 : 0;
  }
  CHECK(accepted == 1);
  CHECK(conflicts == 3);
}

TEST_CASE("a publish is accepted if only the reply to its append is lost") {
  RunningSite site({.instances = 1});
  site.PublishAndWait();
  site.PostControl(site.PlatformAddress(), R"({"lose_replies":1})");
  CHECK(Publish(site, "1") == 0);
}

TEST_CASE("a publish while the platform is down reports that nothing changed") {
  RunningSite site({.instances = 1});
  site.PublishAndWait();
  site.PostControl(site.PlatformAddress(), R"({"down":1})");
  CHECK(Publish(site, "1") == 5);
  CHECK(Call({.address = site.AdminAddress(0), .target = "/readyz"}).status ==
        200);
  CHECK(site.SendQuestion(0, "still served", 3).status == 200);
}

}  // namespace
}  // namespace pomeloring::test
