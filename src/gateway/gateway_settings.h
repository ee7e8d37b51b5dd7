// Defines GatewaySettings: the contents of a gateway's settings file.

#ifndef POMELORING_GATEWAY_GATEWAY_SETTINGS_H_
#define POMELORING_GATEWAY_GATEWAY_SETTINGS_H_

#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "daemon/settings.h"
#include "routing/baseline_policies.h"
#include "routing/load_features.h"
#include "routing/shared_retry_budget.h"

namespace pomeloring {

// Calls to the platform that one instance at a time makes for all.
enum class Duty { kUsage, kScaling };

struct DutySettings {
  std::string api_address;  // Of the platform's API, IP:port.
  std::set<Duty> duties;
  double calls_per_s = 50;  // That the API accepts of all instances together.
  // Holders must not alternate within this time.
  std::chrono::milliseconds lease{3000};
  std::chrono::seconds usage_window{5};
  // After the end of a window its usage is due.
  std::chrono::seconds usage_deadline{10};
  double usage_tolerance = 0.05;  // Of the true count of each account.
  bool operator==(const DutySettings&) const = default;
};

struct GatewaySettings {
  std::string name;
  std::string failure_domain;
  std::string region;
  std::string caller_address;     // HTTP for callers, IP:port.
  std::string directory_address;  // HTTP: address lookup for callers.
  std::string ready_address;      // HTTP: readiness of this instance.
  std::string peer_address;       // UDP and TCP between instances.
  std::string metrics_address;
  std::string platform_address;
  std::optional<DutySettings> duties;
  double link_mbps = 1000;
  std::vector<std::string> seeds;  // Other instances, by their peer addresses.
  bool is_seed = false;            // Whether the list named this instance too.
  // All instances start for the first time, together.
  bool first_start = false;
  // A change in the store must be in force everywhere within this time.
  std::chrono::milliseconds change_deadline{2000};
  RetryPolicy retries;
  PlacementPolicy placement = PlacementPolicy::kLowestCost;
  bool admits_by_slots = false;
  LoadFeatures features;
  // The limit of this process's memory; 0: not known.
  uint64_t memory_mb = 0;
  std::chrono::seconds address_ttl{1};
  std::chrono::seconds drain_timeout{8};
  std::string log_level = "info";
};

std::variant<GatewaySettings, SettingsError> ReadGatewaySettings(
    const std::string& path);
std::variant<GatewaySettings, SettingsError> ParseGatewaySettings(
    std::string_view text);
std::span<const SettingDoc> GatewaySettingDocs();

// The names of the settings that changed, by whether they were applied.
struct ReloadResult {
  std::vector<std::string> applied;
  std::vector<std::string> need_restart;
};

// Applies those settings of `loaded` that may change while a gateway runs.
ReloadResult ApplyReloaded(GatewaySettings& current,
                           const GatewaySettings& loaded);

}  // namespace pomeloring

#endif  // POMELORING_GATEWAY_GATEWAY_SETTINGS_H_
