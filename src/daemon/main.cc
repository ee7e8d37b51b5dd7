#include <fmt/format.h>

#include "daemon/daemon_main.h"
#include "daemon/node.h"
#include "daemon/signal_mask.h"
#include "platform/log_platform.h"

namespace pomeloring {
namespace {

int RunNode(const std::string& path) {
  auto settings = std::get<NodeSettings>(ReadSettings(path));
  auto platform = platform::MakeLogPlatform(settings.platform_address,
                                            settings.platform_timeout);
  auto built = NodeBuilder()
                   .WithSettings(std::move(settings))
                   .WithPlatform(std::move(platform))
                   .Build();
  if (auto* error = std::get_if<NodeError>(&built)) {
    fmt::print(stderr, "pomeloring-node: {}\n", Describe(*error));
    return kDaemonCantListen;
  }
  UnblockHandledSignals();
  switch (std::get<std::unique_ptr<Node>>(built)->Run()) {
    case NodeEnd::kStopped:
      return kDaemonOk;
    case NodeEnd::kDrainTimedOut:
      return kDaemonDrainTimedOut;
    case NodeEnd::kSuperseded:
      return kDaemonSuperseded;
  }
  return kDaemonOk;
}

std::optional<SettingsError> CheckNode(const std::string& path) {
  auto settings = ReadSettings(path);
  auto* error = std::get_if<SettingsError>(&settings);
  return error == nullptr ? std::nullopt : std::optional(std::move(*error));
}

}  // namespace
}  // namespace pomeloring

int main(int argc, char** argv) {
  using namespace pomeloring;
  return DaemonMain({"pomeloring-node", POMELORING_VERSION,
                     "Runs one instance. SIGTERM begins a planned stop.\n",
                     SettingDocs(), CheckNode, RunNode},
                    argc, argv);
}
