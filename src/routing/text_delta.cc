#include "routing/text_delta.h"

#include <algorithm>
#include <array>
#include <unordered_map>

#include "core/ids.h"

namespace pomeloring {
namespace {

// Chunks end where a rolling hash of the text says so, and not at fixed
// positions: an insertion then changes the chunks around it only.
constexpr size_t kMinChunkBytes = 64;
constexpr size_t kMaxChunkBytes = 1024;
constexpr uint64_t kBoundaryMask = 0xFF;  // One position in 256.
constexpr size_t kByteValues = 256;

std::array<uint64_t, kByteValues> MakeGear() {
  std::array<uint64_t, kByteValues> gear{};
  uint64_t random = 1;
  for (uint64_t& value : gear) {
    value = NextRandom(random);
  }
  return gear;
}

// Returns the first chunk of `text`.
std::string_view FirstChunk(std::string_view text) {
  static const std::array<uint64_t, kByteValues> kGear = MakeGear();
  const size_t limit = std::min(text.size(), kMaxChunkBytes);
  uint64_t hash = 0;
  for (size_t i = 0; i < limit; ++i) {
    hash = (hash << 1) + kGear[static_cast<unsigned char>(text[i])];
    // The upper bits depend on the last 64 bytes, the lower ones on fewer.
    if (i + 1 >= kMinChunkBytes && (hash >> 56 & kBoundaryMask) == 0) {
      return text.substr(0, i + 1);
    }
  }
  return text.substr(0, limit);
}

// The positions of the chunks of a text. Of equal chunks the first counts.
std::unordered_map<std::string_view, size_t> IndexChunks(
    std::string_view text) {
  std::unordered_map<std::string_view, size_t> index;
  for (size_t at = 0; at < text.size();) {
    const std::string_view chunk = FirstChunk(text.substr(at));
    index.try_emplace(chunk, at);
    at += chunk.size();
  }
  return index;
}

size_t CommonPrefix(std::string_view a, std::string_view b) {
  const auto end = std::mismatch(a.begin(), a.end(), b.begin(), b.end());
  return static_cast<size_t>(end.first - a.begin());
}

}  // namespace

uint64_t TextHash(std::string_view text) {
  return StableHash(text);
}

TextDelta MakeDelta(std::string_view base, std::string_view target) {
  const auto index = IndexChunks(base);
  TextDelta delta{TextHash(base), TextHash(target), {}};
  std::string literal;  // Follows the last copy, if there is one.
  const auto flush = [&] {
    if (!literal.empty()) {
      if (delta.steps.empty()) {
        delta.steps.emplace_back();
      }
      delta.steps.back().literal = std::move(literal);
      literal.clear();
    }
  };
  for (size_t at = 0; at < target.size();) {
    const std::string_view rest = target.substr(at);
    const std::string_view chunk = FirstChunk(rest);
    const auto found = index.find(chunk);
    if (found == index.end()) {
      literal.append(chunk);
      at += chunk.size();
      continue;
    }
    flush();
    // A match usually goes on beyond the chunk.
    const size_t size = CommonPrefix(base.substr(found->second), rest);
    delta.steps.push_back({found->second, size, {}});
    at += size;
  }
  flush();
  return delta;
}

std::optional<std::string> ApplyDelta(std::string_view base,
                                      const TextDelta& delta) {
  if (TextHash(base) != delta.base_hash) {
    return std::nullopt;
  }
  std::string target;
  for (const DeltaStep& step : delta.steps) {
    if (step.copy_from > base.size() ||
        step.copy_bytes > base.size() - step.copy_from) {
      return std::nullopt;
    }
    target.append(base.substr(step.copy_from, step.copy_bytes));
    target.append(step.literal);
  }
  return TextHash(target) == delta.target_hash
             ? std::optional(std::move(target))
             : std::nullopt;
}

}  // namespace pomeloring
