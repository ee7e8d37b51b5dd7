#include <fmt/format.h>

#include "ctl/command_line.h"
#include "ctl/commands.h"

int main(int argc, char** argv) {
  using namespace pomeloring;
  const auto parsed = ParseCommandLine(argc, argv);
  if (const auto* line = std::get_if<CommandLine>(&parsed)) {
    return RunCommand(*line);
  }
  switch (std::get<CommandLineEnd>(parsed)) {
    case CommandLineEnd::kHelp:
      fmt::print("{}", kCtlUsage);
      return kExitOk;
    case CommandLineEnd::kVersion:
      fmt::print("pomeloring-ctl {}\n", POMELORING_VERSION);
      return kExitOk;
    case CommandLineEnd::kUsage:
      break;
  }
  fmt::print(stderr, "{}", kCtlUsage);
  return kExitUsage;
}
