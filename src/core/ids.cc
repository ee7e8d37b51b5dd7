#include "core/ids.h"

#include <fmt/format.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace pomeloring {
namespace {

// The other 42 bits hold the milliseconds since 1970, until the year 2109.
constexpr int kIncarnationRandomBits = 22;

}  // namespace

// Keys and request ids are owned by an incarnation alone, without an instance
// name: two instances with the same incarnation would both run a key. The start
// time is not enough, because instances that are started together occasionally
// read the same microsecond.
Incarnation MakeIncarnation(Time started, uint64_t random) {
  const auto since_1970 =
      std::chrono::duration_cast<milliseconds>(started.time_since_epoch());
  const auto high = static_cast<uint64_t>(since_1970.count())
                    << kIncarnationRandomBits;
  return Incarnation{high | (random >> (64 - kIncarnationRandomBits))};
}

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
