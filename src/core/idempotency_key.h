// Defines KeyTable: the idempotency keys owned by this incarnation of an
// instance, with the outcomes of their requests.

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

// A key of the form `incarnation.rest`, where the incarnation is 16 hexadecimal
// digits as handed out with the instance's address. Only that incarnation may
// run the request.
struct BoundKey {
  Incarnation owner;
};
// Any other key. An instance claims it on the platform's log before it runs the
// request.
struct OpaqueKey {};
using ParsedKey = std::variant<BoundKey, OpaqueKey>;

ParsedKey ParseKey(std::string_view key);

enum class KeyState { kRunning, kAnswered, kNotRun, kUnknown };

// The request that a key was first used for.
struct KeyRecord {
  KeyState state = KeyState::kRunning;
  uint64_t body_hash = 0;
  std::shared_ptr<const KeptAnswer> answer;  // Null if it was not kept.
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

// Decides whether a request with `key` may start, and if so marks the key as
// running. A key whose request was not run may start again.
KeyDecision BeginKey(KeyTable& table, std::string_view key, uint64_t body_hash);

// Records the outcome of the running request with `key`.
void EndKey(KeyTable& table,
            std::string_view key,
            const Outcome& outcome,
            std::shared_ptr<const KeptAnswer> answer);

}  // namespace pomeloring

#endif  // POMELORING_CORE_IDEMPOTENCY_KEY_H_
