// CommandLine: the parsed arguments of pomeloring-ctl.

#ifndef POMELORING_CTL_COMMAND_LINE_H_
#define POMELORING_CTL_COMMAND_LINE_H_

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace pomeloring {

struct CommandLine {
  // The command name, then its arguments.
  std::vector<std::string> positional_args;
  std::string platform_address;              // IP:port.
  std::vector<std::string> admin_addresses;  // IP:port each.
  std::string key;                           // Operators' key.
  std::optional<uint64_t> base;  // publish: the revision to replace.
  bool is_change = false;        // publish: the file holds changes only.
  bool json = false;             // Print JSON.
  // Filters of `timeline`; empty means no filter.
  std::string request;
  std::string kind;
  std::string request_class;
  std::optional<uint64_t> last_seconds;
  std::string format = "text";  // text, jsonl or chrome.
  int wait_seconds = 20;        // Max wait for the outcome of a publish.
};

// Why the program exits without running a command.
enum class CommandLineExit { kHelp, kVersion, kUsage };

// Parses the arguments; options that are not given default to the environment
// variables POMELORING_PLATFORM, POMELORING_ADMIN and POMELORING_ADMIN_KEY.
std::variant<CommandLine, CommandLineExit> ParseCommandLine(int argc,
                                                            char** argv);

extern const char kCtlUsage[];

// Exit codes; scripts rely on the values.
inline constexpr int kExitOk = 0;
inline constexpr int kExitUsage = 2;
inline constexpr int kExitInvalid = 3;   // Invalid configuration.
inline constexpr int kExitConflict = 4;  // --base is not in force.
// A call failed or was refused; nothing was changed.
inline constexpr int kExitUnreachable = 5;
inline constexpr int kExitUnknown = 6;  // Outcome unknown.

}  // namespace pomeloring

#endif  // POMELORING_CTL_COMMAND_LINE_H_
