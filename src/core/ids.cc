#include "core/ids.h"

#include <fmt/format.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace pomeloring {

std::string ToString(const RequestId& id) {
  return fmt::format("{:x}-{:x}", id.incarnation.value, id.sequence);
}

uint64_t StableHash(std::string_view text, uint64_t seed) {
  return XXH64(text.data(), text.size(), seed);
}

uint64_t NextRandom(uint64_t& state) {
  state += 0x9E3779B97F4A7C15ULL;
  uint64_t mixed = state;
  mixed = (mixed ^ (mixed >> 30)) * 0xBF58476D1CE4E5B9ULL;
  mixed = (mixed ^ (mixed >> 27)) * 0x94D049BB133111EBULL;
  return mixed ^ (mixed >> 31);
}

}  // namespace pomeloring
