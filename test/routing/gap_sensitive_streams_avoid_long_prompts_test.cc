// Long prompts burst beside streams with a short event gap target, at engines
// that prefill between the tokens of their streams. Placement that looks only
// for uninterrupted prefill delays events of a third of the streams too much.

#include <doctest/doctest.h>

#include <algorithm>

#include "support/few_slots_site.h"

namespace pomeloring {
namespace {

constexpr Duration kGapTarget = milliseconds(250);

struct Shares {
  double steady_questions = 0;  // Without a gap above the target.
  double timely_drafts = 0;
};

Shares Play(int instances, bool isolates) {
  const LoadClass loads[] = {
      {"question", 50, 730, 290, 1},
      {"tag", 170, 1830, 20, 1},
      {"draft", 106, 12000, 380, 2.7, kNoAccount, 1600},
  };
  const FewSlotsKind kind{{"uneven", kFewSlots, 62, 3.27, 0.0823, 125, 10},
                          kGapTarget};
  RouterSettings settings;
  settings.features.isolates_streams = isolates;
  FewSlotsSite site(instances, 112, kind, settings);
  site.Run(loads, seconds(4), seconds(13), seconds(18));
  const auto& gaps = site.Result("question").max_event_gaps;
  const auto steady = std::count_if(
      gaps.begin(), gaps.end(), [](Duration gap) { return gap <= kGapTarget; });
  const Shares shares{
      static_cast<double>(steady) / site.Score("question").arrived,
      static_cast<double>(site.Result("draft").on_time) /
          site.Score("draft").arrived};
  MESSAGE(instances << " instances, isolated " << isolates << ": questions "
                    << shares.steady_questions << ", drafts "
                    << shares.timely_drafts);
  return shares;
}

TEST_CASE("Gap-sensitive streams are steady while long prompts burst") {
  for (const int instances : {6, 85}) {
    CAPTURE(instances);
    const Shares before = Play(instances, false);
    const Shares isolated = Play(instances, true);
    CHECK(isolated.steady_questions >= 0.95);
    CHECK(isolated.timely_drafts >= before.timely_drafts - 0.03);
  }
}

}  // namespace
}  // namespace pomeloring
