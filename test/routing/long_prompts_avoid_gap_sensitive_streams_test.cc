// Drafts with long prompts arrive in bursts while questions run, whose streams
// have a short event gap target. A question that shares its engine with a long
// prefill misses that target.

#include <doctest/doctest.h>

#include "support/routing_site.h"

namespace pomeloring {
namespace {

constexpr Time kNow{seconds(1000)};

std::shared_ptr<PlacedAttempt> Start(Router& router,
                                     const AttemptRequest& request) {
  auto result = router.StartAttempt(request, kNow);
  REQUIRE(std::holds_alternative<std::shared_ptr<PlacedAttempt>>(result));
  return std::get<std::shared_ptr<PlacedAttempt>>(result);
}

TEST_CASE("Questions avoid an engine with a long prefill") {
  const auto router = ReadyRouter(2, kNow);
  const auto draft = Start(*router, RequestOn(*router, "draft", 40000));
  for (int i = 0; i < 8; ++i) {
    const auto question = Start(*router, RequestOn(*router, "question", 600));
    CHECK(question->upstream != draft->upstream);
  }
}

TEST_CASE("A long prompt is placed at the engine without questions") {
  const auto router = ReadyRouter(2, kNow);
  const auto question = Start(*router, RequestOn(*router, "question", 600));
  const auto draft = Start(*router, RequestOn(*router, "draft", 40000));
  CHECK(draft->upstream != question->upstream);
}

TEST_CASE(
    "A long prompt that would delay all questions is deferred, but not for "
    "long") {
  const auto router = ReadyRouter(1, kNow);
  for (int i = 0; i < 4; ++i) {
    Start(*router, RequestOn(*router, "question", 600));
  }
  AttemptRequest draft = RequestOn(*router, "draft", 40000);
  CHECK(std::holds_alternative<Deferred>(router->StartAttempt(draft, kNow)));
  draft.waited = milliseconds(1000);
  CHECK(std::holds_alternative<std::shared_ptr<PlacedAttempt>>(
      router->StartAttempt(draft, kNow)));
}

}  // namespace
}  // namespace pomeloring
