// Defines the records of the gateway's own topics in the platform's log that
// tell where streams began, which versions served and how streams were divided
// among them.

#ifndef POMELORING_GATEWAY_ORIGIN_RECORD_H_
#define POMELORING_GATEWAY_ORIGIN_RECORD_H_

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "routing/stream_origins.h"
#include "routing/version_shares.h"

namespace pomeloring {

// The versions of services that had served lately at `written_at`.
struct VersionRecord {
  Time written_at;
  VersionSets services;
  // The position in the registrations' topic up to which `services` has all
  // versions that streams in progress may have begun at; 0: it may lack some.
  LogOffset complete_as_of;
};

// Some origins that were appended together at `written_at`.
struct OriginRecord {
  Time written_at;
  std::vector<KeyedOrigin> streams;
};

std::string EncodeOriginBatch(std::span<const KeyedOrigin> streams,
                              Time written_at);
std::string EncodeVersionRecord(const VersionRecord& record);
std::string EncodeShareRecord(const ShareRecord& record);

// Return nothing for records that are malformed, too large or of a later
// format.
std::optional<OriginRecord> DecodeOriginBatch(std::string_view bytes);
std::optional<VersionRecord> DecodeVersionRecord(std::string_view bytes);
std::optional<ShareRecord> DecodeShareRecord(std::string_view bytes);

}  // namespace pomeloring

#endif  // POMELORING_GATEWAY_ORIGIN_RECORD_H_
