// Defines the translation between the core's messages and their protobuf form.

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

// Returns nothing for a message of a kind or value that this version does not
// know; the sender's timeouts deal with it.
std::optional<SlotMessage> Decode(const wire::SlotMessage& message);

std::string EncodeDatagram(const MembershipMessage& message);
std::optional<MembershipMessage> DecodeDatagram(std::string_view bytes);

void Encode(const ConfigInForce& state, wire::ConfigurationState& out);
std::optional<ConfigInForce> Decode(const wire::ConfigurationState& state);

}  // namespace pomeloring

#endif  // POMELORING_LINK_CODEC_H_
