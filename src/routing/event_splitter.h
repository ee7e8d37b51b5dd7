// Defines EventSplitter: cuts a stream of server-sent events into whole events,
// so that a stream that breaks off within one can go on elsewhere.

#ifndef POMELORING_ROUTING_EVENT_SPLITTER_H_
#define POMELORING_ROUTING_EVENT_SPLITTER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pomeloring {

struct CompleteEvents {
  std::string bytes;   // As they came.
  uint32_t count = 0;  // Of events with an id.
  std::optional<uint64_t> last_id;
  bool out_of_order = false;  // An id was not above the one before it.
};

class EventSplitter {
 public:
  // `last_id` is the id after which the stream goes on.
  explicit EventSplitter(std::optional<uint64_t> last_id)
      : m_last_id(last_id) {}

  // Returns the events that `bytes` completes.
  CompleteEvents Feed(std::string_view bytes);
  // The run whose bytes were fed has ended; those of the next one follow.
  void DiscardPartialEvent();
  bool HasPartialEvent() const { return !m_partial.empty(); }
  std::optional<uint64_t> LastId() const { return m_last_id; }

 private:
  void ParseId(std::string_view event, CompleteEvents& out);

  std::string m_partial;
  std::optional<uint64_t> m_last_id;
};

}  // namespace pomeloring

#endif  // POMELORING_ROUTING_EVENT_SPLITTER_H_
