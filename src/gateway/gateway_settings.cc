#include "gateway/gateway_settings.h"

#include <fmt/format.h>

#include <algorithm>

#include "core/json_reader.h"
#include "daemon/settings_fields.h"
#include "link/address.h"

namespace pomeloring {
namespace {

constexpr double kMaxFixedRepeats = 1e6;
constexpr double kMaxLinkMbps = 1e6;

constexpr SettingDoc kDocs[] = {
    {"name", "string", "", "the instance's name, unique among all"},
    {"failure_domain", "string", "", "the failure domain that it stands in"},
    {"region", "string", "(empty)", "the region of its failure domain"},
    {"caller_address", "IP:port", "", "HTTP for callers"},
    {"directory_address", "IP:port", "", "HTTP: which instances to use"},
    {"ready_address", "IP:port", "", "HTTP: whether this instance serves"},
    {"peer_address", "IP:port", "", "UDP and TCP between instances"},
    {"metrics_address", "IP:port", "", "HTTP: metrics as text"},
    {"platform_address", "IP:port", "", "the platform's store"},
    {"link_mbps", "0 to 1000000 Mbit/s", "1000",
     "what this instance's link carries; in a large fleet, those with the most "
     "pass on what others run"},
    {"seeds", "list of IP:port", "[]",
     "other instances; peers use the port of `peer_address`"},
    {"retry_share", "0 to 1", "0.2",
     "repeats for each request of a service, over all instances"},
    {"retry_fixed", "0 to 1000000", "50",
     "repeats a window beyond that share, over all instances"},
    {"retry_window_s", "1 to 3600 s", "10", "the window of both"},
    {"placement", "lowest_cost, round_robin, least_runs or two_choices",
     "lowest_cost",
     "how an upstream is chosen; all but the first are baselines"},
    {"keep_addresses_s", "1 to 3600 s", "1",
     "how long callers may keep the address answer"},
    {"longest_drain_s", "1 to 3600 s", "8",
     "how long a planned stop may take in all"},
    {"log_level", "debug|info|warning|error", "info",
     "the least level that is logged"},
};

// Reads a number in [0, most], whole or not.
double ReadNumber(JsonReader& reader,
                  std::string_view field,
                  double fallback,
                  double most) {
  const boost::json::value* value = reader.Raw(field);
  if (value == nullptr) {
    return fallback;
  }
  if (!value->is_number()) {
    reader.Fail(WrongType{reader.PathOf(field), "a number"});
    return fallback;
  }
  const double number = value->to_number<double>();
  if (number < 0 || number > most) {
    reader.Fail(OutOfRange{reader.PathOf(field), fmt::format("0 to {}", most)});
    return fallback;
  }
  return number;
}

// Instances listen to peers on one port; seeds may name another one.
std::string WithPeerPort(const std::string& seed, const std::string& peer) {
  return seed.substr(0, seed.find(':')) + peer.substr(peer.find(':'));
}

void ReadFields(JsonReader& reader, GatewaySettings& settings) {
  ReadIdentity(reader, settings);
  settings.caller_address = ReadAddressField(reader, "caller_address");
  settings.directory_address = ReadAddressField(reader, "directory_address");
  settings.ready_address = ReadAddressField(reader, "ready_address");
  settings.peer_address = ReadAddressField(reader, "peer_address");
  settings.metrics_address = ReadAddressField(reader, "metrics_address");
  settings.platform_address = ReadAddressField(reader, "platform_address");
  settings.link_mbps =
      ReadNumber(reader, "link_mbps", settings.link_mbps, kMaxLinkMbps);
  for (const std::string& seed : reader.Strings("seeds")) {
    if (!ParseTcpAddress(seed)) {
      reader.Fail(OutOfRange{"seeds", "IP:port each"});
      break;
    }
    std::string peer = WithPeerPort(seed, settings.peer_address);
    if (peer != settings.peer_address) {
      settings.seeds.push_back(std::move(peer));
    }
  }
  RetryPolicy& retries = settings.retries;
  retries.retries_per_request =
      ReadNumber(reader, "retry_share", retries.retries_per_request, 1);
  retries.fixed_retries = ReadNumber(reader, "retry_fixed",
                                     retries.fixed_retries, kMaxFixedRepeats);
  retries.window = seconds{reader.Int("retry_window_s", 10, 1, 3600)};
  const std::string placement = reader.String("placement", false);
  if (const auto policy = ParsePlacementPolicy(placement)) {
    settings.placement = *policy;
  } else if (!placement.empty()) {
    reader.Fail(OutOfRange{
        "placement", "lowest_cost, round_robin, least_runs or two_choices"});
  }
  settings.keep_addresses = seconds{reader.Int("keep_addresses_s", 1, 1, 3600)};
  settings.longest_drain = seconds{reader.Int("longest_drain_s", 8, 1, 3600)};
  settings.log_level = ReadLogLevel(reader, settings.log_level);
}

}  // namespace

std::variant<GatewaySettings, SettingsError> ParseGatewaySettings(
    std::string_view text) {
  return ParseSettingsWith<GatewaySettings>(text, ReadFields);
}

std::variant<GatewaySettings, SettingsError> ReadGatewaySettings(
    const std::string& path) {
  auto text = ReadSettingsText(path);
  if (auto* error = std::get_if<SettingsError>(&text)) {
    return std::move(*error);
  }
  return ParseGatewaySettings(std::get<std::string>(text));
}

ReloadedSettings TakeReloaded(GatewaySettings& in_force,
                              const GatewaySettings& read) {
  ReloadedSettings result;
  const auto take = [&](const char* name, auto& known, const auto& wanted) {
    if (known != wanted) {
      known = wanted;
      result.taken.emplace_back(name);
    }
  };
  const auto keep = [&](const char* name, const auto& known,
                        const auto& wanted) {
    if (known != wanted) {
      result.need_restart.emplace_back(name);
    }
  };
  take("seeds", in_force.seeds, read.seeds);
  take("retry_share", in_force.retries.retries_per_request,
       read.retries.retries_per_request);
  take("retry_fixed", in_force.retries.fixed_retries,
       read.retries.fixed_retries);
  take("retry_window_s", in_force.retries.window, read.retries.window);
  take("keep_addresses_s", in_force.keep_addresses, read.keep_addresses);
  take("longest_drain_s", in_force.longest_drain, read.longest_drain);
  keep("name", in_force.name, read.name);
  keep("failure_domain", in_force.failure_domain, read.failure_domain);
  keep("region", in_force.region, read.region);
  keep("caller_address", in_force.caller_address, read.caller_address);
  keep("directory_address", in_force.directory_address, read.directory_address);
  keep("ready_address", in_force.ready_address, read.ready_address);
  keep("peer_address", in_force.peer_address, read.peer_address);
  keep("metrics_address", in_force.metrics_address, read.metrics_address);
  keep("platform_address", in_force.platform_address, read.platform_address);
  keep("link_mbps", in_force.link_mbps, read.link_mbps);
  keep("placement", in_force.placement, read.placement);
  keep("log_level", in_force.log_level, read.log_level);
  return result;
}

std::span<const SettingDoc> GatewaySettingDocs() {
  return kDocs;
}

}  // namespace pomeloring
