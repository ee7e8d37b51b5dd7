// An instance that has read a whole list, and noted what is missing from it,
// still has to learn of the very next change from the readers.

#include <doctest/doctest.h>

#include "support/routing_site.h"

namespace pomeloring {
namespace {

constexpr Time kNow{seconds(1000)};

RouterSettings Named(const std::string& name) {
  RouterSettings settings;
  settings.name.value = name;
  return settings;
}

TEST_CASE("The change that follows a list is not taken for known") {
  Router reader(Named("a"));
  Router other(Named("b"));
  for (Router* router : {&reader, &other}) {
    router->ApplyUpstreamList({ReadyUpstream("e0", 1), ReadyUpstream("e1", 2)},
                              LogOffset{3}, kNow);
  }
  // The other lists after e0 has gone; the reader has read the same.
  other.ApplyUpstreamList({ReadyUpstream("e1", 2)}, LogOffset{4}, kNow);
  reader.ApplyUpstreamChanges({GoneUpstream("e0", 3)}, LogOffset{4}, kNow);
  CHECK_FALSE(other.IsBehind(reader.BuildDigest(false, true, kNow)));
  reader.ApplyUpstreamChanges({DrainingUpstream("e1", 4)}, LogOffset{5}, kNow);
  CHECK(other.IsBehind(reader.BuildDigest(false, true, kNow)));
}

TEST_CASE("Who has listed does not make others fetch what they know") {
  Router reader(Named("a"));
  Router fresh(Named("b"));
  reader.ApplyUpstreamList({ReadyUpstream("e0", 1)}, LogOffset{2}, kNow);
  // The same registration again, as a heartbeat writes it.
  fresh.ApplyUpstreamList({ReadyUpstream("e0", 7)}, LogOffset{8}, kNow);
  CHECK_FALSE(reader.IsBehind(fresh.BuildDigest(false, true, kNow)));
}

TEST_CASE("Who is ahead is not behind one that has read less") {
  Router reader(Named("a"));
  Router other(Named("b"));
  reader.ApplyUpstreamList({ReadyUpstream("e0", 1)}, LogOffset{2}, kNow);
  other.ApplyUpstreamList({ReadyUpstream("e0", 1)}, LogOffset{2}, kNow);
  reader.ApplyUpstreamChanges({DrainingUpstream("e0", 2)}, LogOffset{3}, kNow);
  CHECK_FALSE(reader.IsBehind(other.BuildDigest(false, true, kNow)));
}

}  // namespace
}  // namespace pomeloring
