// Defines the protobuf form of what gateways tell each other.

#ifndef POMELORING_GATEWAY_PEER_CODEC_H_
#define POMELORING_GATEWAY_PEER_CODEC_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "routing/peer_digest.h"

namespace pomeloring {

// One registration as it stands in the store; no value: it is gone.
struct StoredUpstream {
  UpstreamName id;
  LogOffset offset;
  std::optional<std::string> value;
};

// What an instance gives a peer that is behind.
struct StoreUpdate {
  uint64_t config_version = 0;
  std::optional<std::string> config;  // Where it is newer than the peer's.
  LogOffset upstreams_as_of;
  bool is_whole_list = false;
  std::vector<StoredUpstream> upstreams;
};

std::string EncodeDigest(const PeerDigest& digest);
std::optional<PeerDigest> DecodeDigest(std::string_view bytes);
std::string EncodeStoreUpdate(const StoreUpdate& store);
std::optional<StoreUpdate> DecodeStoreUpdate(std::string_view bytes);

}  // namespace pomeloring

#endif  // POMELORING_GATEWAY_PEER_CODEC_H_
