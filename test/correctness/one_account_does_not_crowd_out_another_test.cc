#include <doctest/doctest.h>

#include "support/virtual_site.h"

namespace pomeloring::test {
namespace {

TEST_CASE(
    "an account's burst leaves another account of its tier a fair share") {
  SiteOptions options;
  options.instances = 1;
  options.config_text = SmallConfig(1, 1, 4);
  options.service_time = milliseconds(100);
  VirtualSite site(options);
  site.RunFor(seconds(2));
  for (int i = 0; i < 400; ++i) {
    site.Submit(0, "history", "burst" + std::to_string(i), "", "one");
  }
  site.RunFor(seconds(2));
  std::vector<size_t> others;
  for (int i = 0; i < 10; ++i) {
    others.push_back(
        site.Submit(0, "history", "other" + std::to_string(i), "", "two"));
  }
  site.RunFor(seconds(2));
  for (const size_t caller : others) {
    CHECK(site.callers[caller].outcome);
  }
}

}  // namespace
}  // namespace pomeloring::test
