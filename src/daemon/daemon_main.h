// Defines DaemonMain(): the command line that all daemons share.

#ifndef POMELORING_DAEMON_DAEMON_MAIN_H_
#define POMELORING_DAEMON_DAEMON_MAIN_H_

#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "daemon/settings.h"

namespace pomeloring {

// Exit codes of a daemon; scripts depend on the values.
inline constexpr int kDaemonOk = 0;
inline constexpr int kDaemonUsage = 2;
inline constexpr int kDaemonBadSettings = 3;
inline constexpr int kDaemonCantListen = 4;
inline constexpr int kDaemonDrainTimedOut = 5;
inline constexpr int kDaemonSuperseded = 6;

struct DaemonProgram {
  std::string_view name;
  std::string_view version;
  std::string_view summary;  // Complete lines of the usage text.
  std::span<const SettingDoc> settings;
  // Returns the first error in the settings file at a path, or nothing.
  std::function<std::optional<SettingsError>(const std::string&)> check;
  // Runs until the daemon has stopped and returns the exit code. Signals are
  // blocked until it calls UnblockHandledSignals().
  std::function<int(const std::string&)> run;
};

int DaemonMain(const DaemonProgram& program, int argc, char** argv);

}  // namespace pomeloring

#endif  // POMELORING_DAEMON_DAEMON_MAIN_H_
