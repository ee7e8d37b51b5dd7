#include "core/json_reader.h"

#include <fmt/format.h>

namespace pomeloring {

std::variant<boost::json::value, MalformedJson> ParseJsonText(
    std::string_view text) {
  boost::json::stream_parser parser;
  boost::json::error_code error;
  const size_t read = parser.write_some(text.data(), text.size(), error);
  if (!error) {
    parser.finish(error);
  }
  const bool has_rest =
      text.find_first_not_of(" \t\r\n", read) != std::string_view::npos;
  if (error || has_rest) {
    return MalformedJson{read};
  }
  return parser.release();
}

JsonReader::JsonReader(const boost::json::value& value,
                       std::string path,
                       std::optional<ConfigurationError>& error)
    : m_object(value.if_object()), m_path(std::move(path)), m_error(&error) {
  if (m_object == nullptr) {
    Fail(WrongType{m_path.empty() ? "the text" : m_path, "an object"});
  }
}

void JsonReader::Fail(ConfigurationError error) {
  if (!*m_error) {
    *m_error = std::move(error);
  }
}

std::string JsonReader::PathOf(std::string_view field) const {
  return m_path.empty() ? std::string(field)
                        : fmt::format("{}.{}", m_path, field);
}

const boost::json::value* JsonReader::Find(std::string_view field) {
  m_read.emplace(field);
  return m_object == nullptr ? nullptr : m_object->if_contains(field);
}

const boost::json::value* JsonReader::Raw(std::string_view field) {
  return Find(field);
}

std::string JsonReader::String(std::string_view field, bool required) {
  const boost::json::value* value = Find(field);
  if (value == nullptr) {
    if (required) {
      Fail(MissingField{PathOf(field)});
    }
    return {};
  }
  if (!value->is_string()) {
    Fail(WrongType{PathOf(field), "a string"});
    return {};
  }
  if (required && value->get_string().empty()) {
    Fail(OutOfRange{PathOf(field), "at least one character"});
  }
  return std::string(value->get_string());
}

bool JsonReader::Bool(std::string_view field, bool fallback) {
  const boost::json::value* value = Find(field);
  if (value == nullptr) {
    return fallback;
  }
  if (!value->is_bool()) {
    Fail(WrongType{PathOf(field), "true or false"});
    return fallback;
  }
  return value->get_bool();
}

int64_t JsonReader::Int(std::string_view field,
                        int64_t fallback,
                        int64_t min_value,
                        int64_t max_value) {
  const boost::json::value* value = Find(field);
  if (value == nullptr) {
    return fallback;
  }
  if (!value->is_int64() && !value->is_uint64()) {
    Fail(WrongType{PathOf(field), "a whole number"});
    return fallback;
  }
  const int64_t number = value->is_int64() ? value->get_int64() : INT64_MAX;
  if (number < min_value || number > max_value) {
    Fail(OutOfRange{PathOf(field),
                    fmt::format("{} to {}", min_value, max_value)});
    return fallback;
  }
  return number;
}

Duration JsonReader::Millis(std::string_view field, Duration fallback) {
  constexpr int64_t kMaxMillis = 7LL * 24 * 3600 * 1000;
  const int64_t fallback_ms =
      std::chrono::duration_cast<milliseconds>(fallback).count();
  return milliseconds{Int(field, fallback_ms, 1, kMaxMillis)};
}

std::vector<std::string> JsonReader::Strings(std::string_view field) {
  const boost::json::value* value = Find(field);
  std::vector<std::string> strings;
  if (value == nullptr) {
    return strings;
  }
  const boost::json::array* array = value->if_array();
  if (array == nullptr) {
    Fail(WrongType{PathOf(field), "a list of strings"});
    return strings;
  }
  for (const boost::json::value& element : *array) {
    if (!element.is_string()) {
      Fail(WrongType{PathOf(field), "a list of strings"});
      return strings;
    }
    strings.emplace_back(element.get_string());
  }
  return strings;
}

std::vector<JsonReader> JsonReader::Objects(std::string_view field) {
  const boost::json::value* value = Find(field);
  std::vector<JsonReader> readers;
  if (value == nullptr) {
    return readers;
  }
  const boost::json::array* array = value->if_array();
  if (array == nullptr) {
    Fail(WrongType{PathOf(field), "a list of objects"});
    return readers;
  }
  for (size_t i = 0; i < array->size(); ++i) {
    readers.emplace_back((*array)[i], fmt::format("{}[{}]", PathOf(field), i),
                         *m_error);
  }
  return readers;
}

std::optional<JsonReader> JsonReader::Object(std::string_view field) {
  const boost::json::value* value = Find(field);
  if (value == nullptr) {
    return std::nullopt;
  }
  return JsonReader(*value, PathOf(field), *m_error);
}

void JsonReader::Finish() {
  if (m_object == nullptr) {
    return;
  }
  for (const auto& member : *m_object) {
    if (!m_read.contains(std::string_view(member.key()))) {
      Fail(UnknownField{PathOf(member.key())});
      return;
    }
  }
}

}  // namespace pomeloring
