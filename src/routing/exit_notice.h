// Defines ExitNotice: what instances tell each other of upstreams whose process
// has exited while their registration is still there.

#ifndef POMELORING_ROUTING_EXIT_NOTICE_H_
#define POMELORING_ROUTING_EXIT_NOTICE_H_

#include "routing/request_quarantine.h"
#include "routing/upstream_state.h"

namespace pomeloring {

struct ExitNotice {
  ProcessId process = 0;
  Duration held_for{0};  // The rest of UpstreamState::exited_until.
};

// Records that this instance knows the upstream's process to have exited.
void HoldExited(UpstreamState& upstream, Time now);

// Records a connection or byte that shows the process to be alive.
void RefuteExit(UpstreamState& upstream, Time now);

// Applies a peer's notice of this process. Returns whether it was new.
bool ApplyExitNotice(UpstreamState& upstream,
                     const ExitNotice& notice,
                     Time now);

}  // namespace pomeloring

#endif  // POMELORING_ROUTING_EXIT_NOTICE_H_
