#include "routing/event_splitter.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace pomeloring {
namespace {

// Returns the end of the event that starts at 0, including its empty line, or
// npos if it is incomplete.
size_t FindEventEnd(std::string_view text) {
  const size_t lf = text.find("\n\n");
  const size_t crlf = text.find("\r\n\r\n");
  if (crlf != std::string_view::npos &&
      (lf == std::string_view::npos || crlf < lf)) {
    return crlf + 4;
  }
  return lf == std::string_view::npos ? lf : lf + 2;
}

// The empty name is that of a comment.
constexpr std::array<std::string_view, 5> kFieldNames = {"", "data", "event",
                                                         "id", "retry"};

// Whether `block` has a field of an event or a comment, or only empty lines.
// Fields with other names are allowed beside these.
bool IsEvent(std::string_view block) {
  bool is_empty = true;
  while (!block.empty()) {
    const size_t end = std::min(block.find('\n'), block.size());
    std::string_view line = block.substr(0, end);
    block.remove_prefix(std::min(end + 1, block.size()));
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    if (line.empty()) {
      continue;
    }
    is_empty = false;
    const std::string_view name = line.substr(0, line.find(':'));
    if (std::find(kFieldNames.begin(), kFieldNames.end(), name) !=
        kFieldNames.end()) {
      return true;
    }
  }
  return is_empty;
}

}  // namespace

void EventSplitter::ParseId(std::string_view event, CompleteEvents& out) {
  size_t start = 0;
  while (start < event.size()) {
    const size_t end = std::min(event.find('\n', start), event.size());
    std::string_view line = event.substr(start, end - start);
    start = end + 1;
    if (!line.starts_with("id:")) {
      continue;
    }
    line.remove_prefix(3);
    while (line.starts_with(' ')) {
      line.remove_prefix(1);
    }
    uint64_t id = 0;
    const auto parsed =
        std::from_chars(line.data(), line.data() + line.size(), id);
    if (parsed.ec != std::errc{}) {
      continue;
    }
    if (m_last_id && id <= *m_last_id) {
      out.out_of_order = true;
    }
    m_last_id = id;
    out.last_id = id;
    ++out.count;
  }
}

CompleteEvents EventSplitter::Feed(std::string_view bytes) {
  m_partial.append(bytes);
  CompleteEvents out;
  size_t consumed = 0;
  while (true) {
    const std::string_view rest = std::string_view(m_partial).substr(consumed);
    const size_t end = FindEventEnd(rest);
    if (end == std::string_view::npos) {
      break;
    }
    if (!IsEvent(rest.substr(0, end))) {
      out.is_malformed = true;
      break;
    }
    ParseId(rest.substr(0, end), out);
    consumed += end;
  }
  out.bytes = m_partial.substr(0, consumed);
  m_partial.erase(0, consumed);
  out.too_long = !out.is_malformed && m_partial.size() > kMaxEventBytes;
  return out;
}

void EventSplitter::DiscardPartialEvent() {
  m_partial.clear();
}

}  // namespace pomeloring
