// With an invalid option or file, each program prints a message that names it
// and exits with a distinct code, and not with an uncaught exception.

#include <doctest/doctest.h>

#include <fstream>

#include "support/process.h"

namespace pomeloring {
namespace {

constexpr int kUsage = 2;
constexpr int kBadFile = 3;
const std::string kSource = POMELORING_SOURCE;

struct Case {
  std::string program;
  std::vector<std::string> arguments;
  int exit_code = 0;
  std::string expected_output;  // A part of standard output or standard error.
};

std::string ExampleFile(const std::string& name) {
  return kSource + "/examples/" + name;
}

std::string WorkloadFile(const std::string& name) {
  return kSource + "/bench/workloads/" + name;
}

TEST_CASE("each program names the invalid option or file") {
  const std::string sodarna = ExampleFile("sodarna.json");
  const std::string workload = WorkloadFile("sodarna-070.json");
  const std::vector<Case> cases = {
      {"policy_bench", {}, kUsage, "--deployment"},
      {"policy_bench",
       {"--deployment", sodarna, "--workload", ""},
       kUsage,
       "--workload"},
      {"policy_bench",
       {"--deployment", sodarna, "--workload", workload, "--policy", "best"},
       kUsage,
       "'best'"},
      {"policy_bench",
       {"--deployment", sodarna, "--workload", workload, "--seed", "one"},
       kUsage,
       "--seed"},
      {"policy_bench",
       {"--deployment", "none.json", "--workload", workload},
       kBadFile,
       "none.json: can't be read"},
      {"policy_bench",
       {"--deployment", workload, "--workload", workload},
       kBadFile,
       "sodarna-070.json"},
      {"policy_bench",
       {"--deployment", sodarna, "--workload",
        WorkloadFile("daugavas-070.json")},
       kBadFile,
       "daugavas-070.json"},
      {"pomeloring-gateway", {}, kUsage, "--settings"},
      {"pomeloring-gateway",
       {"--settings", "none.json"},
       kBadFile,
       "none.json"},
      {"pomeloring-gateway", {"--settings", sodarna}, kBadFile, "sodarna.json"},
      {"pomeloring-node", {"--settings", "none.json"}, kBadFile, "none.json"},
  };
  for (const Case& test_case : cases) {
    std::string command = test_case.program;
    for (const std::string& argument : test_case.arguments) {
      command += " " + argument;
    }
    CAPTURE(command);
    const test::ProgramResult end =
        test::RunAndCapture(test_case.program, test_case.arguments);
    CHECK(end.exit_code == test_case.exit_code);
    CHECK(end.output.find(test_case.expected_output) != std::string::npos);
  }
}

}  // namespace
}  // namespace pomeloring
