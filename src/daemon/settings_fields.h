// Defines the parsing of settings that several daemons share.

#ifndef POMELORING_DAEMON_SETTINGS_FIELDS_H_
#define POMELORING_DAEMON_SETTINGS_FIELDS_H_

#include <string>
#include <string_view>
#include <variant>

#include "core/json_reader.h"
#include "daemon/settings.h"

namespace pomeloring {

// Returns the content of a settings file.
std::variant<std::string, SettingsError> ReadSettingsText(
    const std::string& path);

// Parses settings from JSON. `read` reads all known fields; any other field is
// an error.
template <typename Settings>
std::variant<Settings, SettingsError> ParseSettingsWith(
    std::string_view text,
    void (*read)(JsonReader&, Settings&)) {
  const auto parsed = ParseJsonText(text);
  if (const auto* malformed = std::get_if<MalformedJson>(&parsed)) {
    return ConfigurationError{*malformed};
  }
  std::optional<ConfigurationError> error;
  JsonReader reader(std::get<boost::json::value>(parsed), "", error);
  Settings settings;
  read(reader, settings);
  reader.Finish();
  if (error) {
    return std::move(*error);
  }
  return settings;
}

// Reads the instance's name, failure domain and region.
template <typename Settings>
void ReadIdentity(JsonReader& reader, Settings& settings) {
  settings.name = reader.String("name");
  settings.failure_domain = reader.String("failure_domain");
  settings.region = reader.String("region", false);
}

// Reads a required IP:port.
std::string ReadAddressField(JsonReader& reader, std::string_view field);

// Reads `log_level`; returns `fallback` if it is absent.
std::string ReadLogLevel(JsonReader& reader, const std::string& fallback);

}  // namespace pomeloring

#endif  // POMELORING_DAEMON_SETTINGS_FIELDS_H_
