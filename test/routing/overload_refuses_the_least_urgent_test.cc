// The pattern: for seconds, more prompt tokens come than all engines can read.
// Without a bound, engines read all the time, streams miss their deadlines and
// hold their slots the longer. Drafts are refused first; questions are not.

#include <doctest/doctest.h>

#include "support/routing_site.h"

namespace pomeloring {
namespace {

constexpr Time kStart{seconds(1000)};

struct Counts {
  int placed = 0;
  int refused = 0;
};

// Drafts of 10,000 tokens every 10 ms, which is ten times what two engines read
// at 40 tokens a ms, and a question every 50 ms. Runs end after a second.
TEST_CASE("Drafts are refused in an overload while questions are placed") {
  const auto router = ReadyRouter(2, kStart);
  std::multimap<Time, std::shared_ptr<PlacedAttempt>> ends;
  std::map<std::string, Counts> counts;
  const auto submit = [&](const std::string& route, uint32_t tokens, Time now) {
    AttemptRequest request = RequestOn(*router, route, tokens);
    request.waited = seconds(1);  // It has waited as long as it may.
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
  // What two engines can read is still given to them.
  CHECK(counts["draft"].placed > 40);
}

// The pattern: tags, which have a priority between, come while drafts overload
// the engines; the load rises and falls by turns.
TEST_CASE("No draft begins within two seconds of a tag's refusal") {
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
    // Tags alone are more than two engines can read, every other second.
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

TEST_CASE("An idle site refuses nothing, however long the prompt") {
  const auto router = ReadyRouter(1, kStart);
  const AttemptRequest draft = RequestOn(*router, "draft", 60000);
  CHECK(std::holds_alternative<std::shared_ptr<PlacedAttempt>>(
      router->StartAttempt(draft, kStart)));
}

}  // namespace
}  // namespace pomeloring
