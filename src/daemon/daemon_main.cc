#include "daemon/daemon_main.h"

#include <fmt/format.h>
#include <getopt.h>

#include <csignal>
#include <cstdio>

#include "daemon/signal_mask.h"

namespace pomeloring {
namespace {

constexpr char kUsage[] =
    "usage: {0} --settings FILE [--check]\n"
    "\n"
    "{1}"
    "\n"
    "  -s, --settings FILE  the settings, JSON\n"
    "  -c, --check          check the settings and exit\n"
    "  -d, --describe       print the settings reference and exit\n"
    "  -h, --help           print this and exit\n"
    "  -V, --version        print the version and exit\n"
    "\n"
    "exit codes: 0 stopped as planned, 2 usage, 3 bad settings, 4 can't\n"
    "listen, 5 stopped with requests in flight, 6 name taken over\n";

constexpr option kOptions[] = {
    {"settings", required_argument, nullptr, 's'},
    {"check", no_argument, nullptr, 'c'},
    {"describe", no_argument, nullptr, 'd'},
    {"help", no_argument, nullptr, 'h'},
    {"version", no_argument, nullptr, 'V'},
    {nullptr, 0, nullptr, 0},
};

int PrintUsageError(const DaemonProgram& program) {
  fmt::print(stderr, kUsage, program.name, program.summary);
  return kDaemonUsage;
}

void PrintSettingsReference(const DaemonProgram& program) {
  fmt::print("| setting | type | default | meaning |\n|---|---|---|---|\n");
  for (const SettingDoc& doc : program.settings) {
    fmt::print("| `{}` | {} | {} | {} |\n", doc.name, doc.type,
               doc.default_value.empty() ? "required" : doc.default_value,
               doc.description);
  }
}

int CheckAndRun(const DaemonProgram& program,
                const std::string& path,
                bool check_only) {
  if (check_only) {
    UnblockHandledSignals();
  }
  if (const auto error = program.check(path)) {
    fmt::print(stderr, "{}: {}: {}\n", program.name, path, Describe(*error));
    return kDaemonBadSettings;
  }
  if (check_only) {
    fmt::print("{}: good\n", path);
    return kDaemonOk;
  }
  // A write to a closed connection must return an error, not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  return program.run(path);
}

}  // namespace

int DaemonMain(const DaemonProgram& program, int argc, char** argv) {
  BlockHandledSignals();
  std::string path;
  bool check_only = false;
  int choice = 0;
  while ((choice = getopt_long(argc, argv, "s:cdhV", kOptions, nullptr)) !=
         -1) {
    switch (choice) {
      case 's':
        path = optarg;
        break;
      case 'c':
        check_only = true;
        break;
      case 'd':
        PrintSettingsReference(program);
        return kDaemonOk;
      case 'h':
        fmt::print(kUsage, program.name, program.summary);
        return kDaemonOk;
      case 'V':
        fmt::print("{} {}\n", program.name, program.version);
        return kDaemonOk;
      default:
        return PrintUsageError(program);
    }
  }
  if (path.empty() || optind != argc) {
    return PrintUsageError(program);
  }
  return CheckAndRun(program, path, check_only);
}

}  // namespace pomeloring
