#include <doctest/doctest.h>

#include "support/virtual_site.h"

namespace pomeloring::test {
namespace {

TEST_CASE("an account's lower tiers do not use up its limit for higher ones") {
  SiteOptions options;
  options.instances = 1;
  options.config_text = SmallConfig(1, 1, 2);
  const std::string name = R"("name":"one",)";
  options.config_text.replace(options.config_text.find(name), name.size(),
                              name + R"("max_in_flight":4,)");
  options.service_time = seconds(5);
  VirtualSite site(options);
  site.RunFor(seconds(2));
  for (int i = 0; i < 4; ++i) {
    site.Submit(0, "history", "h" + std::to_string(i));
  }
  const size_t one_too_many = site.Submit(0, "history", "h4");
  const size_t stamp = site.Submit(0, "stamp", "s1");
  site.RunFor(seconds(1));
  REQUIRE(site.callers[one_too_many].outcome);
  const auto* not_run =
      std::get_if<NotRun>(&*site.callers[one_too_many].outcome);
  REQUIRE(not_run != nullptr);
  CHECK(not_run->reason == DeclineReason::kAccountLimit);
  CHECK(site.callers[stamp].executions == 1);
}

}  // namespace
}  // namespace pomeloring::test
