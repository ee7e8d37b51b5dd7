// Defines CommandLine: what an operator asked pomeloring-ctl to do.

#ifndef POMELORING_CTL_COMMAND_LINE_H_
#define POMELORING_CTL_COMMAND_LINE_H_

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace pomeloring {

struct CommandLine {
  std::vector<std::string> positional_args;  // The command and its arguments.
  std::string platform_address;              // IP:port.
  std::vector<std::string> admin_addresses;  // IP:port each.
  std::string key;
  std::optional<uint64_t> base;
  bool is_change = false;
  bool json = false;
  std::string request;  // Filters of the time line.
  std::string kind;
  std::string request_class;
  std::optional<uint64_t> last_seconds;
  std::string format = "text";
  int wait_seconds = 20;
};

enum class CommandLineExit { kHelp, kVersion, kUsage };

std::variant<CommandLine, CommandLineExit> ParseCommandLine(int argc,
                                                            char** argv);

extern const char kCtlUsage[];

// Exit codes, for scripts.
inline constexpr int kExitOk = 0;
inline constexpr int kExitUsage = 2;
inline constexpr int kExitInvalid = 3;
inline constexpr int kExitConflict = 4;
inline constexpr int kExitUnreachable = 5;
inline constexpr int kExitUnknown = 6;

}  // namespace pomeloring

#endif  // POMELORING_CTL_COMMAND_LINE_H_
