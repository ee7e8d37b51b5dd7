#include "link/event_stream.h"

#include <boost/json.hpp>

namespace pomeloring {
namespace {

namespace json = boost::json;

constexpr std::string_view kDataPrefix = "data: ";

std::string StringField(const json::object& object, std::string_view field) {
  const json::value* value = object.if_contains(field);
  return value != nullptr && value->is_string()
             ? std::string(value->get_string())
             : std::string();
}

}  // namespace

std::vector<std::string> EventStreamReader::Feed(std::string_view bytes) {
  m_partial += bytes;
  std::vector<std::string> events;
  size_t begin = 0;
  for (size_t end = m_partial.find("\n\n", begin); end != std::string::npos;
       end = m_partial.find("\n\n", begin)) {
    const std::string_view event(m_partial.data() + begin, end - begin);
    if (event.starts_with(kDataPrefix)) {
      events.emplace_back(event.substr(kDataPrefix.size()));
    }
    begin = end + 2;
  }
  m_partial.erase(0, begin);
  return events;
}

std::optional<CompletionToken> ParseCompletionToken(const json::object& event) {
  const json::value* choices = event.if_contains("choices");
  if (choices == nullptr || !choices->is_array() ||
      choices->get_array().empty() || !choices->get_array()[0].is_object()) {
    return std::nullopt;
  }
  const json::object& choice = choices->get_array()[0].get_object();
  CompletionToken token;
  token.finish_reason = StringField(choice, "finish_reason");
  token.text = StringField(choice, "text");
  const json::value* delta = choice.if_contains("delta");
  if (delta != nullptr && delta->is_object()) {
    token.text += StringField(delta->get_object(), "content");
  }
  const json::value* index = event.if_contains("token_index");
  if (index != nullptr && index->is_int64() && index->get_int64() >= 0) {
    token.index = static_cast<uint32_t>(index->get_int64());
  }
  return token;
}

}  // namespace pomeloring
