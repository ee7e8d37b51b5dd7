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
    router->TakeUpstreamList({ReadyUpstream("e0", 1), ReadyUpstream("e1", 2)},
                             LogOffset{3}, kNow);
  }
  // The other lists after e0 has gone; the reader has read the same.
  other.TakeUpstreamList({ReadyUpstream("e1", 2)}, LogOffset{4}, kNow);
  reader.TakeUpstreamChanges({RemovedUpstream("e0", 3)}, LogOffset{4}, kNow);
  CHECK_FALSE(other.IsBehind(reader.TakeDigestToSend(false, true, kNow)));
  reader.TakeUpstreamChanges({DrainingUpstream("e1", 4)}, LogOffset{5}, kNow);
  CHECK(other.IsBehind(reader.TakeDigestToSend(false, true, kNow)));
}

TEST_CASE("Who has listed does not make others fetch what they know") {
  Router reader(Named("a"));
  Router fresh(Named("b"));
  reader.TakeUpstreamList({ReadyUpstream("e0", 1)}, LogOffset{2}, kNow);
  // The same registration again, as a heartbeat writes it.
  fresh.TakeUpstreamList({ReadyUpstream("e0", 7)}, LogOffset{8}, kNow);
  CHECK_FALSE(reader.IsBehind(fresh.TakeDigestToSend(false, true, kNow)));
}

TEST_CASE("Who is ahead is not behind one that has read less") {
  Router reader(Named("a"));
  Router other(Named("b"));
  reader.TakeUpstreamList({ReadyUpstream("e0", 1)}, LogOffset{2}, kNow);
  other.TakeUpstreamList({ReadyUpstream("e0", 1)}, LogOffset{2}, kNow);
  reader.TakeUpstreamChanges({DrainingUpstream("e0", 2)}, LogOffset{3}, kNow);
  CHECK_FALSE(reader.IsBehind(other.TakeDigestToSend(false, true, kNow)));
}

}  // namespace
}  // namespace pomeloring
