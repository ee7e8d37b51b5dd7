#include "daemon/settings_fields.h"

#include <algorithm>
#include <fstream>
#include <sstream>

#include "link/address.h"

namespace pomeloring {

std::variant<std::string, SettingsError> ReadSettingsText(
    const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return UnreadableFile{path};
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::string ReadAddressField(JsonReader& reader, std::string_view field) {
  std::string address = reader.String(field);
  if (!ParseTcpAddress(address)) {
    reader.Fail(OutOfRange{std::string(field), "IP:port"});
  }
  return address;
}

std::string ReadLogLevel(JsonReader& reader, const std::string& fallback) {
  std::string level = reader.String("log_level", false);
  if (level.empty()) {
    return fallback;
  }
  constexpr std::string_view kLevels[] = {"debug", "info", "warning", "error"};
  if (std::find(std::begin(kLevels), std::end(kLevels), level) ==
      std::end(kLevels)) {
    reader.Fail(OutOfRange{"log_level", "debug, info, warning or error"});
  }
  return level;
}

}  // namespace pomeloring
