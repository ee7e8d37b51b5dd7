// Killing the scheduler of a service neither interrupts the streams that run
// nor fails requests that arrive afterwards at another instance.

#include <doctest/doctest.h>

#include <csignal>

#include "support/running_site.h"

namespace pomeloring::test {
namespace {

TEST_CASE("requests complete when their scheduler is killed") {
  RunningSite site({.step_ms = "10"});
  site.PublishAndWait();
  site.SendQuestion(0, "first", 2);
  const auto scheduler = site.SchedulerOf("model");
  REQUIRE(scheduler);
  const size_t entry = (*scheduler + 1) % 3;
  std::vector<std::future<HttpResponse>> answers;
  const auto send_requests = [&](int count, const std::string& name) {
    for (int i = 0; i < count; ++i) {
      answers.push_back(std::async(std::launch::async, [&site, entry, i, name] {
        return site.SendQuestion(entry, name + std::to_string(i), 150);
      }));
    }
  };
  send_requests(8, "before ");
  RunningSite::WaitUntil([&] {
    return site.FetchCounts(site.EngineAddress(0)).find("before") !=
           std::string::npos;
  });
  site.nodes[*scheduler]->Signal(SIGKILL);
  send_requests(8, "after ");
  for (auto& answer : answers) {
    const HttpResponse got = answer.get();
    CHECK(got.status == 200);
    CHECK(ParseStream(got.body).is_complete);
  }
}

}  // namespace
}  // namespace pomeloring::test
