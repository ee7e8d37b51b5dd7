// An invalid configuration or settings file is rejected with an error of a
// stable type whose description names the field at fault.

#include <doctest/doctest.h>

#include "core/configuration.h"
#include "daemon/settings.h"

namespace pomeloring::test {
namespace {

struct Case {
  const char* name;
  const char* text;
  const char* type;
  const char* field;  // Expected in the description.
};

const Case kCases[] = {
    {"not JSON", "{\"services\":[", "malformed-json", "byte 13"},
    {"more than one value", "{} {}", "malformed-json", "byte"},
    {"list instead of an object", "[]", "wrong-type", "the text"},
    {"unknown section", R"({"service":[]})", "unknown-field", "service"},
    {"key hash of the wrong length",
     R"({"accounts":[{"name":"a","key_sha256":"0","colour":1}]})",
     "out-of-range", "key_sha256"},
    {"unknown field of a service",
     R"({"services":[{"name":"s","kind":"plain","path_prefix":"/s","x":1}]})",
     "unknown-field", "services[0].x"},
    {"orders for a plain service",
     R"({"services":[{"name":"s","kind":"plain","path_prefix":"/s",)"
     R"("takes_orders":true}]})",
     "out-of-range", "services[0].takes_orders"},
    {"adapters for a service that takes no orders",
     R"({"services":[{"name":"s","kind":"model","models":["m"],)"
     R"("adapters":["a"]}]})",
     "out-of-range", "services[0].adapters"},
    {"missing name", R"({"services":[{"kind":"plain","path_prefix":"/s"}]})",
     "missing-field", "services[0].name"},
    {"unknown kind", R"({"services":[{"name":"s","kind":"x"}]})",
     "out-of-range", "services[0].kind"},
    {"model without models", R"({"services":[{"name":"s","kind":"model"}]})",
     "missing-field", "services[0].models"},
    {"path prefix without a leading slash",
     R"({"services":[{"name":"s","kind":"plain","path_prefix":"s"}]})",
     "out-of-range", "services[0].path_prefix"},
    {"duplicate service name",
     R"({"services":[{"name":"s","kind":"plain","path_prefix":"/s"},)"
     R"({"name":"s","kind":"plain","path_prefix":"/t"}]})",
     "duplicate-name", "services[1].name"},
    {"duplicate upstream name",
     R"({"services":[{"name":"s","kind":"plain","path_prefix":"/s",)"
     R"("upstreams":[{"name":"u","address":"1.1.1.1:1","failure_domain":"d"},)"
     R"({"name":"u","address":"1.1.1.1:2","failure_domain":"d"}]}]})",
     "duplicate-name", "u"},
    {"address without port",
     R"({"services":[{"name":"s","kind":"plain","path_prefix":"/s",)"
     R"("upstreams":[{"name":"u","address":"1.1.1.1","failure_domain":"d"}]}]})",
     "out-of-range", "upstreams[0].address"},
    {"dependency cycle",
     R"({"services":[{"name":"a","kind":"plain","path_prefix":"/a",)"
     R"("depends_on":["b"]},{"name":"b","kind":"plain","path_prefix":"/b",)"
     R"("depends_on":["a"]}]})",
     "dependency-cycle", "a -> b -> a"},
    {"unknown dependency",
     R"({"services":[{"name":"a","kind":"plain","path_prefix":"/a",)"
     R"("depends_on":["b"]}]})",
     "unknown-reference", "services.a.depends_on"},
    {"class of an unknown service",
     R"({"classes":[{"name":"c","service":"s","answer_ms":1}]})",
     "unknown-reference", "classes.c.service"},
    {"class without target", R"({"classes":[{"name":"c","service":"s"}]})",
     "missing-field", "classes[0].first_token_ms"},
    {"negative target",
     R"({"classes":[{"name":"c","service":"s","answer_ms":-5}]})",
     "out-of-range", "classes[0].answer_ms"},
    {"target is a string",
     R"({"classes":[{"name":"c","service":"s","answer_ms":"5"}]})",
     "wrong-type", "classes[0].answer_ms"},
    {"tier out of range",
     R"({"classes":[{"name":"c","service":"s","answer_ms":5,"tier":99}]})",
     "out-of-range", "classes[0].tier"},
    {"unknown policy for late requests",
     R"({"classes":[{"name":"c","service":"s","answer_ms":5,)"
     R"("when_late":"x"}]})",
     "out-of-range", "classes[0].when_late"},
};

TEST_CASE(
    "an invalid configuration is rejected with the error type and the field") {
  for (const Case& test_case : kCases) {
    CAPTURE(test_case.name);
    const auto parsed = ParseConfiguration(test_case.text);
    const auto* error = std::get_if<ConfigurationError>(&parsed);
    REQUIRE(error != nullptr);
    CAPTURE(Describe(*error));
    CHECK(TypeName(*error) == test_case.type);
    CHECK(Describe(*error).find(test_case.field) != std::string::npos);
  }
}

TEST_CASE("deep nesting and out-of-range numbers are rejected") {
  const auto deep = ParseConfiguration(std::string(100000, '['));
  CHECK(std::holds_alternative<ConfigurationError>(deep));
  const auto large = ParseConfiguration(
      R"({"classes":[{"name":"c","service":"s","answer_ms":1e300}]})");
  CHECK(std::holds_alternative<ConfigurationError>(large));
}

TEST_CASE("invalid or missing settings are rejected") {
  const auto parsed = ParseSettings(R"({"name":"a","colour":"red"})");
  const auto* error = std::get_if<SettingsError>(&parsed);
  REQUIRE(error != nullptr);
  CHECK(Describe(*error).find("failure_domain") != std::string::npos);
  const auto missing = ReadSettings("/nonexistent/settings.json");
  CHECK(std::holds_alternative<SettingsError>(missing));
}

}  // namespace
}  // namespace pomeloring::test
