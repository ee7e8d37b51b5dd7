#include "ctl/command_line.h"

#include <getopt.h>

#include <cstdlib>

namespace pomeloring {
namespace {

constexpr option kOptions[] = {
    {"platform", required_argument, nullptr, 'p'},
    {"admin", required_argument, nullptr, 'a'},
    {"base", required_argument, nullptr, 'b'},
    {"change", no_argument, nullptr, 'c'},
    {"json", no_argument, nullptr, 'j'},
    {"request", required_argument, nullptr, 'r'},
    {"kind", required_argument, nullptr, 'k'},
    {"class", required_argument, nullptr, 'C'},
    {"last", required_argument, nullptr, 'l'},
    {"format", required_argument, nullptr, 'f'},
    {"wait", required_argument, nullptr, 'w'},
    {"help", no_argument, nullptr, 'h'},
    {"version", no_argument, nullptr, 'V'},
    {nullptr, 0, nullptr, 0},
};

std::vector<std::string> SplitAtCommas(const std::string& text) {
  std::vector<std::string> parts;
  size_t begin = 0;
  while (begin <= text.size()) {
    const size_t end = std::min(text.find(',', begin), text.size());
    if (end > begin) {
      parts.push_back(text.substr(begin, end - begin));
    }
    begin = end + 1;
  }
  return parts;
}

std::string GetEnvironmentVariable(const char* name) {
  const char* value = std::getenv(name);
  return value == nullptr ? std::string() : std::string(value);
}

std::optional<uint64_t> ParseNumber(const char* text) {
  char* end = nullptr;
  const uint64_t number = std::strtoull(text, &end, 10);
  const bool is_number = *text >= '0' && *text <= '9' && *end == '\0';
  return is_number ? std::optional(number) : std::nullopt;
}

}  // namespace

const char kCtlUsage[] =
    "usage: pomeloring-ctl [options] COMMAND [ARGUMENT ...]\n"
    "\n"
    "  check FILE              check a configuration text\n"
    "  publish FILE            put FILE in force in place of --base\n"
    "  mark TARGET STATE       mark an upstream or instance in-service,\n"
    "                          leaving or stopping\n"
    "  show config|classes|members|cells|entries|engines\n"
    "  stop                    begin a planned stop of the --admin instance\n"
    "  timeline                merge the events of all --admin instances\n"
    "  explain REQUEST         the story of a request, from logs on standard\n"
    "                          input\n"
    "  summary                 ends of requests by second, from logs on\n"
    "                          standard input\n"
    "\n"
    "  -p, --platform IP:PORT  the platform (or POMELORING_PLATFORM)\n"
    "  -a, --admin IP:PORT,..  admin addresses (or POMELORING_ADMIN)\n"
    "  -b, --base REVISION     publish: the revision that FILE replaces\n"
    "  -c, --change            publish: FILE is a change, not the whole text\n"
    "  -r, --request ID        timeline: only this request\n"
    "  -k, --kind KIND         timeline: only this kind of event\n"
    "  -C, --class CLASS       timeline: only requests of this class\n"
    "  -l, --last SECONDS      timeline: only so long before the newest event\n"
    "  -f, --format FORMAT     timeline: text, jsonl or chrome\n"
    "  -w, --wait SECONDS      how long to wait for the outcome (20)\n"
    "  -j, --json              print JSON\n"
    "  -h, --help              print this and exit\n"
    "  -V, --version           print the version and exit\n"
    "\n"
    "The operators' key is read from POMELORING_ADMIN_KEY.\n"
    "\n"
    "exit codes: 0 done, 2 usage, 3 invalid text, 4 conflict with another\n"
    "publish, 5 unreachable or refused, nothing was changed, 6 the outcome is\n"
    "unknown: show config tells\n";

std::variant<CommandLine, CommandLineExit> ParseCommandLine(int argc,
                                                            char** argv) {
  CommandLine line;
  line.platform_address = GetEnvironmentVariable("POMELORING_PLATFORM");
  line.admin_addresses =
      SplitAtCommas(GetEnvironmentVariable("POMELORING_ADMIN"));
  line.key = GetEnvironmentVariable("POMELORING_ADMIN_KEY");
  int option_char = 0;
  while ((option_char = getopt_long(argc, argv, "p:a:b:cjr:k:C:l:f:w:hV",
                                    kOptions, nullptr)) != -1) {
    switch (option_char) {
      case 'p':
        line.platform_address = optarg;
        break;
      case 'a':
        line.admin_addresses = SplitAtCommas(optarg);
        break;
      case 'b':
        line.base = ParseNumber(optarg);
        if (!line.base) {
          return CommandLineExit::kUsage;
        }
        break;
      case 'c':
        line.is_change = true;
        break;
      case 'j':
        line.json = true;
        break;
      case 'r':
        line.request = optarg;
        break;
      case 'k':
        line.kind = optarg;
        break;
      case 'C':
        line.request_class = optarg;
        break;
      case 'l':
        line.last_seconds = ParseNumber(optarg);
        if (!line.last_seconds) {
          return CommandLineExit::kUsage;
        }
        break;
      case 'f':
        line.format = optarg;
        break;
      case 'w':
        line.wait_seconds = static_cast<int>(ParseNumber(optarg).value_or(20));
        break;
      case 'h':
        return CommandLineExit::kHelp;
      case 'V':
        return CommandLineExit::kVersion;
      default:
        return CommandLineExit::kUsage;
    }
  }
  line.positional_args.assign(argv + optind, argv + argc);
  if (line.positional_args.empty()) {
    return CommandLineExit::kUsage;
  }
  return line;
}

}  // namespace pomeloring
