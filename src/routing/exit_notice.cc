#include "routing/exit_notice.h"

#include <algorithm>

namespace pomeloring {
namespace {

// How long an exit holds without a further refused connection. Instances that
// have seen an exit try a connection every 250 ms and renew it. It is short,
// since the process of a flapping upstream comes back.
constexpr Duration kExitHold = seconds(1);

}  // namespace

void HoldExited(UpstreamState& upstream, Time now) {
  upstream.exited_until = now + kExitHold;
}

void RefuteExit(UpstreamState& upstream, Time now) {
  upstream.exited_until = {};
  upstream.last_alive_at = now;
}

// A notice is passed on by relays; what this instance has heard of the upstream
// since the evidence outweighs it.
bool ApplyExitNotice(UpstreamState& upstream,
                     const ExitNotice& notice,
                     Time now) {
  const Duration held_for = std::min(notice.held_for, kExitHold);
  const Time evidence_at = now + held_for - kExitHold;
  const Time last_alive =
      std::max(upstream.last_alive_at, upstream.health.last_byte_at);
  if (held_for <= Duration{0} || last_alive >= evidence_at) {
    return false;
  }
  const bool is_new = now >= upstream.exited_until;
  upstream.exited_until = std::max(upstream.exited_until, now + held_for);
  return is_new;
}

}  // namespace pomeloring
