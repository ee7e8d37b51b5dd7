// An invalid request is answered with a problem document (RFC 9457) that gives
// the type of the error and the field at fault, and leaves the instance
// running.

#include <doctest/doctest.h>

#include "support/running_site.h"

namespace pomeloring::test {
namespace {

struct Case {
  const char* name;
  const char* method;
  const char* target;
  const char* key;
  const char* request_class;
  const char* body;
  unsigned status;
  const char* type;   // Expected in the problem type.
  const char* field;  // Expected in the problem detail.
};

constexpr char kChat[] = "/v1/chat/completions";

const Case kCases[] = {
    {"malformed JSON", "POST", kChat, "key", "question", "{\"model\":", 400,
     "malformed-json", "the body"},
    {"not an object", "POST", kChat, "key", "question", "[]", 400, "wrong-type",
     "the body"},
    {"missing model", "POST", kChat, "key", "question", "{\"messages\":[]}",
     400, "missing-field", "model"},
    {"model is a number", "POST", kChat, "key", "question",
     "{\"model\":3,\"messages\":[]}", 400, "wrong-type", "model"},
    {"missing messages", "POST", kChat, "key", "question",
     "{\"model\":\"cask-7b\"}", 400, "missing-field", "messages"},
    {"messages is a string", "POST", kChat, "key", "question",
     "{\"model\":\"cask-7b\",\"messages\":\"x\"}", 400, "wrong-type",
     "messages"},
    {"stream is a string", "POST", kChat, "key", "question",
     "{\"model\":\"cask-7b\",\"messages\":[],\"stream\":\"yes\"}", 400,
     "wrong-type", "stream"},
    {"unknown model", "POST", kChat, "key", "question",
     "{\"model\":\"none\",\"messages\":[]}", 404, "unknown-model", "model"},
    {"unknown class", "POST", kChat, "key", "none",
     "{\"model\":\"cask-7b\",\"messages\":[]}", 400, "unknown-class",
     "Pomeloring-Class"},
    {"class of another service", "POST", kChat, "key", "stamp",
     "{\"model\":\"cask-7b\",\"messages\":[]}", 400, "unknown-class",
     "Pomeloring-Class"},
    {"missing class", "POST", kChat, "key", "",
     "{\"model\":\"cask-7b\",\"messages\":[]}", 400, "missing-class",
     "Pomeloring-Class"},
    {"unknown account", "POST", kChat, "none", "question", "{}", 401,
     "unknown-account", "Authorization"},
    {"missing key", "POST", kChat, "", "question", "{}", 401, "missing-key",
     "Authorization"},
    {"unsupported method", "DELETE", kChat, "key", "question", "", 405,
     "unsupported-method", "the method"},
    {"unknown path", "GET", "/none", "key", "", "", 404, "unknown-path",
     "the path"},
    {"path prefix without a segment boundary", "GET", "/ledgers", "key", "", "",
     404, "unknown-path", "the path"},
    {"entries by POST", "POST", "/v1/entries", "key", "", "", 405,
     "unsupported-method", "the method"},
};

HttpResponse Send(const RunningSite& site, const Case& test_case) {
  HttpCall call{.address = site.CallerAddress(0),
                .method = test_case.method,
                .target = test_case.target,
                .body = test_case.body};
  if (*test_case.key != '\0') {
    call.headers.emplace_back("Authorization",
                              std::string("Bearer ") + test_case.key);
  }
  if (*test_case.request_class != '\0') {
    call.headers.emplace_back("Pomeloring-Class", test_case.request_class);
  }
  return Call(call);
}

TEST_CASE(
    "an invalid request gets a problem reply and the instance keeps serving") {
  RunningSite site({.instances = 1});
  site.PublishAndWait();
  for (const Case& test_case : kCases) {
    CAPTURE(test_case.name);
    const HttpResponse answer = Send(site, test_case);
    CAPTURE(answer.body);
    CHECK(answer.status == test_case.status);
    CHECK(answer.headers.at("content-type") == "application/problem+json");
    CHECK(answer.body.find(test_case.type) != std::string::npos);
    CHECK(answer.body.find(test_case.field) != std::string::npos);
    CHECK(answer.body.find("\"outcome\":\"rejected\"") != std::string::npos);
  }
  CHECK(site.SendQuestion(0, "still alive?", 3).status == 200);
}

TEST_CASE("oversized, slow and malformed HTTP requests get a problem reply") {
  RunningSite site({.instances = 1});
  site.PublishAndWait();
  const std::string address = site.CallerAddress(0);
  const auto status_of = [&](const std::string& bytes) {
    const std::string answer = SendRaw(address, bytes);
    CAPTURE(answer);
    CHECK(answer.find("application/problem+json") != std::string::npos);
    return answer.substr(0, 12);
  };
  CHECK(status_of("POST /v1/completions HTTP/1.1\r\nContent-Length: "
                  "999999999\r\n\r\n") == "HTTP/1.1 413");
  CHECK(status_of("GET /" + std::string(20000, 'x') + " HTTP/1.1\r\n\r\n") ==
        "HTTP/1.1 431");
  CHECK(status_of("no HTTP at all\r\n\r\n") == "HTTP/1.1 400");
  CHECK(status_of("POST /v1/completions HTTP/1.1\r\nContent-Length: 9\r\n\r\n"
                  "slow") == "HTTP/1.1 408");
  CHECK(site.SendQuestion(0, "still alive?", 3).status == 200);
}

TEST_CASE("admin calls without the operators' key are rejected") {
  RunningSite site({.instances = 1});
  site.PublishAndWait();
  for (const char* path : {"/v1/config", "/v1/members", "/v1/timeline"}) {
    CHECK(Call({.address = site.AdminAddress(0),
                .target = path,
                .headers = {{"Authorization", "Bearer key"}}})
              .status == 401);
  }
  CHECK(Call({.address = site.AdminAddress(0), .target = "/metrics"}).status ==
        200);
}

}  // namespace
}  // namespace pomeloring::test
