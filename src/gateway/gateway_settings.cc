#include "gateway/gateway_settings.h"

#include <fmt/format.h>

#include <algorithm>

#include "core/json_reader.h"
#include "daemon/settings_fields.h"
#include "link/address.h"

namespace pomeloring {
namespace {

constexpr double kMaxFixedRetries = 1e6;
constexpr double kMaxLinkMbps = 1e6;
constexpr double kMaxDutyCallsPerS = 1e6;
constexpr double kMaxMsPerMb = 1e6;
constexpr int64_t kMaxMemoryMb = 1'000'000;

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
    {"api_address", "IP:port", "(none)",
     "the platform's API, for the calls of `duties`"},
    {"duties", "list of usage, autoscaler", "[]",
     "calls to the API that one instance at a time makes for all"},
    {"duty_calls_per_s", "0 to 1000000", "50",
     "calls that the API accepts from all instances together"},
    {"duty_lease_ms", "500 to 60000 ms", "3000",
     "instances must not hold the duties in turns within this time"},
    {"usage_window_s", "1 to 3600 s", "5", "the window of a usage report"},
    {"usage_deadline_s", "1 to 3600 s", "10",
     "after a window's end, until its usage is due"},
    {"usage_tolerance", "0 to 1", "0.05",
     "permitted error of an account's usage"},
    {"link_mbps", "0 to 1000000 Mbit/s", "1000",
     "what this instance's link carries; in a large fleet, those with the most "
     "pass on what others run"},
    {"seeds", "list of IP:port", "[]",
     "other instances; peers use the port of `peer_address`"},
    {"first_start", "true or false", "false",
     "all instances start for the first time, together: only the seeds read "
     "the store at once, the others wait for their state"},
    {"change_deadline_ms", "500 to 60000 ms", "2000",
     "within which a change in the store must be in force on all instances; "
     "the store is read as rarely as that allows"},
    {"retry_share", "0 to 1", "0.2",
     "repeats for each request of a service, over all instances"},
    {"retry_fixed", "0 to 1000000", "50",
     "repeats a window beyond that share, over all instances"},
    {"retry_window_s", "1 to 3600 s", "10", "the window of both"},
    {"placement", "lowest_cost, round_robin, least_runs or two_choices",
     "lowest_cost",
     "how an upstream is chosen; all but the first are baselines"},
    {"slot_admission", "true or false", "false",
     "hold back requests of lower priorities from the slots of engines with at "
     "most 16 of them, so that higher ones find a free slot"},
    {"share_speeds", "true or false", "false",
     "instances tell each other how fast each engine is, where engines have at "
     "most 16 slots"},
    {"isolate_streams", "true or false", "false",
     "keep some engines for streams that long prompts beside them would delay, "
     "where engines have at most 16 slots"},
    {"fair_accounts", "true or false", "false",
     "while capacity is short, share it fairly among client accounts, where "
     "engines have at most 16 slots"},
    {"prefer_idle_connections", "true or false", "false",
     "prefer upstreams with an idle connection among nearly equal ones"},
    {"cross_domain_ms_per_mb", "0 to 1000000", "none",
     "what a megabyte between failure domains is worth in ms of waiting; with "
     "it, instances agree on how many requests leave their failure domain"},
    {"memory_mb", "0 to 1000000 MB", "0",
     "the limit of this process's memory, within which its buffers stay; 0: "
     "the machine's memory limits them, and neither streams nor placement go "
     "by memory"},
    {"keep_addresses_s", "1 to 3600 s", "1",
     "how long callers may keep the address answer"},
    {"longest_drain_s", "1 to 3600 s", "8",
     "how long a planned stop may take in all"},
    {"log_level", "debug|info|warning|error", "info",
     "the least level that is logged"},
};

// Reads a number in [0, max_value], with or without a fraction.
double ReadNumber(JsonReader& reader,
                  std::string_view field,
                  double fallback,
                  double max_value) {
  const boost::json::value* value = reader.Raw(field);
  if (value == nullptr) {
    return fallback;
  }
  if (!value->is_number()) {
    reader.Fail(WrongType{reader.PathOf(field), "a number"});
    return fallback;
  }
  const double number = value->to_number<double>();
  if (number < 0 || number > max_value) {
    reader.Fail(
        OutOfRange{reader.PathOf(field), fmt::format("0 to {}", max_value)});
    return fallback;
  }
  return number;
}

// Returns the address of `seed` with the port of `peer`: all instances use the
// same port for peers, but seeds may name another one.
std::string WithPeerPort(const std::string& seed, const std::string& peer) {
  return seed.substr(0, seed.find(':')) + peer.substr(peer.find(':'));
}

// The settings name an API, and possibly duties that this version does not
// know, which other instances may have.
std::optional<DutySettings> ReadDuties(JsonReader& reader) {
  DutySettings read;
  read.api_address = reader.String("api_address", false);
  for (const std::string& duty : reader.Strings("duties")) {
    if (duty == "usage") {
      read.duties.insert(Duty::kUsage);
    } else if (duty == "autoscaler") {
      read.duties.insert(Duty::kScaling);
    }
  }
  read.calls_per_s = ReadNumber(reader, "duty_calls_per_s", read.calls_per_s,
                                kMaxDutyCallsPerS);
  read.lease = milliseconds{reader.Int("duty_lease_ms", 3000, 500, 60'000)};
  read.usage_window = seconds{reader.Int("usage_window_s", 5, 1, 3600)};
  read.usage_deadline = seconds{reader.Int("usage_deadline_s", 10, 1, 3600)};
  read.usage_tolerance =
      ReadNumber(reader, "usage_tolerance", read.usage_tolerance, 1);
  if (read.duties.empty()) {
    return std::nullopt;
  }
  if (!ParseTcpAddress(read.api_address)) {
    reader.Fail(OutOfRange{"api_address", "IP:port"});
  }
  return read;
}

void ReadFields(JsonReader& reader, GatewaySettings& settings) {
  ReadIdentity(reader, settings);
  settings.caller_address = ReadAddressField(reader, "caller_address");
  settings.directory_address = ReadAddressField(reader, "directory_address");
  settings.ready_address = ReadAddressField(reader, "ready_address");
  settings.peer_address = ReadAddressField(reader, "peer_address");
  settings.metrics_address = ReadAddressField(reader, "metrics_address");
  settings.platform_address = ReadAddressField(reader, "platform_address");
  settings.duties = ReadDuties(reader);
  settings.link_mbps =
      ReadNumber(reader, "link_mbps", settings.link_mbps, kMaxLinkMbps);
  for (const std::string& seed : reader.Strings("seeds")) {
    if (!ParseTcpAddress(seed)) {
      reader.Fail(OutOfRange{"seeds", "IP:port each"});
      break;
    }
    std::string peer = WithPeerPort(seed, settings.peer_address);
    if (peer == settings.peer_address) {
      settings.is_seed = true;
    } else {
      settings.seeds.push_back(std::move(peer));
    }
  }
  settings.first_start = reader.Bool("first_start", settings.first_start);
  settings.change_deadline =
      milliseconds{reader.Int("change_deadline_ms", 2000, 500, 60'000)};
  RetryPolicy& retries = settings.retries;
  retries.retries_per_request =
      ReadNumber(reader, "retry_share", retries.retries_per_request, 1);
  retries.fixed_retries = ReadNumber(reader, "retry_fixed",
                                     retries.fixed_retries, kMaxFixedRetries);
  retries.window = seconds{reader.Int("retry_window_s", 10, 1, 3600)};
  const std::string placement = reader.String("placement", false);
  if (const auto policy = ParsePlacementPolicy(placement)) {
    settings.placement = *policy;
  } else if (!placement.empty()) {
    reader.Fail(OutOfRange{
        "placement", "lowest_cost, round_robin, least_runs or two_choices"});
  }
  settings.admits_by_slots =
      reader.Bool("slot_admission", settings.admits_by_slots);
  LoadFeatures& features = settings.features;
  features.shares_speeds = reader.Bool("share_speeds", features.shares_speeds);
  features.isolates_streams =
      reader.Bool("isolate_streams", features.isolates_streams);
  features.fair_accounts = reader.Bool("fair_accounts", features.fair_accounts);
  features.prefers_idle_connections =
      reader.Bool("prefer_idle_connections", features.prefers_idle_connections);
  if (reader.Raw("cross_domain_ms_per_mb") != nullptr) {
    features.cross_domain_ms_per_mb =
        ReadNumber(reader, "cross_domain_ms_per_mb", 0, kMaxMsPerMb);
  }
  settings.memory_mb =
      static_cast<uint64_t>(reader.Int("memory_mb", 0, 0, kMaxMemoryMb));
  features.places_by_memory = settings.memory_mb > 0;
  settings.address_ttl = seconds{reader.Int("keep_addresses_s", 1, 1, 3600)};
  settings.drain_timeout = seconds{reader.Int("longest_drain_s", 8, 1, 3600)};
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

ReloadResult ApplyReloaded(GatewaySettings& current,
                           const GatewaySettings& loaded) {
  ReloadResult result;
  const auto apply = [&](const char* name, auto& current_value,
                         const auto& loaded_value) {
    if (current_value != loaded_value) {
      current_value = loaded_value;
      result.applied.emplace_back(name);
    }
  };
  const auto require_restart = [&](const char* name, const auto& current_value,
                                   const auto& loaded_value) {
    if (current_value != loaded_value) {
      result.need_restart.emplace_back(name);
    }
  };
  apply("seeds", current.seeds, loaded.seeds);
  apply("retry_share", current.retries.retries_per_request,
        loaded.retries.retries_per_request);
  apply("retry_fixed", current.retries.fixed_retries,
        loaded.retries.fixed_retries);
  apply("retry_window_s", current.retries.window, loaded.retries.window);
  apply("keep_addresses_s", current.address_ttl, loaded.address_ttl);
  apply("longest_drain_s", current.drain_timeout, loaded.drain_timeout);
  require_restart("name", current.name, loaded.name);
  require_restart("failure_domain", current.failure_domain,
                  loaded.failure_domain);
  require_restart("region", current.region, loaded.region);
  require_restart("caller_address", current.caller_address,
                  loaded.caller_address);
  require_restart("directory_address", current.directory_address,
                  loaded.directory_address);
  require_restart("ready_address", current.ready_address, loaded.ready_address);
  require_restart("peer_address", current.peer_address, loaded.peer_address);
  require_restart("metrics_address", current.metrics_address,
                  loaded.metrics_address);
  require_restart("platform_address", current.platform_address,
                  loaded.platform_address);
  require_restart("duties", current.duties, loaded.duties);
  require_restart("link_mbps", current.link_mbps, loaded.link_mbps);
  require_restart("change_deadline_ms", current.change_deadline,
                  loaded.change_deadline);
  require_restart("placement", current.placement, loaded.placement);
  require_restart("slot_admission", current.admits_by_slots,
                  loaded.admits_by_slots);
  require_restart("share_speeds", current.features.shares_speeds,
                  loaded.features.shares_speeds);
  require_restart("isolate_streams", current.features.isolates_streams,
                  loaded.features.isolates_streams);
  require_restart("fair_accounts", current.features.fair_accounts,
                  loaded.features.fair_accounts);
  require_restart("prefer_idle_connections",
                  current.features.prefers_idle_connections,
                  loaded.features.prefers_idle_connections);
  require_restart("cross_domain_ms_per_mb",
                  current.features.cross_domain_ms_per_mb,
                  loaded.features.cross_domain_ms_per_mb);
  require_restart("memory_mb", current.memory_mb, loaded.memory_mb);
  require_restart("log_level", current.log_level, loaded.log_level);
  return result;
}

std::span<const SettingDoc> GatewaySettingDocs() {
  return kDocs;
}

}  // namespace pomeloring
