// Defines the commands of pomeloring-ctl. Each returns an exit code.

#ifndef POMELORING_CTL_COMMANDS_H_
#define POMELORING_CTL_COMMANDS_H_

#include "ctl/command_line.h"

namespace pomeloring {

int RunCommand(const CommandLine& line);

}  // namespace pomeloring

#endif  // POMELORING_CTL_COMMANDS_H_
