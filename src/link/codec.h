// Defines the conversion between the core's messages and protobuf.

#ifndef POMELORING_LINK_CODEC_H_
#define POMELORING_LINK_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "core/config_history.h"
#include "core/membership.h"
#include "core/messages.h"

namespace pomeloring::wire {
class SlotMessage;
class ConfigurationState;
}  // namespace pomeloring::wire

namespace pomeloring {

void Encode(const SlotMessage& message, wire::SlotMessage& out);

// Returns nothing if the message has a kind or an enum value that this version
// does not know. The sender then handles the missing reply by its timeouts.
std::optional<SlotMessage> Decode(const wire::SlotMessage& message);

std::string EncodeDatagram(const MembershipMessage& message);
// Returns nothing if the bytes are malformed or the sender is invalid. Updates
// about other members that can't be decoded are skipped.
std::optional<MembershipMessage> DecodeDatagram(std::string_view bytes);

void Encode(const ConfigInForce& state, wire::ConfigurationState& out);
// Returns nothing if the peer had no configuration in force, or if the state of
// a mark is unknown.
std::optional<ConfigInForce> Decode(const wire::ConfigurationState& state);

}  // namespace pomeloring

#endif  // POMELORING_LINK_CODEC_H_
