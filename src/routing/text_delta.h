// Defines TextDelta: the difference between two versions of a text, so that
// peers send each other what has changed instead of the whole text.

#ifndef POMELORING_ROUTING_TEXT_DELTA_H_
#define POMELORING_ROUTING_TEXT_DELTA_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pomeloring {

// Copies `copy_bytes` bytes from `copy_from` in the base, then appends
// `literal`.
struct DeltaStep {
  uint64_t copy_from = 0;
  uint64_t copy_bytes = 0;
  std::string literal;
};

struct TextDelta {
  uint64_t base_hash = 0;  // TextHash() of the text that it applies to.
  uint64_t target_hash = 0;
  std::vector<DeltaStep> steps;
};

// Returns a 64-bit hash of the whole text, the same on every instance.
uint64_t TextHash(std::string_view text);

// Returns the steps that turn `base` into `target`. The texts may be of any
// format; parts that have moved are found too.
TextDelta MakeDelta(std::string_view base, std::string_view target);

// Returns the target, or nothing if `base` is not the text that the delta was
// made for or the delta is malformed.
std::optional<std::string> ApplyDelta(std::string_view base,
                                      const TextDelta& delta);

}  // namespace pomeloring

#endif  // POMELORING_ROUTING_TEXT_DELTA_H_
