// If an engine fails during a request, another engine resumes it and the caller
// gets the complete answer. If no engine can, the answer is marked incomplete.

#include <doctest/doctest.h>

#include <csignal>

#include "support/running_site.h"

namespace pomeloring::test {
namespace {

std::string AskForText(RunningSite& site, const std::string& question) {
  const HttpResponse answer = site.SendQuestion(0, question, 40);
  CHECK(answer.status == 200);
  const StreamContent streamed = ParseStream(answer.body);
  CHECK(streamed.is_complete);
  return streamed.text;
}

struct Case {
  const char* name;
  const char* control;
};

TEST_CASE("a fault of an engine does not change the answer") {
  RunningSite site({});
  site.PublishAndWait();
  const std::string expected = AskForText(site, "how old is cask 12?");
  const Case cases[] = {
      {"connection closed", R"({"cut_after":7})"},
      {"duplicate token", R"({"double_token":7})"},
      {"request refused", R"({"refuses":1})"},
  };
  for (const Case& fault : cases) {
    CAPTURE(fault.name);
    // Only engine 0 has the fault; any of the requests may reach it.
    site.PostControl(site.EngineAddress(0), fault.control);
    for (int i = 0; i < 3; ++i) {
      CHECK(AskForText(site, "how old is cask 12?") == expected);
    }
    site.PostControl(site.EngineAddress(0), R"({"refuses":0})");
  }
}

TEST_CASE("another engine resumes the stream of an engine that stops sending") {
  RunningSite site({.step_ms = "30"});
  site.PublishAndWait();
  auto answer = std::async(std::launch::async,
                           [&] { return site.SendQuestion(0, "silence", 60); });
  RunningSite::WaitUntil([&] {
    return site.FetchCounts(site.EngineAddress(0)).find("silence") !=
               std::string::npos ||
           site.FetchCounts(site.EngineAddress(1)).find("silence") !=
               std::string::npos;
  });
  const size_t engine =
      site.FetchCounts(site.EngineAddress(0)).find("silence") !=
              std::string::npos
          ? 0
          : 1;
  SUBCASE("the process is suspended and its connections stay open") {
    site.engines[engine]->Signal(SIGSTOP);
  }
  SUBCASE("streams stall while health checks succeed") {
    site.PostControl(site.EngineAddress(engine), R"({"stalls":1})");
  }
  SUBCASE("the process is killed") {
    site.engines[engine]->Signal(SIGKILL);
  }
  const HttpResponse got = answer.get();
  CHECK(got.status == 200);
  CHECK(ParseStream(got.body).is_complete);
}

TEST_CASE("an answer that can't be completed is reported as incomplete") {
  RunningSite site({.engines = 1, .step_ms = "30"});
  site.PublishAndWait();
  for (const bool stream : {true, false}) {
    CAPTURE(stream);
    auto answer = std::async(std::launch::async, [&site, stream] {
      return site.SendQuestion(0, "cut for good", 200, stream);
    });
    RunningSite::WaitUntil(
        [&] { return site.FetchCount(site.EngineAddress(0), "tokens") > 5; });
    site.engines[0]->Signal(SIGKILL);
    const HttpResponse got = answer.get();
    if (stream) {
      CHECK(got.body.find("data: [DONE]") == std::string::npos);
      CHECK(got.body.find("event: error") != std::string::npos);
    } else {
      CHECK(got.status == 502);
      CHECK(got.body.find("\"outcome\":\"unknown\"") != std::string::npos);
    }
    site.engines[0] = std::make_unique<Process>(
        "pomeloring-standin-engine",
        std::vector<std::string>{"--address", site.EngineAddress(0),
                                 "--step_ms=30"});
    RunningSite::WaitUntil([&] {
      return Call({.address = site.EngineAddress(0), .target = "/health"})
                 .status == 200;
    });
  }
}

}  // namespace
}  // namespace pomeloring::test
