// Defines the reading of settings that several daemons have.

#ifndef POMELORING_DAEMON_SETTINGS_FIELDS_H_
#define POMELORING_DAEMON_SETTINGS_FIELDS_H_

#include <string>
#include <string_view>

#include "core/json_reader.h"

namespace pomeloring {

// Reads a required IP:port.
std::string ReadAddressField(JsonReader& reader, std::string_view field);

// Reads `log_level`, or gives `fallback`.
std::string ReadLogLevel(JsonReader& reader, const std::string& fallback);

}  // namespace pomeloring

#endif  // POMELORING_DAEMON_SETTINGS_FIELDS_H_
