// For seconds, more prompt tokens arrive than all engines can prefill. Without
// a limit, the engines would spend all their time on prefill, and streams would
// miss their deadlines and hold their slots longer. Drafts must be refused
// first, and questions not at all.

#include <doctest/doctest.h>

#include "support/routing_site.h"

namespace pomeloring {
namespace {

constexpr Time kStart{seconds(1000)};

struct Counts {
  int placed = 0;
  int refused = 0;
};

// A draft of 10,000 tokens every 10 ms, more than ten times what two engines
// prefill at 40 tokens per ms, and a question every 50 ms. Attempts end after
// one second.
TEST_CASE("Drafts are refused under overload while questions are placed") {
  const auto router = ReadyRouter(2, kStart);
  std::multimap<Time, std::shared_ptr<PlacedAttempt>> ends;
  std::map<std::string, Counts> counts;
  const auto submit = [&](const std::string& route, uint32_t tokens, Time now) {
    AttemptRequest request = RequestOn(*router, route, tokens);
    request.waited = seconds(1);  // Longer than it may be deferred.
    auto result = router->StartAttempt(request, now);
    if (auto* attempt = std::get_if<std::shared_ptr<PlacedAttempt>>(&result)) {
      ends.emplace(now + seconds(1), *attempt);
      ++counts[route].placed;
      return;
    }
    const auto* unplaced = std::get_if<Unplaced>(&result);
    REQUIRE(unplaced != nullptr);
    CHECK(unplaced->reason == PlacementRefusal::kOverloaded);
    CHECK(unplaced->retry_after > Duration{0});
    ++counts[route].refused;
  };
  for (int ms = 0; ms < 10000; ms += 10) {
    const Time now = kStart + milliseconds(ms);
    while (!ends.empty() && ends.begin()->first <= now) {
      router->EndAttempt(*ends.begin()->second, UpstreamOutcome::kServed, now);
      ends.erase(ends.begin());
    }
    submit("draft", 10000, now);
    if (ms % 50 == 0) {
      submit("question", 600, now);
    }
  }
  CHECK(counts["question"].refused == 0);
  CHECK(counts["draft"].refused > counts["draft"].placed);
  // Drafts still get at least half of what the two engines can prefill.
  CHECK(counts["draft"].placed > 40);
}

// Tags, whose priority is between the others, arrive while drafts overload the
// engines. The load rises and falls in turns.
TEST_CASE("No draft starts within two seconds of a tag's refusal") {
  const auto router = ReadyRouter(2, kStart);
  std::multimap<Time, std::shared_ptr<PlacedAttempt>> ends;
  Time tag_refused{};
  int tags_placed = 0;
  int drafts_placed = 0;
  for (int ms = 0; ms < 20000; ms += 10) {
    const Time now = kStart + milliseconds(ms);
    while (!ends.empty() && ends.begin()->first <= now) {
      router->EndAttempt(*ends.begin()->second, UpstreamOutcome::kServed, now);
      ends.erase(ends.begin());
    }
    // Every other second, tags alone are more than two engines can prefill.
    const bool is_surge = ms / 1000 % 2 == 0;
    for (const std::string route : {"tag", "draft"}) {
      if (route == "tag" && !is_surge) {
        continue;
      }
      AttemptRequest request = RequestOn(*router, route, 4000);
      request.waited = seconds(1);
      auto result = router->StartAttempt(request, now);
      if (auto* attempt =
              std::get_if<std::shared_ptr<PlacedAttempt>>(&result)) {
        ends.emplace(now + seconds(1), *attempt);
        (route == "tag" ? tags_placed : drafts_placed) += 1;
        if (route == "draft") {
          CHECK(now - tag_refused >= seconds(2));
        }
      } else if (route == "tag") {
        tag_refused = now;
      }
    }
  }
  CHECK(tags_placed > drafts_placed);
}

TEST_CASE("An idle engine refuses nothing, however long the prompt") {
  const auto router = ReadyRouter(1, kStart);
  const AttemptRequest draft = RequestOn(*router, "draft", 60000);
  CHECK(std::holds_alternative<std::shared_ptr<PlacedAttempt>>(
      router->StartAttempt(draft, kStart)));
}

}  // namespace
}  // namespace pomeloring
