#include <fmt/format.h>
#include <getopt.h>

#include <cstdio>

#include "daemon/node.h"
#include "daemon/settings.h"
#include "platform/log_platform.h"

namespace pomeloring {
namespace {

constexpr int kExitOk = 0;
constexpr int kExitUsage = 2;
constexpr int kExitBadSettings = 3;
constexpr int kExitCantListen = 4;
constexpr int kExitDrainedLate = 5;
constexpr int kExitSuperseded = 6;

constexpr char kUsage[] =
    "usage: pomeloring-node --settings FILE [--check]\n"
    "\n"
    "Runs one instance. SIGTERM begins a planned stop.\n"
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

void PrintReference() {
  fmt::print("| setting | type | default | meaning |\n|---|---|---|---|\n");
  for (const SettingDoc& doc : SettingDocs()) {
    fmt::print("| `{}` | {} | {} | {} |\n", doc.name, doc.type,
               doc.fallback.empty() ? "required" : doc.fallback, doc.meaning);
  }
}

int RunNode(NodeSettings settings) {
  auto platform = platform::MakeLogPlatform(settings.platform_address,
                                            settings.platform_deadline);
  auto built = NodeBuilder()
                   .WithSettings(std::move(settings))
                   .WithPlatform(std::move(platform))
                   .Build();
  if (auto* error = std::get_if<NodeError>(&built)) {
    fmt::print(stderr, "pomeloring-node: {}\n", Describe(*error));
    return kExitCantListen;
  }
  switch (std::get<std::unique_ptr<Node>>(built)->Run()) {
    case NodeEnd::kStopped:
      return kExitOk;
    case NodeEnd::kDrainedLate:
      return kExitDrainedLate;
    case NodeEnd::kSuperseded:
      return kExitSuperseded;
  }
  return kExitOk;
}

int Main(int argc, char** argv) {
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
        PrintReference();
        return kExitOk;
      case 'h':
        fmt::print("{}", kUsage);
        return kExitOk;
      case 'V':
        fmt::print("pomeloring-node {}\n", POMELORING_VERSION);
        return kExitOk;
      default:
        fmt::print(stderr, "{}", kUsage);
        return kExitUsage;
    }
  }
  if (path.empty() || optind != argc) {
    fmt::print(stderr, "{}", kUsage);
    return kExitUsage;
  }
  auto settings = ReadSettings(path);
  if (auto* error = std::get_if<SettingsError>(&settings)) {
    fmt::print(stderr, "pomeloring-node: {}: {}\n", path, Describe(*error));
    return kExitBadSettings;
  }
  if (check_only) {
    fmt::print("{}: good\n", path);
    return kExitOk;
  }
  return RunNode(std::get<NodeSettings>(std::move(settings)));
}

}  // namespace
}  // namespace pomeloring

int main(int argc, char** argv) {
  return pomeloring::Main(argc, argv);
}
