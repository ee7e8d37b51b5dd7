#include "daemon/settings.h"

#include <fmt/format.h>

#include "core/json_reader.h"
#include "daemon/settings_fields.h"
#include "link/address.h"

namespace pomeloring {
namespace {

constexpr SettingDoc kDocs[] = {
    {"name", "string", "", "the instance's name, unique among all"},
    {"failure_domain", "string", "", "the failure domain that it stands in"},
    {"region", "string", "(empty)", "the region of its failure domain"},
    {"caller_address", "IP:port", "", "HTTP for callers"},
    {"link_address", "IP:port", "", "gRPC between instances"},
    {"probe_address", "IP:port", "", "UDP between instances"},
    {"admin_address", "IP:port", "", "HTTP for operators"},
    {"admin_key_sha256", "hex", "", "SHA-256 of the operators' key"},
    {"platform_address", "IP:port", "", "the platform's log and lists"},
    {"peers", "list of IP:port", "[]", "probe addresses to start from"},
    {"threads", "1 to 64", "2", "event loops for connections"},
    {"platform_deadline_ms", "milliseconds", "2000",
     "for one call of the platform"},
    {"keep_addresses_s", "1 to 3600 s", "30",
     "how long callers may keep the address answer"},
    {"log_retention_s", "60 s to 90 days", "3600",
     "how long the platform keeps records"},
    {"longest_drain_s", "1 to 86400 s", "600",
     "how long a planned stop waits for what is in flight"},
    {"log_level", "debug|info|warning|error", "info",
     "the least level that is logged"},
};

std::chrono::seconds ReadSeconds(JsonReader& reader,
                                 std::string_view field,
                                 std::chrono::seconds fallback,
                                 int64_t min_value,
                                 int64_t max_value) {
  return std::chrono::seconds{
      reader.Int(field, fallback.count(), min_value, max_value)};
}

void ReadPeers(JsonReader& reader, NodeSettings& settings) {
  settings.peers = reader.Strings("peers");
  for (const std::string& peer : settings.peers) {
    if (!ParseUdpAddress(peer)) {
      reader.Fail(OutOfRange{"peers", "IP:port each"});
    }
  }
}

void ReadLimits(JsonReader& reader, NodeSettings& settings) {
  constexpr int64_t kDay = 86400;
  settings.threads = static_cast<int>(reader.Int("threads", 2, 1, 64));
  settings.platform_timeout = std::chrono::duration_cast<milliseconds>(
      reader.Millis("platform_deadline_ms", settings.platform_timeout));
  settings.address_ttl =
      ReadSeconds(reader, "keep_addresses_s", settings.address_ttl, 1, 3600);
  settings.log_retention = ReadSeconds(reader, "log_retention_s",
                                       settings.log_retention, 60, 90 * kDay);
  settings.drain_timeout =
      ReadSeconds(reader, "longest_drain_s", settings.drain_timeout, 1, kDay);
  settings.log_level = ReadLogLevel(reader, settings.log_level);
}

void ReadFields(JsonReader& reader, NodeSettings& settings) {
  ReadIdentity(reader, settings);
  settings.caller_address = ReadAddressField(reader, "caller_address");
  settings.link_address = ReadAddressField(reader, "link_address");
  settings.probe_address = ReadAddressField(reader, "probe_address");
  settings.admin_address = ReadAddressField(reader, "admin_address");
  settings.platform_address = ReadAddressField(reader, "platform_address");
  settings.admin_key_sha256 = reader.String("admin_key_sha256");
  ReadPeers(reader, settings);
  ReadLimits(reader, settings);
}

}  // namespace

std::variant<NodeSettings, SettingsError> ParseSettings(std::string_view text) {
  return ParseSettingsWith<NodeSettings>(text, ReadFields);
}

std::variant<NodeSettings, SettingsError> ReadSettings(
    const std::string& path) {
  auto text = ReadSettingsText(path);
  if (auto* error = std::get_if<SettingsError>(&text)) {
    return std::move(*error);
  }
  return ParseSettings(std::get<std::string>(text));
}

std::string Describe(const SettingsError& error) {
  if (const auto* unreadable = std::get_if<UnreadableFile>(&error)) {
    return fmt::format("{} can't be read; check the path", unreadable->path);
  }
  return Describe(std::get<ConfigurationError>(error));
}

std::span<const SettingDoc> SettingDocs() {
  return kDocs;
}

}  // namespace pomeloring
