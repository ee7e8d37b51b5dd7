#include <fmt/format.h>

#include "ctl/command_line.h"
#include "ctl/commands.h"

int main(int argc, char** argv) {
  using namespace pomeloring;
  const auto parsed = ParseCommandLine(argc, argv);
  if (const auto* line = std::get_if<CommandLine>(&parsed)) {
    return RunCommand(*line);
  }
  switch (std::get<CommandLineExit>(parsed)) {
    case CommandLineExit::kHelp:
      fmt::print("{}", kCtlUsage);
      return kExitOk;
    case CommandLineExit::kVersion:
      fmt::print("pomeloring-ctl {}\n", POMELORING_VERSION);
      return kExitOk;
    case CommandLineExit::kUsage:
      break;
  }
  fmt::print(stderr, "{}", kCtlUsage);
  return kExitUsage;
}
