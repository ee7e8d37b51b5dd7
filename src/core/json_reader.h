// Defines JsonReader: reads one JSON object field by field and keeps the first
// typed error, with the path of the field.

#ifndef POMELORING_CORE_JSON_READER_H_
#define POMELORING_CORE_JSON_READER_H_

#include <boost/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/configuration.h"

namespace pomeloring {

// Returns the value, or the offset at which the text stops being valid JSON.
std::variant<boost::json::value, MalformedJson> ParseJsonText(
    std::string_view text);

// Records which fields were read, so that Finish() can reject the others.
class JsonReader {
 public:
  JsonReader(const boost::json::value& value,
             std::string path,
             std::optional<ConfigurationError>& error);

  // Each returns the field's value, or the fallback or an empty value if it is
  // missing or invalid. A field of the wrong type or range is an error.

  // If `required`, a missing or empty string is an error.
  std::string String(std::string_view field, bool required = true);
  bool Bool(std::string_view field, bool fallback);
  // Reads an integer in [min_value, max_value].
  int64_t Int(std::string_view field,
              int64_t fallback,
              int64_t min_value,
              int64_t max_value);
  // Reads a duration in milliseconds, from 1 ms to 7 days.
  Duration Millis(std::string_view field, Duration fallback = Duration{0});
  std::vector<std::string> Strings(std::string_view field);
  // Returns the objects of a list, with their paths; empty if there is none.
  std::vector<JsonReader> Objects(std::string_view field);
  std::optional<JsonReader> Object(std::string_view field);
  // Returns the value of any type, or null.
  const boost::json::value* Raw(std::string_view field);
  // Fails with UnknownField if the object has a field that was not read.
  void Finish();

  std::string PathOf(std::string_view field) const;
  void Fail(ConfigurationError error);

 private:
  const boost::json::value* Find(std::string_view field);

  const boost::json::object* m_object = nullptr;
  std::string m_path;
  std::optional<ConfigurationError>* m_error;
  std::set<std::string, std::less<>> m_read;
};

}  // namespace pomeloring

#endif  // POMELORING_CORE_JSON_READER_H_
