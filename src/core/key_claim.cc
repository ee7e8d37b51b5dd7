#include "core/key_claim.h"

#include <boost/json.hpp>

#include "core/json_reader.h"

namespace pomeloring {
namespace {

namespace json = boost::json;

// Bounds the size of a record; further claims go into the next one.
constexpr size_t kMaxClaimsPerRecord = 512;

std::optional<uint64_t> ReadHash(const json::value& value) {
  if (value.is_uint64()) {
    return value.get_uint64();
  }
  if (value.is_int64() && value.get_int64() >= 0) {
    return static_cast<uint64_t>(value.get_int64());
  }
  return std::nullopt;
}

}  // namespace

std::string EncodeClaimRecord(const ClaimRecord& record) {
  json::array claims;
  for (const KeyClaim& claim : record.claims) {
    claims.push_back(json::array{claim.key_hash, claim.body_hash});
  }
  return json::serialize(
      json::object{{"owner", record.owner.value}, {"claims", claims}});
}

std::variant<ClaimRecord, UnreadableRecord> DecodeClaimRecord(
    std::string_view payload) {
  json::error_code error;
  const json::value value = json::parse(payload, error);
  if (error || !value.is_object()) {
    return UnreadableRecord{"the record"};
  }
  const json::value* owner = value.get_object().if_contains("owner");
  const json::value* claims = value.get_object().if_contains("claims");
  const auto owner_value = owner == nullptr ? std::nullopt : ReadHash(*owner);
  if (!owner_value || claims == nullptr || !claims->is_array()) {
    return UnreadableRecord{"owner or claims"};
  }
  ClaimRecord record{Incarnation{*owner_value}, {}};
  for (const json::value& claim : claims->get_array()) {
    const json::array* pair = claim.if_array();
    if (pair == nullptr || pair->size() != 2) {
      return UnreadableRecord{"claims"};
    }
    const auto key_hash = ReadHash((*pair)[0]);
    const auto body_hash = ReadHash((*pair)[1]);
    if (!key_hash || !body_hash) {
      return UnreadableRecord{"claims"};
    }
    record.claims.push_back({*key_hash, *body_hash});
  }
  return record;
}

std::optional<ClaimOwner> RequestClaim(ClaimLog& log,
                                       const KeyClaim& claim,
                                       const RequestId& request,
                                       Time expires_at) {
  const auto owner = log.owners.find(claim.key_hash);
  if (owner != log.owners.end()) {
    return owner->second;
  }
  log.pending.emplace(claim.key_hash, PendingClaim{request, expires_at});
  log.unsent.push_back(claim);
  return std::nullopt;
}

std::optional<ClaimRecord> TakeUnsentClaims(ClaimLog& log, Incarnation self) {
  if (!log.in_flight.empty()) {
    return std::nullopt;
  }
  // Claims of requests that have expired in the meantime are no longer needed.
  std::erase_if(log.unsent, [&](const KeyClaim& claim) {
    return !log.pending.contains(claim.key_hash);
  });
  if (log.unsent.empty()) {
    return std::nullopt;
  }
  const size_t count = std::min(log.unsent.size(), kMaxClaimsPerRecord);
  const auto end = log.unsent.begin() + static_cast<ptrdiff_t>(count);
  ClaimRecord record{self, {log.unsent.begin(), end}};
  log.unsent.erase(log.unsent.begin(), end);
  log.in_flight = record.claims;
  return record;
}

void EndClaimAppend(ClaimLog& log, bool succeeded) {
  if (!succeeded) {
    log.unsent.insert(log.unsent.end(), log.in_flight.begin(),
                      log.in_flight.end());
  }
  log.in_flight.clear();
}

std::vector<ResolvedClaim> ApplyClaimRecords(ClaimLog& log,
                                             std::span<const LogRecord> records,
                                             LogOffset first_retained) {
  std::vector<ResolvedClaim> resolved;
  for (const LogRecord& record : records) {
    if (record.offset < log.next_offset) {
      continue;
    }
    log.next_offset = LogOffset{record.offset.value + 1};
    const auto decoded = DecodeClaimRecord(record.payload);
    const auto* claims = std::get_if<ClaimRecord>(&decoded);
    if (claims == nullptr) {
      continue;
    }
    for (const KeyClaim& claim : claims->claims) {
      const ClaimOwner owner{claims->owner, claim.body_hash, record.offset};
      const auto [it, is_first] = log.owners.emplace(claim.key_hash, owner);
      if (is_first) {
        log.by_offset.emplace(record.offset, claim.key_hash);
      }
      const auto [begin, end] = log.pending.equal_range(claim.key_hash);
      for (auto pending = begin; pending != end; ++pending) {
        resolved.push_back({pending->second.request, it->second});
      }
      log.pending.erase(begin, end);
    }
  }
  while (!log.by_offset.empty() &&
         log.by_offset.begin()->first < first_retained) {
    log.owners.erase(log.by_offset.begin()->second);
    log.by_offset.erase(log.by_offset.begin());
  }
  return resolved;
}

std::vector<RequestId> ExpireClaims(ClaimLog& log, Time now) {
  std::vector<RequestId> expired;
  for (auto it = log.pending.begin(); it != log.pending.end();) {
    if (now >= it->second.expires_at) {
      expired.push_back(it->second.request);
      it = log.pending.erase(it);
    } else {
      ++it;
    }
  }
  return expired;
}

}  // namespace pomeloring
