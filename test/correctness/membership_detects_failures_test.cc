#include <doctest/doctest.h>

#include "support/virtual_site.h"

namespace pomeloring::test {
namespace {

SiteOptions Options(size_t instances) {
  SiteOptions options;
  options.instances = instances;
  options.config_text = SmallConfig(1, 1, 2);
  return options;
}

size_t LiveAt(const VirtualSite& site, size_t host) {
  return site.hosts[host].instance->View()->live.size();
}

// Returns the status of `of` as known to `host`; kLeft if it is not known.
MemberStatus StatusAt(const VirtualSite& site, size_t host, size_t of) {
  for (const Member& member : site.hosts[host].instance->KnownMembers()) {
    if (member.name == site.hosts[of].name) {
      return member.status;
    }
  }
  return MemberStatus::kLeft;
}

TEST_CASE("after a start, every instance knows all others") {
  VirtualSite site(Options(9));
  site.RunFor(seconds(5));
  for (size_t host = 0; host < 9; ++host) {
    CHECK(LiveAt(site, host) == 9);
  }
}

TEST_CASE(
    "all instances detect a crash, and a restart under the same address") {
  VirtualSite site(Options(9));
  site.RunFor(seconds(5));
  site.Crash(3);
  site.RunFor(seconds(12));
  for (size_t host = 0; host < 9; ++host) {
    if (host != 3) {
      CHECK(StatusAt(site, host, 3) == MemberStatus::kDead);
    }
  }
  site.Restart(3);
  site.RunFor(seconds(5));
  for (size_t host = 0; host < 9; ++host) {
    CHECK(LiveAt(site, host) == 9);
  }
}

TEST_CASE("an instance that resumes after a pause suspects no live member") {
  VirtualSite site(Options(9));
  site.RunFor(seconds(5));
  site.Pause(3);
  site.RunFor(seconds(30));
  CHECK(StatusAt(site, 0, 3) == MemberStatus::kDead);
  site.Resume(3);
  site.RunFor(milliseconds(500));
  CHECK(LiveAt(site, 3) == 9);
  site.RunFor(seconds(10));
  for (size_t host = 0; host < 9; ++host) {
    CHECK(LiveAt(site, host) == 9);
  }
}

TEST_CASE(
    "a link that is cut one way causes no live member to be declared dead") {
  VirtualSite site(Options(9));
  site.RunFor(seconds(5));
  site.CutLink(2, 5, true);
  site.RunFor(seconds(60));
  for (size_t host = 0; host < 9; ++host) {
    CHECK(StatusAt(site, host, 5) != MemberStatus::kDead);
    CHECK(StatusAt(site, host, 2) != MemberStatus::kDead);
  }
}

TEST_CASE("the two sides of a partition merge after it heals") {
  VirtualSite site(Options(8));
  site.RunFor(seconds(5));
  const auto cut = [&](bool is_cut) {
    for (size_t a = 0; a < 4; ++a) {
      for (size_t b = 4; b < 8; ++b) {
        site.CutLink(a, b, is_cut);
        site.CutLink(b, a, is_cut);
      }
    }
  };
  cut(true);
  site.RunFor(seconds(120));
  CHECK(LiveAt(site, 0) == 4);
  CHECK(LiveAt(site, 7) == 4);
  cut(false);
  site.RunFor(seconds(60));
  for (size_t host = 0; host < 8; ++host) {
    CHECK(LiveAt(site, host) == 8);
  }
}

TEST_CASE("an outdated instance list revives no member and removes none") {
  VirtualSite site(Options(4));
  site.RunFor(seconds(5));
  site.Crash(3);
  site.RunFor(seconds(12));
  // Lists only the crashed instance.
  for (size_t host = 0; host < 3; ++host) {
    site.hosts[host].instance->HandleInstanceList({"10.0.0.4:2"}, {},
                                                  site.Now());
  }
  site.RunFor(seconds(10));
  CHECK(LiveAt(site, 0) == 3);
  for (size_t host = 0; host < 3; ++host) {
    site.hosts[host].instance->HandleInstanceList({}, {}, site.Now());
  }
  site.RunFor(seconds(10));
  CHECK(LiveAt(site, 0) == 3);
}

}  // namespace
}  // namespace pomeloring::test
