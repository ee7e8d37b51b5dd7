// Defines the reading of settings that several daemons have.

#ifndef POMELORING_DAEMON_SETTINGS_FIELDS_H_
#define POMELORING_DAEMON_SETTINGS_FIELDS_H_

#include <string>
#include <string_view>
#include <variant>

#include "core/json_reader.h"
#include "daemon/settings.h"

namespace pomeloring {

// Reads a whole settings file.
std::variant<std::string, SettingsError> ReadSettingsText(
    const std::string& path);

// Parses settings: `read` takes the fields out of the reader.
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

// Reads who the instance is and where it stands.
template <typename Settings>
void ReadIdentity(JsonReader& reader, Settings& settings) {
  settings.name = reader.String("name");
  settings.failure_domain = reader.String("failure_domain");
  settings.region = reader.String("region", false);
}

// Reads a required IP:port.
std::string ReadAddressField(JsonReader& reader, std::string_view field);

// Reads `log_level`, or gives `fallback`.
std::string ReadLogLevel(JsonReader& reader, const std::string& fallback);

}  // namespace pomeloring

#endif  // POMELORING_DAEMON_SETTINGS_FIELDS_H_
