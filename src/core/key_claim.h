// Defines ClaimLog: which life of which instance may run an opaque idempotency
// key, decided by the first claim of it on the platform's log.

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
  uint64_t key_hash = 0;  // Of account and key.
  uint64_t body_hash = 0;
};

// The claims of one instance that go into one record.
struct ClaimRecord {
  Incarnation owner;
  std::vector<KeyClaim> claims;
};

std::string EncodeClaimRecord(const ClaimRecord& record);
std::variant<ClaimRecord, UnreadableRecord> DecodeClaimRecord(
    std::string_view payload);

struct ClaimOwner {
  Incarnation owner;
  uint64_t body_hash = 0;
  LogOffset offset;
};

struct PendingClaim {
  RequestId request;
  Time expires_at;
};

struct ClaimLog {
  std::unordered_map<uint64_t, ClaimOwner> owners;  // By key hash.
  std::multimap<LogOffset, uint64_t> by_offset;     // To expire.
  LogOffset next_offset{1};
  std::vector<KeyClaim> unsent;
  std::multimap<uint64_t, PendingClaim> pending;  // By key hash.
  std::vector<KeyClaim> in_flight;                // Of the append under way.
};

struct ResolvedClaim {
  RequestId request;
  ClaimOwner owner;
};

// Waits for the owner of `key_hash`, and asks for a claim to be appended.
// Returns the owner at once if it is known.
std::optional<ClaimOwner> RequestClaim(ClaimLog& log,
                                       const KeyClaim& claim,
                                       const RequestId& request,
                                       Time expires_at);

// Returns the record to append now, if there are claims and no append is in
// flight: claims that come meanwhile share the next record.
std::optional<ClaimRecord> TakeUnsentClaims(ClaimLog& log, Incarnation self);

// Ends the append under way. After a failure, which may have taken effect all
// the same, claims that are still waited for go into the next record: a claim
// that stands twice has the same owner.
void EndClaimAppend(ClaimLog& log, bool succeeded);

// Takes in records; those below `first_retained` have expired.
std::vector<ResolvedClaim> ApplyClaimRecords(ClaimLog& log,
                                             std::span<const LogRecord> records,
                                             LogOffset first_retained);

// Returns the requests whose claim was not read back in time.
std::vector<RequestId> ExpireClaims(ClaimLog& log, Time now);

}  // namespace pomeloring

#endif  // POMELORING_CORE_KEY_CLAIM_H_
