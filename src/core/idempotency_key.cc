#include "core/idempotency_key.h"

#include <charconv>

namespace pomeloring {
namespace {

constexpr Duration kInProgressRetryAfter = seconds(1);
// A key is bound only if its incarnation has exactly this many digits, so that
// an ordinary key that contains a dot stays opaque.
constexpr size_t kIncarnationDigits = 16;

KeyDecision DecideExistingKey(KeyRecord& record, uint64_t body_hash) {
  if (record.body_hash != body_hash) {
    return KeyReused{};
  }
  switch (record.state) {
    case KeyState::kRunning:
      return KeyInProgress{kInProgressRetryAfter};
    case KeyState::kAnswered:
      if (record.answer == nullptr) {
        return OutcomeUnknown{UnknownReason::kNoAnswerKept};
      }
      return Replayed{record.answer};
    case KeyState::kUnknown:
      return OutcomeUnknown{UnknownReason::kUpstreamLost};
    case KeyState::kNotRun:
      record.state = KeyState::kRunning;
      return KeyBegun{};
  }
  return KeyInProgress{kInProgressRetryAfter};
}

}  // namespace

ParsedKey ParseKey(std::string_view key) {
  const size_t dot = key.find('.');
  if (dot != kIncarnationDigits || key.size() <= dot + 1) {
    return OpaqueKey{};
  }
  Incarnation owner;
  const char* end = key.data() + dot;
  const auto [rest, error] = std::from_chars(key.data(), end, owner.value, 16);
  if (error != std::errc{} || rest != end) {
    return OpaqueKey{};
  }
  return BoundKey{owner};
}

KeyDecision BeginKey(KeyTable& table,
                     std::string_view key,
                     uint64_t body_hash) {
  const auto it = table.records.find(std::string(key));
  if (it != table.records.end()) {
    return DecideExistingKey(it->second, body_hash);
  }
  // Keys are never evicted during an incarnation: a repeated request whose key
  // was forgotten would run again.
  if (table.records.size() >= table.max_records) {
    return KeyTableFull{};
  }
  table.records[std::string(key)] = {KeyState::kRunning, body_hash, nullptr};
  return KeyBegun{};
}

void EndKey(KeyTable& table,
            std::string_view key,
            const Outcome& outcome,
            std::shared_ptr<const KeptAnswer> answer) {
  const auto it = table.records.find(std::string(key));
  if (it == table.records.end()) {
    return;
  }
  if (std::holds_alternative<Answered>(outcome)) {
    it->second.state = KeyState::kAnswered;
    it->second.answer = std::move(answer);
  } else if (std::holds_alternative<NotRun>(outcome)) {
    it->second.state = KeyState::kNotRun;
  } else {
    it->second.state = KeyState::kUnknown;
  }
}

}  // namespace pomeloring
