// Engines with few slots fill up while the least urgent class bursts. Placement
// that counts prefill but not slots lets it queue at the engines, and urgent
// requests then wait there for slots of streams that last 1.7 s.

#include <doctest/doctest.h>

#include "support/few_slots_site.h"

namespace pomeloring {
namespace {

// The urgent class keeps about a sixth of the slots busy, the least urgent one
// more than a third, and all of them in its burst.
TEST_CASE("Urgent streams start on time while the least urgent ones burst") {
  const LoadClass loads[] = {
      {"question", 300, 600, 110, 1},
      {"tag", 100, 1000, 110, 1},
      {"draft", 300, 12000, 220, 2.8},
  };
  RouterSettings settings;
  settings.admits_by_slots = true;
  FewSlotsSite site(85, 112, {}, settings);
  site.Run(loads, seconds(4), seconds(13), seconds(18));
  for (const LoadClass& load : loads) {
    const FleetResult& result = site.Result(load.route);
    const RouteScore& score = site.Score(load.route);
    MESSAGE(load.route << ": " << score.arrived << " arrived, " << score.refused
                       << " refused (" << score.refused_late
                       << " after waiting), " << result.complete
                       << " complete, " << result.on_time << " on time, mean "
                       << result.slot_ms / double(result.complete) << " ms, "
                       << site.StillWaiting() << " waiting");
  }
  const auto on_time = static_cast<double>(site.Result("question").on_time);
  CHECK(on_time >= 0.95 * site.Score("question").arrived);
}

}  // namespace
}  // namespace pomeloring
