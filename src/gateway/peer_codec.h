// Defines the protobuf encoding of the messages between gateways.

#ifndef POMELORING_GATEWAY_PEER_CODEC_H_
#define POMELORING_GATEWAY_PEER_CODEC_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "routing/peer_digest.h"
#include "routing/stream_origins.h"
#include "routing/stream_resumption.h"
#include "routing/text_delta.h"

namespace pomeloring {

// One registration as stored; without a value if it was removed.
struct StoredUpstream {
  UpstreamName id;
  LogOffset offset;
  std::optional<std::string> value;
};

// The configuration and registrations that an instance sends to a peer that
// lacks them.
struct StoreUpdate {
  uint64_t config_version = 0;
  // If newer than the peer's: the whole text, or its difference to the peer's.
  std::optional<std::string> config;
  std::optional<TextDelta> config_delta;
  LogOffset upstreams_as_of;
  bool is_whole_list = false;
  std::vector<StoredUpstream> upstreams;
};

std::string EncodeDigest(const PeerDigest& digest);
// Returns nothing for malformed bytes.
std::optional<PeerDigest> DecodeDigest(std::string_view bytes);
std::string EncodeStoreUpdate(const StoreUpdate& update);
// Returns nothing for malformed bytes.
std::optional<StoreUpdate> DecodeStoreUpdate(std::string_view bytes);
std::string EncodeOrigins(std::span<const KeyedOrigin> streams);
// Returns nothing for malformed bytes.
std::optional<std::vector<KeyedOrigin>> DecodeOrigins(std::string_view bytes);
std::string EncodeOriginReport(const StreamOriginReport& report);
// Returns nothing for malformed bytes.
std::optional<StreamOriginReport> DecodeOriginReport(std::string_view bytes);

}  // namespace pomeloring

#endif  // POMELORING_GATEWAY_PEER_CODEC_H_
