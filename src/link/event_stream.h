// Defines EventStreamReader: splits a stream of server-sent events into the
// data of each event.

#ifndef POMELORING_LINK_EVENT_STREAM_H_
#define POMELORING_LINK_EVENT_STREAM_H_

#include <boost/json/object.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pomeloring {

class EventStreamReader {
 public:
  // Returns the data of each event that `bytes` completes, and keeps an
  // incomplete last event for the next call. Comments, which upstreams send as
  // heartbeats, are skipped.
  std::vector<std::string> Feed(std::string_view bytes);

 private:
  std::string m_partial;
};

// One event of a completion stream. `text` is empty if the event has no token,
// `finish_reason` unless the answer ends.
struct CompletionToken {
  std::optional<uint32_t> index;  // Set if the upstream numbers tokens.
  std::string text;
  std::string finish_reason;
};

// Returns nothing if the event has no choices.
std::optional<CompletionToken> ParseCompletionToken(
    const boost::json::object& event);

}  // namespace pomeloring

#endif  // POMELORING_LINK_EVENT_STREAM_H_
