// A reload takes over what may change while a gateway runs, and names the rest.

#include <doctest/doctest.h>

#include "gateway/gateway_settings.h"

namespace pomeloring::test {
namespace {

using Names = std::vector<std::string>;

TEST_CASE("What may change is taken, the rest is named") {
  GatewaySettings in_force;
  in_force.name = "g1";
  in_force.caller_address = "127.0.0.1:1";
  GatewaySettings read = in_force;
  read.seeds = {"127.0.0.1:9"};
  read.retries.fixed_retries = 7;
  read.longest_drain = std::chrono::seconds(3);
  read.caller_address = "127.0.0.1:2";
  const ReloadedSettings changed = TakeReloaded(in_force, read);
  CHECK(changed.taken == Names{"seeds", "retry_fixed", "longest_drain_s"});
  CHECK(changed.need_restart == Names{"caller_address"});
  CHECK(in_force.seeds == read.seeds);
  CHECK(in_force.retries.fixed_retries == 7);
  CHECK(in_force.longest_drain == std::chrono::seconds(3));
  CHECK(in_force.caller_address == "127.0.0.1:1");
}

TEST_CASE("The same settings again change nothing") {
  GatewaySettings in_force;
  const ReloadedSettings changed = TakeReloaded(in_force, in_force);
  CHECK(changed.taken.empty());
  CHECK(changed.need_restart.empty());
}

}  // namespace
}  // namespace pomeloring::test
