#include "routing/send_block.h"

namespace pomeloring {

SendBlock FindUseBlock(const UpstreamState& upstream, Time now) {
  if (upstream.is_removed) {
    return SendBlock::kGone;
  }
  if (upstream.record.draining) {
    return SendBlock::kDraining;
  }
  if (upstream.backpressure.is_leaving) {
    return SendBlock::kLeaving;
  }
  if (now < upstream.exited_until) {
    return SendBlock::kExited;
  }
  return now < upstream.held_until ? SendBlock::kHeld : SendBlock::kNone;
}

std::string_view ToString(SendBlock block) {
  switch (block) {
    case SendBlock::kNone:
      return "none";
    case SendBlock::kGone:
      return "gone";
    case SendBlock::kDraining:
      return "draining";
    case SendBlock::kLeaving:
      return "leaving";
    case SendBlock::kExited:
      return "exited";
    case SendBlock::kHeld:
      return "held";
    case SendBlock::kPaused:
      return "paused";
    case SendBlock::kFull:
      return "full";
    case SendBlock::kQuarantined:
      return "quarantined";
  }
  return "unknown";
}

}  // namespace pomeloring
