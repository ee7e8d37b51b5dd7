#include "core/outcome.h"

namespace pomeloring {

std::string_view ToString(UnknownReason reason) {
  static constexpr std::string_view kNames[] = {
      "upstream-lost",  "owner-gone",  "owner-unreachable",
      "no-answer-kept", "caller-gone", "retries-spent"};
  return kNames[static_cast<size_t>(reason)];
}

std::string_view TypeName(const Outcome& outcome) {
  static constexpr std::string_view kNames[] = {
      "answered", "not-run",         "unknown",
      "replayed", "key-in-progress", "key-reused"};
  static_assert(std::size(kNames) == std::variant_size_v<Outcome>);
  return kNames[outcome.index()];
}

}  // namespace pomeloring
