// Defines EventSplitter, which splits a stream of server-sent events into
// complete events, so that a stream that breaks off within an event can resume
// at another upstream.

#ifndef POMELORING_ROUTING_EVENT_SPLITTER_H_
#define POMELORING_ROUTING_EVENT_SPLITTER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pomeloring {

inline constexpr size_t kMaxEventBytes = size_t{256} * 1024;

struct CompleteEvents {
  std::string bytes;   // As received.
  uint32_t count = 0;  // Number of events with an id.
  std::optional<uint64_t> last_id;
  bool out_of_order = false;  // An id was not greater than the previous one.
  bool too_long = false;      // An event does not end within kMaxEventBytes.
  // What follows `bytes` is not an event: the text or head of another reply.
  bool is_malformed = false;
};

class EventSplitter {
 public:
  // `last_id` is the id of the event after which the stream resumes.
  explicit EventSplitter(std::optional<uint64_t> last_id)
      : m_last_id(last_id) {}

  // Appends `bytes` and returns the events that they complete.
  CompleteEvents Feed(std::string_view bytes);
  // Discards an incomplete event. Called when an attempt has ended, before the
  // bytes of the next one are fed.
  void DiscardPartialEvent();
  bool HasPartialEvent() const { return !m_partial.empty(); }
  size_t PartialBytes() const { return m_partial.size(); }
  std::optional<uint64_t> LastId() const { return m_last_id; }

 private:
  void ParseId(std::string_view event, CompleteEvents& out);

  std::string m_partial;
  std::optional<uint64_t> m_last_id;
};

}  // namespace pomeloring

#endif  // POMELORING_ROUTING_EVENT_SPLITTER_H_
