// Defines KeyTable: the idempotency keys that this life of an instance owns,
// and what their requests came to.

#ifndef POMELORING_CORE_IDEMPOTENCY_KEY_H_
#define POMELORING_CORE_IDEMPOTENCY_KEY_H_

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>

#include "core/outcome.h"

namespace pomeloring {

// A key of the form `incarnation.rest`, the incarnation in hexadecimal as
// given out by the address answer: only that life of that instance may run it.
struct BoundKey {
  Incarnation owner;
};
// Any other key: claimed on the platform's log before it is run.
struct OpaqueKey {};
using ParsedKey = std::variant<BoundKey, OpaqueKey>;

ParsedKey ParseKey(std::string_view key);

enum class KeyState { kRunning, kAnswered, kNotRun, kUnknown };

struct KeyRecord {
  KeyState state = KeyState::kRunning;
  uint64_t body_hash = 0;
  std::shared_ptr<const KeptAnswer> answer;
};

struct KeyTable {
  std::unordered_map<std::string, KeyRecord> records;
  size_t max_records = 1'000'000;
};

// The request may start.
struct KeyBegun {};
struct KeyTableFull {};
using KeyDecision = std::variant<KeyBegun,
                                 KeyTableFull,
                                 Replayed,
                                 OutcomeUnknown,
                                 KeyInProgress,
                                 KeyReused>;

// Decides whether a request with `key` may start, and if so marks it running.
KeyDecision BeginKey(KeyTable& table, std::string_view key, uint64_t body_hash);

// Records what the running request with `key` came to.
void EndKey(KeyTable& table,
            std::string_view key,
            const Outcome& outcome,
            std::shared_ptr<const KeptAnswer> answer);

}  // namespace pomeloring

#endif  // POMELORING_CORE_IDEMPOTENCY_KEY_H_
