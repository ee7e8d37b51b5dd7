// A reload applies the settings that may change while a gateway runs, and lists
// those that need a restart.

#include <doctest/doctest.h>

#include "gateway/gateway_settings.h"

namespace pomeloring::test {
namespace {

using Names = std::vector<std::string>;

TEST_CASE("Changed settings are applied or listed as needing a restart") {
  GatewaySettings current;
  current.name = "g1";
  current.caller_address = "127.0.0.1:1";
  GatewaySettings loaded = current;
  loaded.seeds = {"127.0.0.1:9"};
  loaded.retries.fixed_retries = 7;
  loaded.drain_timeout = std::chrono::seconds(3);
  loaded.caller_address = "127.0.0.1:2";
  const ReloadResult changed = ApplyReloaded(current, loaded);
  CHECK(changed.applied == Names{"seeds", "retry_fixed", "longest_drain_s"});
  CHECK(changed.need_restart == Names{"caller_address"});
  CHECK(current.seeds == loaded.seeds);
  CHECK(current.retries.fixed_retries == 7);
  CHECK(current.drain_timeout == std::chrono::seconds(3));
  CHECK(current.caller_address == "127.0.0.1:1");
}

TEST_CASE("A reload of the same settings changes nothing") {
  GatewaySettings current;
  const ReloadResult changed = ApplyReloaded(current, current);
  CHECK(changed.applied.empty());
  CHECK(changed.need_restart.empty());
}

}  // namespace
}  // namespace pomeloring::test
