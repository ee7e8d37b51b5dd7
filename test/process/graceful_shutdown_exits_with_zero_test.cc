// A graceful shutdown (SIGTERM) finishes the running streams and queued
// requests and exits with code 0.

#include <doctest/doctest.h>

#include <csignal>

#include "support/running_site.h"

namespace pomeloring::test {
namespace {

TEST_CASE("SIGTERM completes streams and queued requests, then exits with 0") {
  RunningSite site({.step_ms = "20"});
  site.PublishAndWait();
  std::vector<std::future<HttpResponse>> answers;
  for (int i = 0; i < 6; ++i) {
    answers.push_back(std::async(std::launch::async, [&site, i] {
      return site.SendQuestion(0, "long " + std::to_string(i), 300);
    }));
  }
  RunningSite::WaitUntil([&] {
    return site.FetchCounts(site.EngineAddress(0)).find("long") !=
               std::string::npos &&
           site.FetchCounts(site.EngineAddress(1)).find("long") !=
               std::string::npos;
  });
  site.nodes[0]->Signal(SIGTERM);
  // While it drains, the other instances no longer list its address, and
  // callers that still have the address are served.
  RunningSite::WaitUntil([&] { return site.ListsEntries(1, 2); });
  CHECK(site.PostStamp(0, "late stamp", "").status == 200);
  for (auto& answer : answers) {
    const HttpResponse got = answer.get();
    CHECK(got.status == 200);
    CHECK(ParseStream(got.body).is_complete);
  }
  CHECK(site.nodes[0]->Wait() == 0);
}

}  // namespace
}  // namespace pomeloring::test
