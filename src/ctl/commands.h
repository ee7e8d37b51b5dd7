// Commands of pomeloring-ctl.

#ifndef POMELORING_CTL_COMMANDS_H_
#define POMELORING_CTL_COMMANDS_H_

#include "ctl/command_line.h"

namespace pomeloring {

// Runs the command that `line` names and returns the exit code.
int RunCommand(const CommandLine& line);

}  // namespace pomeloring

#endif  // POMELORING_CTL_COMMANDS_H_
