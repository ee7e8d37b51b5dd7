// Defines ClaimLog: which incarnation of which instance may run a request with
// an opaque idempotency key. The first claim of the key on the platform's log
// decides.

#ifndef POMELORING_CORE_KEY_CLAIM_H_
#define POMELORING_CORE_KEY_CLAIM_H_

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/config_history.h"
#include "core/ids.h"

namespace pomeloring {

struct KeyClaim {
  uint64_t key_hash = 0;  // Of the account and the key.
  uint64_t body_hash = 0;
};

// A batch of claims by one instance, appended as one log record.
struct ClaimRecord {
  Incarnation owner;
  std::vector<KeyClaim> claims;
};

// Encodes a record as JSON, and decodes it.
std::string EncodeClaimRecord(const ClaimRecord& record);
std::variant<ClaimRecord, UnreadableRecord> DecodeClaimRecord(
    std::string_view payload);

// The winner of a key, by its first claim on the log.
struct ClaimOwner {
  Incarnation owner;
  uint64_t body_hash = 0;
  LogOffset offset;
};

// A request that waits until the owner of its key is known.
struct PendingClaim {
  RequestId request;
  Time expires_at;
};

struct ClaimLog {
  std::unordered_map<uint64_t, ClaimOwner> owners;  // By key hash.
  std::multimap<LogOffset, uint64_t> by_offset;     // Key hashes, for expiry.
  LogOffset next_offset{1};
  std::vector<KeyClaim> unsent;
  std::multimap<uint64_t, PendingClaim> pending;  // By key hash.
  std::vector<KeyClaim> in_flight;                // In the current append.
};

struct ResolvedClaim {
  RequestId request;
  ClaimOwner owner;
};

// Returns the owner of the key if it is known. Otherwise adds the claim to the
// unsent ones, and the request to those that wait for the key's owner.
std::optional<ClaimOwner> RequestClaim(ClaimLog& log,
                                       const KeyClaim& claim,
                                       const RequestId& request,
                                       Time expires_at);

// Returns the record to append now, if there are unsent claims and no append is
// in flight. Claims that arrive during an append share the next record.
std::optional<ClaimRecord> TakeUnsentClaims(ClaimLog& log, Incarnation self);

// Records the end of the append in flight. After a failure, its claims go into
// the next record if requests still wait for them. The failed append may have
// taken effect all the same; a claim that is on the log twice has the same
// owner.
void EndClaimAppend(ClaimLog& log, bool succeeded);

// Applies records and forgets the owners from records below `first_retained`,
// which have expired. Returns the requests whose key now has an owner.
std::vector<ResolvedClaim> ApplyClaimRecords(ClaimLog& log,
                                             std::span<const LogRecord> records,
                                             LogOffset first_retained);

// Removes and returns the requests whose claim was not read back in time.
std::vector<RequestId> ExpireClaims(ClaimLog& log, Time now);

}  // namespace pomeloring

#endif  // POMELORING_CORE_KEY_CLAIM_H_
