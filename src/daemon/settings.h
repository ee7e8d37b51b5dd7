// Defines NodeSettings: what a node process reads from its settings file.

#ifndef POMELORING_DAEMON_SETTINGS_H_
#define POMELORING_DAEMON_SETTINGS_H_

#include <chrono>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/configuration.h"

namespace pomeloring {

struct NodeSettings {
  std::string name;
  std::string failure_domain;
  std::string region;
  std::string caller_address;  // HTTP for callers, IP:port.
  std::string link_address;    // gRPC between instances, IP:port.
  std::string probe_address;   // UDP between instances, IP:port.
  std::string admin_address;   // HTTP for operators, IP:port.
  std::string admin_key_sha256;
  std::string platform_address;
  std::vector<std::string> peers;  // Probe addresses to join through.
  int threads = 2;
  std::chrono::milliseconds platform_timeout{2000};
  std::chrono::seconds address_ttl{30};
  std::chrono::seconds log_retention{3600};
  std::chrono::seconds drain_timeout{600};
  std::string log_level = "info";
};

struct UnreadableFile {
  std::string path;
};
using SettingsError = std::variant<UnreadableFile, ConfigurationError>;

std::variant<NodeSettings, SettingsError> ReadSettings(const std::string& path);
std::variant<NodeSettings, SettingsError> ParseSettings(std::string_view text);
std::string Describe(const SettingsError& error);

// One line of the settings reference.
struct SettingDoc {
  std::string_view name;
  std::string_view type;
  std::string_view default_value;  // Empty: the setting is required.
  std::string_view description;
};
std::span<const SettingDoc> SettingDocs();

}  // namespace pomeloring

#endif  // POMELORING_DAEMON_SETTINGS_H_
